/*
 * Change of primary on the platform (docs/design/platform.md, questions 1 to 3).
 *
 * One leader, two instances that send commits and reads, an old primary and two
 * replicas. A commit is acknowledged once one replica has received it. Any call may
 * happen at any later time or never, which covers network partitions, frozen processes
 * and lost answers. Replicas receive commits all the time: that they are paused is not
 * relied on, since a restart ends a pause. Time passes in ticks. An instance may use what
 * it read from the store for LIMIT ticks (StoreFreshness).
 */

#define INSTANCES 2
#define LIMIT 0
#define LAST_TICK 2
#ifndef COMMITS
#define COMMITS 1
#endif
#ifndef PRIMARY_READS
#define PRIMARY_READS 1       /* whether instances read at the primary */
#endif
#define READS 1               /* reads of the store per instance */

/* Phases of the group record. */
#define STEADY_OLD 0
#define REPLACING 1
#define STEADY_NEW 2

byte now = 0;
byte record = STEADY_OLD;
byte announced_at = 0;

byte primary_log = 0;           /* number of commits at the old primary */
byte replica_log[2];            /* number of commits that each replica has received */
bool paused[2];                 /* only with FAULT_PAUSE_SUFFICES */
bool has_restarted = false;
bool promoted = false;
byte successor_log = 0;         /* commits that the successor had at promotion */
bool successor_acknowledged = false;

byte evidence_at[INSTANCES];
byte known[INSTANCES];          /* latest phase that the instance knows */
byte in_flight[INSTANCES];      /* number of the commit in flight, or 0 */
byte last_ack_at[INSTANCES];    /* last tick for acknowledgements of the old primary,
                                   once its replacement is known */
bool confirmed[INSTANCES];
byte acknowledged[INSTANCES];   /* highest commit that was acknowledged to a caller */
byte reported[INSTANCES];       /* the same, as reported to the leader with the
                                   confirmation */

bool acknowledged_write_lost = false;
bool replaced_primary_acknowledged = false;
bool stale_primary_read = false;

#define IS_FRESH(i) (now - evidence_at[i] <= LIMIT)
#define USES_OLD(i) (known[i] == STEADY_OLD && IS_FRESH(i))
#ifdef FAULT_ACKNOWLEDGE_LATE
#define MAY_ACKNOWLEDGE(i) true
#else
#define MAY_ACKNOWLEDGE(i) \
    (USES_OLD(i) || (known[i] == REPLACING && now <= last_ack_at[i]))
#endif
#define ALL_CONFIRMED (confirmed[0] && confirmed[1])
#ifdef FAULT_CONFIRM_EARLY
#define MAY_CONFIRM(i) true
#else
#define MAY_CONFIRM(i) (in_flight[i] == 0)
#endif
#define COVERS(r) (replica_log[r] >= reported[0] && replica_log[r] >= reported[1])
#define LATE (now > announced_at + LIMIT)
#define CLOSED (ALL_CONFIRMED || LATE)

proctype clock() {
    do
    :: now < LAST_TICK -> now++
    :: else -> break
    od
}

proctype replicate() {
    do
    :: d_step { !paused[0] && replica_log[0] < primary_log -> replica_log[0]++ }
    :: d_step { !paused[1] && replica_log[1] < primary_log -> replica_log[1]++ }
#ifdef FAULT_PAUSE_SUFFICES
    :: d_step { paused[1] && !has_restarted -> paused[1] = false; has_restarted = true }
#endif
    :: now >= LAST_TICK -> break
    od
}

/*
 * A read of the store is one step. If its answer is late, the age is still measured
 * from the request, which equals an earlier read with an immediate answer. The first
 * instance sends the commits.
 */
proctype instance(byte i) {
    byte reads = 0;
    byte seen = STEADY_OLD;
    do
#ifdef FAULT_EVIDENCE_FROM_ANSWER
    :: reads < READS -> reads++; seen = record
    :: d_step { reads > 0 ->
           last_ack_at[i] = evidence_at[i] + LIMIT;
           known[i] = (seen > known[i] -> seen : known[i]);
           evidence_at[i] = now }
#else
    :: d_step { reads < READS && known[i] != STEADY_NEW ->
           reads++;
           last_ack_at[i] = evidence_at[i] + LIMIT;
           known[i] = record;
           evidence_at[i] = now }
#endif
    :: d_step { i == 0 && USES_OLD(i) && in_flight[i] == 0 && primary_log < COMMITS ->
           primary_log++;
           in_flight[i] = primary_log }
    /* A commit that a replica has received may be answered at any later time. */
    :: d_step { in_flight[i] > 0 && !MAY_ACKNOWLEDGE(i) -> in_flight[i] = 0 }
    :: d_step { in_flight[i] > 0 && MAY_ACKNOWLEDGE(i) &&
           (replica_log[0] >= in_flight[i] || replica_log[1] >= in_flight[i]) ->
           acknowledged[i] = in_flight[i];
           in_flight[i] = 0;
           replaced_primary_acknowledged =
               (promoted && acknowledged[i] > successor_log) }
    :: d_step { known[i] >= REPLACING && !confirmed[i] && MAY_CONFIRM(i) ->
           confirmed[i] = true;
           reported[i] = acknowledged[i] }
    :: d_step { known[i] == STEADY_NEW && IS_FRESH(i) && !successor_acknowledged ->
           successor_acknowledged = true }
    :: PRIMARY_READS && USES_OLD(i) && successor_acknowledged -> stale_primary_read = true; break
    :: replaced_primary_acknowledged -> break
    :: now >= LAST_TICK -> break
    od;
    assert(!stale_primary_read);
    assert(!replaced_primary_acknowledged)
}

proctype leader() {
    byte candidate = 0;
    byte position;
    d_step { record = REPLACING; announced_at = now };
#ifdef FAULT_NO_WAIT
    skip;
#else
#ifdef FAULT_PAUSE_SUFFICES
    paused[0] = true;
    paused[1] = true;
    candidate = (replica_log[1] > replica_log[0] -> 1 : 0);
#else
#ifdef FAULT_OLD_POSITIONS
    position = replica_log[0];
    candidate = (replica_log[1] > position -> 1 : 0);
    CLOSED;
#else
    CLOSED;
#ifndef FAULT_PROMOTE_ANY
    if
    :: position = replica_log[0];
       candidate = (replica_log[1] > position -> 1 : 0)
    :: ALL_CONFIRMED && COVERS(0) -> candidate = 0
    :: ALL_CONFIRMED && COVERS(1) -> candidate = 1
#ifdef FAULT_TIMEOUT_CONFIRMS
    :: LATE && COVERS(0) -> candidate = 0
    :: LATE && COVERS(1) -> candidate = 1
#endif
    fi;
#endif
#endif
#endif
#endif
    d_step {
        promoted = true;
        successor_log = replica_log[candidate];
        if
        :: acknowledged[0] > successor_log || acknowledged[1] > successor_log ->
           acknowledged_write_lost = true
        :: else
        fi
    };
    assert(!acknowledged_write_lost);
    record = STEADY_NEW
}

init {
    atomic {
        run clock();
        run replicate();
        run instance(0);
        run instance(1);
        run leader()
    }
}
