/*
 * Two calls that are not idempotent, one after the other, from one entry by
 * way of two guards, each in front of an upstream of its own.
 *
 * Frames may be late, lost, doubled and crossed. The entry and the guards
 * may be frozen between any two steps: the clock goes on without them. A
 * guard may be replaced; it comes back with a new incarnation and without
 * its record. An upstream may break off after it has begun.
 *
 * Each rule can be switched off; the model must then fail:
 *   NO_FENCE       an OPEN for another incarnation of the guard is accepted
 *   NO_TICK        an OPEN of any age is accepted
 *   NO_RECHECK     a woken guard judges by the tick from before it froze
 *   FENCED_NOT_RUN an OPEN for another incarnation is answered as not run:
 *                  its double may have run under that incarnation
 *   RECORD_LAST    an OPEN that is too old is answered as not run although
 *                  its double is on record
 *   NO_ONCE        a guard keeps no record of calls that it let through
 *   NO_REFUSED     a guard keeps no record of calls that it refused
 *   RETRY_UNKNOWN  the entry tries again when the call may have run
 *   REFUSE_LATE    a call that broke off is answered as not run
 *   NO_GENERATION  an answer is taken for whatever call is open now
 */

#define GUARDS 2
#ifndef CALLS
#define CALLS 1
#endif
#define BOUND 1    /* ticks after which an OPEN is too old */
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
#define FRESH(g, t) true
#else
#define FRESH(g, t) (tick[g] <= (t) + BOUND)
#endif

#ifdef NO_RECHECK
#define CATCH_UP(g) skip
#else
#define CATCH_UP(g) tick[g] = now
#endif

#ifdef NO_ONCE
#define RECORD_RUN(g, c, a) skip
#else
#define RECORD_RUN(g, c, a) seen[SLOT(g, c, a)] = true
#endif

#ifdef NO_REFUSED
#define RECORD_REFUSED(g, c, a) skip
#else
#define RECORD_REFUSED(g, c, a) seen[SLOT(g, c, a)] = true
#endif

#ifdef FENCED_NOT_RUN
#define FENCED_ANSWER REFUSED
#else
#define FENCED_ANSWER BROKEN
#endif

#ifdef RECORD_LAST
#define FENCE_FIRST true
#else
#define FENCE_FIRST false
#endif

#ifdef RETRY_UNKNOWN
#define MAY_RETRY_UNKNOWN true
#else
#define MAY_RETRY_UNKNOWN false
#endif

#ifdef REFUSE_LATE
#define BREAK_ANSWER REFUSED
#else
#define BREAK_ANSWER BROKEN
#endif

#ifdef NO_GENERATION
#define MINE(c, a) true
#else
#define MINE(c, a) ((c) == call && (a) == attempt)
#endif

#define FORGET c = 0; a = 0; known = 0; age = 0
#define SLOT(g, c, a) (((g) * CALLS + (c)) * ATTEMPTS + (a))

byte now = 0;
byte tick[GUARDS];
byte incarnation[GUARDS];
bool seen[GUARDS * CALLS * ATTEMPTS];
byte runs[CALLS];        /* ghost: how often an upstream began the call */
mtype result[CALLS];
bool crowded[GUARDS];       /* no room: a call is refused */
byte doubled = 0;
byte replaced = 0;

/* call, attempt, incarnation known, tick known */
chan open[GUARDS] = [2] of { byte, byte, byte, byte };
/* call, attempt, answer */
chan answer = [2] of { byte, byte, mtype };

active proctype clock()
{
end:	do
	:: now < END -> now++
	:: atomic { !crowded[0] && now == 0 -> crowded[0] = true }
	:: atomic { crowded[0] -> crowded[0] = false }
	od
}

inline reply(c, a, what)
{
	if
	:: nfull(answer) -> answer!c, a, what
	:: true -> skip /* lost */
	fi
}

proctype guard(byte g)
{
	byte c, a, known, age;
	bool confirmed;

end:	do
	:: atomic { tick[g] < now -> tick[g] = now }
	:: atomic { replaced == 0 -> replaced = 1;
		incarnation[g]++;
		confirmed = false;
		FORGET;
		for (c : 0 .. CALLS * ATTEMPTS - 1) {
			seen[g * CALLS * ATTEMPTS + c] = false
		}
		c = 0 }
	/* Frames may be crossed. */
	:: atomic { !confirmed && len(open[g]) > 1 ->
		open[g]?c, a, known, age; open[g]!c, a, known, age;
		FORGET }
	:: atomic { !confirmed && nempty(open[g]) ->
		open[g]?c, a, known, age;
		CATCH_UP(g);
		if
		:: !SAME_INCARNATION(g, known) -> reply(c, a, FENCED_ANSWER)
		:: SAME_INCARNATION(g, known) && FENCE_FIRST &&
		    !FRESH(g, age) -> reply(c, a, REFUSED)
		:: SAME_INCARNATION(g, known) && !(FENCE_FIRST &&
		    !FRESH(g, age)) ->
			if
			:: seen[SLOT(g, c, a)] -> reply(c, a, BROKEN)
			:: !seen[SLOT(g, c, a)] && !FRESH(g, age) ->
				reply(c, a, REFUSED)
			:: !seen[SLOT(g, c, a)] && FRESH(g, age) && crowded[g] ->
				RECORD_REFUSED(g, c, a);
				reply(c, a, REFUSED)
			:: !seen[SLOT(g, c, a)] && FRESH(g, age) && !crowded[g] ->
				RECORD_RUN(g, c, a);
				confirmed = true
			fi
		fi;
		if
		:: !confirmed -> FORGET
		:: else -> skip
		fi }
	/* Dispatch: the guard may have been frozen since it admitted. */
	:: atomic { confirmed ->
		CATCH_UP(g);
		confirmed = false;
		if
		:: !FRESH(g, age) || !SAME_INCARNATION(g, known) ->
			reply(c, a, REFUSED)
		:: else ->
			runs[c]++;
			assert(runs[c] <= 1);
			assert(now <= age + BOUND);
			assert(result[c] != NOT_RUN);
			if
			:: reply(c, a, OK)
			:: reply(c, a, BREAK_ANSWER)
			fi
		fi;
		FORGET }
	od
}

proctype entry()
{
	byte call, attempt, g, known, age, c, a;
	mtype what;

	for (call : 0 .. CALLS - 1) {
		attempt = 0;
		g = 0;
		result[call] = NONE;
		do
		:: result[call] == NONE ->
			/* What the guard last said; then this side may freeze. */
			atomic { known = incarnation[g]; age = now }
			atomic {
				if
				:: nfull(open[g]) ->
					open[g]!call, attempt, known, age
				:: true -> skip /* lost */
				fi;
				if
				:: doubled == 0 && nfull(open[g]) ->
					doubled = 1;
					open[g]!call, attempt, known, age
				:: true -> skip
				fi
			}
wait:			if
			:: atomic { answer??c, a, what ->
				if
				:: !MINE(c, a) -> c = 0; a = 0; what = NONE; goto wait
				:: MINE(c, a) && what == OK ->
					assert(c == call);
					result[call] = OK
				:: MINE(c, a) && what == BROKEN ->
					result[call] = UNKNOWN
				:: MINE(c, a) && what == REFUSED ->
					if
					:: attempt + 1 < ATTEMPTS ->
						attempt++; g = 1 - g
					:: else -> result[call] = NOT_RUN
					fi
				fi;
				c = 0; a = 0; what = NONE }
			:: atomic { true -> /* given up on */
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
