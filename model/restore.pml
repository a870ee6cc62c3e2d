/*
 * Models a store that is restored from a backup, and the nodes that follow it.
 *
 * The operator issues configurations with rising versions, and after a restore
 * writes the latest one again. Other writes only use up revisions. The backup is
 * made at any time. A restore brings its content and its revision back, and
 * starts a new era. Two nodes take copies from the store or from each other, and
 * restart, which loses all state. At the end the operator has written, and one
 * node reads the store, the other its peer.
 *
 * Each rule can be disabled by a macro; the model must then fail:
 *   NO_ERA      copies are compared by revision only
 *   NO_VERSION  a new era's configuration is put in force whatever its version
 */

#define NODES 2

#ifndef RESTORES
#define RESTORES 2
#endif
#ifndef VERSIONS
#define VERSIONS 3
#endif
#ifndef OTHERS
#define OTHERS 3
#endif
#ifndef RESTARTS
#define RESTARTS 1
#endif

byte issued = 1; /* highest version that the operator has issued */
byte others = 0;
byte restores = 0;
byte restarts = 0;

/* The store; written is the revision of its configuration. */
byte era = 1;
byte revision = 1;
byte version = 1;
byte written = 1;
byte backup_revision = 1;
byte backup_version = 1;
byte backup_written = 1;

/* The nodes' copies, and the version that each has in force. */
byte node_era[NODES];
byte node_revision[NODES];
byte node_version[NODES];
byte node_written[NODES];
byte in_force[NODES];

#ifdef NO_ERA
#define IS_NEWER(e, r, i) ((r) > node_revision[i])
#define IS_LATER_ERA(e, i) (false)
#else
#define IS_NEWER(e, r, i) \
	((e) > node_era[i] || ((e) == node_era[i] && (r) > node_revision[i]))
#define IS_LATER_ERA(e, i) ((e) > node_era[i])
#endif

#ifdef NO_VERSION
#define MAY_APPLY(v, i) (true)
#else
#define MAY_APPLY(v, i) ((v) >= in_force[i])
#endif

/* Node i takes a copy if it is newer than its own. */
inline take_copy(i, e, r, v, w)
{
	if
	:: IS_NEWER(e, r, i) ->
		if
		:: IS_LATER_ERA(e, i) || w > node_written[i] ->
			node_version[i] = v;
			node_written[i] = w;
			if
			:: MAY_APPLY(v, i) ->
				assert(v >= in_force[i]);
				in_force[i] = v
			:: else -> skip
			fi
		:: else -> skip
		fi;
		node_era[i] = e;
		node_revision[i] = r
	:: else -> skip
	fi
}

inline read_store(i)
{
	take_copy(i, era, revision, version, written)
}

inline read_peer(i, p)
{
	take_copy(i, node_era[p], node_revision[p], node_version[p],
	    node_written[p])
}

inline write_issued()
{
	revision++;
	version = issued;
	written = revision
}

inline step()
{
	if
	:: issued < VERSIONS -> issued++; write_issued()
	:: version < issued -> write_issued()
	:: others < OTHERS -> others++; revision++
	:: backup_revision != revision ->
		backup_revision = revision;
		backup_version = version;
		backup_written = written
	:: restores < RESTORES ->
		restores++;
		era++;
		revision = backup_revision;
		version = backup_version;
		written = backup_written
	:: restarts < RESTARTS ->
		restarts++;
		node_era[1] = 0;
		node_revision[1] = 0;
		node_version[1] = 0;
		node_written[1] = 0;
		in_force[1] = 0
	:: true -> read_store(0)
	:: true -> read_store(1)
	:: true -> read_peer(0, 1)
	:: true -> read_peer(1, 0)
	fi
}

active proctype main()
{
	do
	:: atomic { step() }
	:: break
	od;
	atomic {
		if
		:: version < issued -> write_issued()
		:: else -> skip
		fi;
		read_store(0);
		read_peer(1, 0);
		assert(in_force[0] == issued);
		assert(in_force[1] == issued)
	}
}
