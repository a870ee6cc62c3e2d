/*
 * Models at-most-once execution: up to two consecutive calls that are not
 * idempotent, from one entry to two guards, each with its own upstream.
 *
 * Frames may be delayed, lost, duplicated and reordered. The entry and the
 * guards may be paused between any two steps while the clock advances. A
 * guard may be replaced; it restarts with a new incarnation and without its
 * record of calls. An upstream may fail after it has begun a call.
 *
 * Each rule can be disabled by a macro; the model must then fail:
 *   NO_FENCE       an OPEN for another incarnation of the guard is accepted
 *   NO_TICK        an OPEN of any age is accepted
 *   NO_RECHECK     a resumed guard uses the tick from before its pause
 *   FENCED_NOT_RUN an OPEN for another incarnation is answered as not run:
 *                  its duplicate may have run under that incarnation
 *   RECORD_LAST    an OPEN that is too old is answered as not run although
 *                  its duplicate is on record
 *   NO_ONCE        a guard keeps no record of calls that it admitted
 *   NO_REFUSED     a guard keeps no record of calls that it refused
 *   RETRY_UNKNOWN  the entry retries when the call may have run
 *   REFUSE_LATE    a call that failed after it began is answered as not run
 *   NO_GENERATION  an answer is matched to whichever call is open
 */

#define GUARDS 2
#ifndef CALLS
#define CALLS 1
#endif
#define BOUND 1    /* maximum age of an OPEN, in ticks */
#ifndef END
#define END 3      /* last tick of the clock */
#endif
#define ATTEMPTS 2

mtype = { OK, REFUSED, BROKEN, NONE, NOT_RUN, UNKNOWN };

#ifdef NO_FENCE
#define SAME_INCARNATION(g, i) true
#else
#define SAME_INCARNATION(g, i) (incarnation[g] == (i))
#endif

#ifdef NO_TICK
#define IS_FRESH(g, t) true
#else
#define IS_FRESH(g, t) (tick[g] <= (t) + BOUND)
#endif

#ifdef NO_RECHECK
#define UPDATE_TICK(g) skip
#else
#define UPDATE_TICK(g) tick[g] = now
#endif

#ifdef NO_ONCE
#define RECORD_RUN(g, c, a) skip
#else
#define RECORD_RUN(g, c, a) recorded[RECORD_INDEX(g, c, a)] = true
#endif

#ifdef NO_REFUSED
#define RECORD_REFUSED(g, c, a) skip
#else
#define RECORD_REFUSED(g, c, a) recorded[RECORD_INDEX(g, c, a)] = true
#endif

#ifdef FENCED_NOT_RUN
#define FENCED_ANSWER REFUSED
#else
#define FENCED_ANSWER BROKEN
#endif

#ifdef RECORD_LAST
#define CHECK_AGE_FIRST true
#else
#define CHECK_AGE_FIRST false
#endif

#ifdef RETRY_UNKNOWN
#define MAY_RETRY_UNKNOWN true
#else
#define MAY_RETRY_UNKNOWN false
#endif

#ifdef REFUSE_LATE
#define FAILURE_ANSWER REFUSED
#else
#define FAILURE_ANSWER BROKEN
#endif

#ifdef NO_GENERATION
#define IS_CURRENT_CALL(c, a) true
#else
#define IS_CURRENT_CALL(c, a) ((c) == call && (a) == attempt)
#endif

#define CLEAR_LOCALS c = 0; a = 0; expected = 0; open_tick = 0
#define RECORD_INDEX(g, c, a) (((g) * CALLS + (c)) * ATTEMPTS + (a))

byte now = 0;
byte tick[GUARDS];
byte incarnation[GUARDS];
bool recorded[GUARDS * CALLS * ATTEMPTS];
byte runs[CALLS]; /* ghost: number of times an upstream began the call */
mtype result[CALLS];
bool at_capacity[GUARDS]; /* new calls are refused */
byte duplicated = 0;
byte replaced = 0;

/* call, attempt, expected incarnation, tick of the OPEN */
chan open[GUARDS] = [2] of { byte, byte, byte, byte };
/* call, attempt, answer */
chan answer = [2] of { byte, byte, mtype };

active proctype clock()
{
end:	do
	:: now < END -> now++
	:: atomic { !at_capacity[0] && now == 0 -> at_capacity[0] = true }
	:: atomic { at_capacity[0] -> at_capacity[0] = false }
	od
}

inline reply(c, a, kind)
{
	if
	:: nfull(answer) -> answer!c, a, kind
	:: true -> skip /* lost */
	fi
}

