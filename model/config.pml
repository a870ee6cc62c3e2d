/*
 * Models acceptance and distribution of configuration, and restarted nodes.
 *
 * Three nodes and a platform with three publications:
 *   1  sets service S and route R, which refers to S
 *   2  removes S and marks a zone (MARK): refused as a whole, as R needs S
 *   3  takes a zone out of service (OUT)
 * A node applies publications in order, announces each new version to its
 * peers before it serves it, records what each peer announced, and loses all
 * state when it restarts. Up to FAULTS faults happen at any time: a restart, a
 * lost announcement, a temporary partition of a node from its peers, or a
 * platform that permanently falls back to an older revision. The platform may
 * also compact its log; a reader without state then gets only the raw current
 * records.
 *
 * Each rule can be disabled by a macro; the model must then fail:
 *   NO_FLOOR      a restarted node serves any state that a peer sends
 *   NO_HEAD       a joining node does not ask the platform for its head
 *   NO_ORDER      a node accepts an older revision from the platform
 *   PARTIAL       the valid part of a refused publication is applied
 *   STOP_AT_BAD   a node does not advance past a refused publication
 *   RAW_JOIN      a restarted node reads raw records although peers answer
 *   NO_BASE       of two states of one version, the lower base does not win
 *   SERVE_FIRST   a node serves a version before it announces it
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
byte served[NODES];        /* ghost: highest version ever served */
/* announced[p * NODES + h]: version of h known to p */
byte announced[NODES * NODES];

byte head = 0;
byte visible = 0; /* revision in the platform's answers */
bool stale = false;
bool compacted = false;
bool partitioned = false;
byte faults = 0;

#define MAX(a, b) ((a) > (b) -> (a) : (b))
#define IS_DANGLING(c) (((c) & R) && !((c) & S))

#ifdef STOP_AT_BAD
#define MAY_ADVANCE(i) (version[i] != 1)
#else
#define MAY_ADVANCE(i) true
#endif

#ifdef NO_HEAD
#define HEAD_FLOOR 0
#else
#define HEAD_FLOOR visible
#endif

#ifdef NO_FLOOR
#define HAS_REACHED_FLOOR(v) true
#else
#define HAS_REACHED_FLOOR(v) ((v) >= floor)
#endif

#ifdef NO_REPAIR
#define REPAIR_ENABLED false
#else
#define REPAIR_ENABLED true
#endif

#ifdef NO_BASE
#define HAS_LOWER_BASE(i, j) false
#else
#define HAS_LOWER_BASE(i, j) (version[j] == version[i] && base[j] < base[i])
#endif

#ifdef RAW_JOIN
#define RAW_JOIN_ENABLED true
#else
#define RAW_JOIN_ENABLED false
#endif

#ifdef NO_ORDER
#define ACCEPTS_OLDER(i) (visible < version[i] && visible > 0)
#else
#define ACCEPTS_OLDER(i) false
#endif

/* The verdict is a pure function of accepted content and publication. */
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

/* The content after loading all raw records of a revision in order. */
inline load_raw_records(c, revision)
{
	if
	:: revision == 1 -> c = S | R
	:: revision == 2 -> c = MARK
	:: revision == 3 -> c = MARK | OUT
	fi
}

inline serve(i)
{
	assert(!IS_DANGLING(content[i]));
	assert(version[i] >= served[i]);
	served[i] = version[i];
	serving[i] = true
}

/* Node 0 may be partitioned; both sides can still read the platform. */
#define IS_CONNECTED(i, j) (!partitioned || ((i) != 0 && (j) != 0))
#define HAS_PEER(i, j) (serving[j] && IS_CONNECTED(i, j))
#define HAS_NO_PEER(i) (!(HAS_PEER(i, (i + 1) % NODES) || \
	HAS_PEER(i, (i + 2) % NODES)))

/* Announce to both peers; each announcement may be lost, as a fault. */
inline announce(i)
{
	for (k : 0 .. NODES - 1) {
		if
		:: k != i && IS_CONNECTED(i, k) -> announced[k * NODES + i] = version[i]
		:: k != i && IS_CONNECTED(i, k) && faults < FAULTS -> faults++
		:: k == i || !IS_CONNECTED(i, k) -> skip
		fi
	}
	k = 0
}

