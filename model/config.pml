/*
 * Accepting, spreading and rejoining of configuration.
 *
 * Three nodes and a platform with three publications:
 *   1  sets service S and route R, which points at S
 *   2  removes S and marks a zone (MARK): refused whole, as R needs S
 *   3  takes a zone out (OUT)
 * A node applies publications in order, sends what it took on to its peers
 * before it serves it, remembers what each peer announced, and may lose
 * everything at a restart. Up to FAULTS faults happen at any moment: a
 * restart, a lost announcement, a node cut from its peers for a while, or a
 * platform that goes back to answering as of an older revision for good. The
 * platform may also compact its log, which leaves a reader that has nothing
 * with raw current records only.
 *
 * Each rule can be switched off; the model must then fail:
 *   NO_FLOOR      a restarted node serves whatever a peer gives it
 *   NO_HEAD       a joining node does not ask the platform for its head
 *   NO_ORDER      a node believes an older answer of the platform
 *   PARTIAL       the valid part of a refused publication is applied
 *   STOP_AT_BAD   a node does not go past a refused publication
 *   RAW_JOIN      a restarted node reads raw records though peers answer
 *   NO_BASE       of two states of one version the lower base does not win
 *   SERVE_FIRST   a node serves before it announces
 *   NO_REPAIR     nodes do not compare versions after the first announcement
 */

#define NODES 3
#define LAST 3

#ifndef FAULTS
#define FAULTS 2
#endif

#define S 1
#define R 2
#define MARK 4
#define OUT 8

byte version[NODES];
byte content[NODES];
byte base[NODES];
bool serving[NODES];
byte served[NODES];        /* ghost: highest version ever served here */
byte heard[NODES * NODES]; /* heard[p * NODES + h]: floor of h kept by p */

byte head = 0;
byte visible = 0; /* what the platform answers with */
bool stale = false;
bool compacted = false;
bool cut = false;
byte faults = 0;

#define MAX(a, b) ((a) > (b) -> (a) : (b))
#define DANGLING(c) (((c) & R) && !((c) & S))

#ifdef STOP_AT_BAD
#define GOES_ON(i) (version[i] != 1)
#else
#define GOES_ON(i) true
#endif

#ifdef NO_HEAD
#define HEAD_FLOOR 0
#else
#define HEAD_FLOOR visible
#endif

#ifdef NO_FLOOR
#define FLOOR_HOLDS(v) true
#else
#define FLOOR_HOLDS(v) ((v) >= floor)
#endif

#ifdef NO_REPAIR
#define REPAIR false
#else
#define REPAIR true
#endif

#ifdef NO_BASE
#define LOWER_BASE(i, j) false
#else
#define LOWER_BASE(i, j) (version[j] == version[i] && base[j] < base[i])
#endif

#ifdef RAW_JOIN
#define RAW true
#else
#define RAW false
#endif

#ifdef NO_ORDER
#define STEPS_BACK(i) (visible < version[i] && visible > 0)
#else
#define STEPS_BACK(i) false
#endif

/* The verdict: pure function of the accepted content and the publication. */
inline apply(c, revision)
{
	if
	:: revision == 1 -> c = c | S | R
	:: revision == 2 ->
		if
		:: (c & R) ->
#ifdef PARTIAL
			c = (c & ~S) | MARK
#else
			skip
#endif
		:: else -> c = (c & ~S) | MARK
		fi
	:: revision == 3 -> c = c | OUT
	fi
}

/* What groups of raw records at a revision leave when folded in order. */
inline fold_raw(c, revision)
{
	if
	:: revision == 1 -> c = S | R
	:: revision == 2 -> c = MARK
	:: revision == 3 -> c = MARK | OUT
	fi
}

inline serve(i)
{
	assert(!DANGLING(content[i]));
	assert(version[i] >= served[i]);
	served[i] = version[i];
	serving[i] = true
}

/* Node 0 may be cut from the others; both sides still read the platform. */
#define REACH(i, j) (!cut || ((i) != 0 && (j) != 0))
#define HAS_PEER(i, j) (serving[j] && REACH(i, j))
#define ALONE(i) (!(HAS_PEER(i, (i + 1) % NODES) || \
	HAS_PEER(i, (i + 2) % NODES)))

/* Tell both peers; each telling may be lost, which is a fault. */
inline announce(i)
{
	for (k : 0 .. NODES - 1) {
		if
		:: k != i && REACH(i, k) -> heard[k * NODES + i] = version[i]
		:: k != i && REACH(i, k) && faults < FAULTS -> faults++
		:: k == i || !REACH(i, k) -> skip
		fi
	}
	k = 0
}