proctype guard(byte g)
{
	byte c, a, expected, open_tick;
	bool admitted;

end:	do
	:: atomic { tick[g] < now -> tick[g] = now }
	:: atomic { replaced == 0 -> replaced = 1;
		incarnation[g]++;
		admitted = false;
		CLEAR_LOCALS;
		for (c : 0 .. CALLS * ATTEMPTS - 1) {
			recorded[g * CALLS * ATTEMPTS + c] = false
		}
		c = 0 }
	/* Reorder frames. */
	:: atomic { !admitted && len(open[g]) > 1 ->
		open[g]?c, a, expected, open_tick;
		open[g]!c, a, expected, open_tick;
		CLEAR_LOCALS }
	:: atomic { !admitted && nempty(open[g]) ->
		open[g]?c, a, expected, open_tick;
		UPDATE_TICK(g);
		if
		:: !SAME_INCARNATION(g, expected) -> reply(c, a, FENCED_ANSWER)
		:: SAME_INCARNATION(g, expected) && CHECK_AGE_FIRST &&
		    !IS_FRESH(g, open_tick) -> reply(c, a, REFUSED)
		:: SAME_INCARNATION(g, expected) && !(CHECK_AGE_FIRST &&
		    !IS_FRESH(g, open_tick)) ->
			if
			:: recorded[RECORD_INDEX(g, c, a)] -> reply(c, a, BROKEN)
			:: !recorded[RECORD_INDEX(g, c, a)] && !IS_FRESH(g, open_tick) ->
				reply(c, a, REFUSED)
			:: !recorded[RECORD_INDEX(g, c, a)] &&
			    IS_FRESH(g, open_tick) && at_capacity[g] ->
				RECORD_REFUSED(g, c, a);
				reply(c, a, REFUSED)
			:: !recorded[RECORD_INDEX(g, c, a)] &&
			    IS_FRESH(g, open_tick) && !at_capacity[g] ->
				RECORD_RUN(g, c, a);
				admitted = true
			fi
		fi;
		if
		:: !admitted -> CLEAR_LOCALS
		:: else -> skip
		fi }
	/* Dispatch: the guard may have been paused since admission. */
	:: atomic { admitted ->
		UPDATE_TICK(g);
		admitted = false;
		if
		:: !IS_FRESH(g, open_tick) || !SAME_INCARNATION(g, expected) ->
			reply(c, a, REFUSED)
		:: else ->
			runs[c]++;
			assert(runs[c] <= 1);
			assert(now <= open_tick + BOUND);
			assert(result[c] != NOT_RUN);
			if
			:: reply(c, a, OK)
			:: reply(c, a, FAILURE_ANSWER)
			fi
		fi;
		CLEAR_LOCALS }
	od
}

proctype entry()
{
	byte call, attempt, g, expected, open_tick, c, a;
	mtype kind;

	for (call : 0 .. CALLS - 1) {
		attempt = 0;
		g = 0;
		result[call] = NONE;
		do
		:: result[call] == NONE ->
			/* Last known guard state; the entry may pause after this. */
			atomic { expected = incarnation[g]; open_tick = now }
			atomic {
				if
				:: nfull(open[g]) ->
					open[g]!call, attempt, expected, open_tick
				:: true -> skip /* lost */
				fi;
				if
				:: duplicated == 0 && nfull(open[g]) ->
					duplicated = 1;
					open[g]!call, attempt, expected, open_tick
				:: true -> skip
				fi
			}
wait:			if
			:: atomic { answer??c, a, kind ->
				if
				:: !IS_CURRENT_CALL(c, a) ->
					c = 0; a = 0; kind = NONE; goto wait
				:: IS_CURRENT_CALL(c, a) && kind == OK ->
					assert(c == call);
					result[call] = OK
				:: IS_CURRENT_CALL(c, a) && kind == BROKEN ->
					result[call] = UNKNOWN
				:: IS_CURRENT_CALL(c, a) && kind == REFUSED ->
					if
					:: attempt + 1 < ATTEMPTS ->
						attempt++; g = 1 - g
					:: else -> result[call] = NOT_RUN
					fi
				fi;
				c = 0; a = 0; kind = NONE }
			:: atomic { true -> /* timed out */
				if
				:: MAY_RETRY_UNKNOWN && attempt + 1 < ATTEMPTS ->
					attempt++; g = 1 - g
				:: else -> result[call] = UNKNOWN
				fi }
			fi
		:: else -> break
		od;
		assert(result[call] != NOT_RUN || runs[call] == 0)
	}
}

init {
	atomic {
		result[0] = NONE;
		result[CALLS - 1] = NONE;
		run guard(0);
		run guard(1);
		run entry()
	}
}