inline activate(i)
{
#ifdef SERVE_FIRST
	serve(i);
	announcement_pending = true
#else
	announce(i);
	serve(i)
#endif
}

/*
 * The lowest version that a joining node may serve: the maximum of the versions
 * that peers announced from it, the peers' own versions and the platform's answer.
 */
inline floor_of(i, floor)
{
	floor = HEAD_FLOOR;
	for (k : 0 .. NODES - 1) {
		if
		:: k != i && IS_CONNECTED(i, k) ->
			floor = MAX(floor, announced[k * NODES + i]);
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
	:: atomic { !partitioned && faults < FAULTS -> faults++; partitioned = true }
	:: atomic { partitioned -> partitioned = false }
	:: atomic { head == LAST -> partitioned = false; break }
	od
}

inline next_version(i)
{
	version[i]++;
	apply(content[i], version[i]);
	activate(i)
}

inline adopt(i, j)
{
	version[i] = version[j];
	content[i] = content[j];
	base[i] = base[j];
	activate(i)
}

/* Without peers: read the platform's log, or raw records if compacted. */
inline join_from_platform(i)
{
	base[i] = 0;
	content[i] = 0;
	version[i] = visible;
	if
	:: compacted || RAW_JOIN_ENABLED ->
		base[i] = (RAW_JOIN_ENABLED -> 0 : visible);
		load_raw_records(content[i], visible)
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
	activate(i)
}

inline restart(i)
{
	serving[i] = false;
	announcement_pending = false;
	version[i] = 0;
	content[i] = 0;
	base[i] = 0;
	for (k : 0 .. NODES - 1) {
		announced[i * NODES + k] = 0
	}
	k = 0
}

/* Interactions of a node with one peer. */
#define WITH_PEER(i, j) \
	:: atomic { REPAIR_ENABLED && serving[i] && HAS_PEER(i, j) && \
	    version[j] > version[i] && MAY_ADVANCE(i) -> next_version(i) } \
	:: atomic { REPAIR_ENABLED && serving[i] && HAS_PEER(i, j) && \
	    HAS_LOWER_BASE(i, j) -> adopt(i, j) } \
	:: atomic { !RAW_JOIN_ENABLED && !serving[i] && HAS_PEER(i, j) -> \
	    floor_of(i, floor); \
	    if \
	    :: HAS_REACHED_FLOOR(version[j]) -> floor = 0; adopt(i, j) \
	    :: else -> floor = 0 \
	    fi }

proctype node(byte i)
{
	byte k, floor;
	bool announcement_pending = false;

end:	do
	/* Read the next publication from the platform. */
	:: atomic { serving[i] && visible > version[i] && MAY_ADVANCE(i) ->
	    next_version(i) }
	:: atomic { serving[i] && ACCEPTS_OLDER(i) -> version[i] = visible;
	    activate(i) }
	:: atomic { announcement_pending -> announce(i); announcement_pending = false }
	WITH_PEER(i, (i + 1) % NODES)
	WITH_PEER(i, (i + 2) % NODES)
	:: atomic { !serving[i] && (HAS_NO_PEER(i) || RAW_JOIN_ENABLED) &&
	    visible > 0 ->
	    floor_of(i, floor);
	    if
	    :: HAS_REACHED_FLOOR(visible) -> floor = 0; join_from_platform(i)
	    :: else -> floor = 0
	    fi }
	:: atomic { serving[i] && faults < FAULTS -> faults++; restart(i) }
	od
}

#define ARE_EQUAL(i, j) (!serving[i] || !serving[j] || \
	(version[i] == version[j] && content[i] == content[j]))

/*
 * At quiescence all serving nodes must be equal. Nodes may still be joining
 * only if the platform is stale, so that it no longer answers with versions
 * that nodes know to exist and that no node has any more.
 */
active proctype convergence_check()
{
	timeout;
	assert(ARE_EQUAL(0, 1) && ARE_EQUAL(1, 2) && ARE_EQUAL(0, 2));
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