inline take_on(i)
{
#ifdef SERVE_FIRST
	serve(i);
	announced_late = true
#else
	announce(i);
	serve(i)
#endif
}

/*
 * The version below which a joining node must not serve: the highest that a
 * peer heard from it or holds itself, and what the platform answers with.
 */
inline floor_of(i, floor)
{
	floor = HEAD_FLOOR;
	for (k : 0 .. NODES - 1) {
		if
		:: k != i && REACH(i, k) ->
			floor = MAX(floor, heard[k * NODES + i]);
			floor = MAX(floor, version[k])
		:: else -> skip
		fi
	}
	k = 0
}

active proctype platform()
{
	do
	:: atomic { head < LAST -> head++;
		if
		:: !stale -> visible = head
		:: else -> skip
		fi }
	:: atomic { head > 1 && !stale && faults < FAULTS -> faults++;
		stale = true; visible = visible - 1 }
	:: atomic { head > 1 && !compacted -> compacted = true }
	:: atomic { !cut && faults < FAULTS -> faults++; cut = true }
	:: atomic { cut -> cut = false }
	:: atomic { head == LAST -> cut = false; break }
	od
}

inline next_version(i)
{
	version[i]++;
	apply(content[i], version[i]);
	take_on(i)
}

inline adopt(i, j)
{
	version[i] = version[j];
	content[i] = content[j];
	base[i] = base[j];
	take_on(i)
}

/* With no peer at all: the platform's log, or raw records without it. */
inline join_from_platform(i)
{
	base[i] = 0;
	content[i] = 0;
	version[i] = visible;
	if
	:: compacted || RAW ->
		base[i] = (RAW -> 0 : visible);
		fold_raw(content[i], visible)
	:: else ->
		apply(content[i], 1);
		if
		:: visible >= 2 -> apply(content[i], 2)
		:: else -> skip
		fi;
		if
		:: visible >= 3 -> apply(content[i], 3)
		:: else -> skip
		fi
	fi;
	take_on(i)
}

inline restart(i)
{
	serving[i] = false;
	announced_late = false;
	version[i] = 0;
	content[i] = 0;
	base[i] = 0;
	for (k : 0 .. NODES - 1) {
		heard[i * NODES + k] = 0
	}
	k = 0
}

/* What a node does towards one peer. */
#define WITH_PEER(i, j) \
	:: atomic { REPAIR && serving[i] && HAS_PEER(i, j) && \
	    version[j] > version[i] && GOES_ON(i) -> next_version(i) } \
	:: atomic { REPAIR && serving[i] && HAS_PEER(i, j) && LOWER_BASE(i, j) -> \
	    adopt(i, j) } \
	:: atomic { !RAW && !serving[i] && HAS_PEER(i, j) -> floor_of(i, floor); \
	    if \
	    :: FLOOR_HOLDS(version[j]) -> floor = 0; adopt(i, j) \
	    :: else -> floor = 0 \
	    fi }

proctype node(byte i)
{
	byte k, floor;
	bool announced_late = false;

end:	do
	/* The next publication, read from the platform. */
	:: atomic { serving[i] && visible > version[i] && GOES_ON(i) ->
	    next_version(i) }
	:: atomic { serving[i] && STEPS_BACK(i) -> version[i] = visible;
	    take_on(i) }
	:: atomic { announced_late -> announce(i); announced_late = false }
	WITH_PEER(i, (i + 1) % NODES)
	WITH_PEER(i, (i + 2) % NODES)
	:: atomic { !serving[i] && (ALONE(i) || RAW) && visible > 0 ->
	    floor_of(i, floor);
	    if
	    :: FLOOR_HOLDS(visible) -> floor = 0; join_from_platform(i)
	    :: else -> floor = 0
	    fi }
	:: atomic { serving[i] && faults < FAULTS -> faults++; restart(i) }
	od
}

#define SAME(i, j) (!serving[i] || !serving[j] || \
	(version[i] == version[j] && content[i] == content[j]))

/*
 * Changes have stopped and nothing moves any more: all must be equal. Nodes
 * may be left joining only while the platform hides versions that they know
 * to exist and that nobody holds any more.
 */
active proctype watcher()
{
	timeout;
	assert(SAME(0, 1) && SAME(1, 2) && SAME(0, 2));
	assert(stale || (serving[0] && serving[1] && serving[2]));
	assert(stale || (content[0] & OUT))
}

init {
	atomic {
		run node(0);
		run node(1);
		run node(2)
	}
}
