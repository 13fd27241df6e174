/*
 * Failover of one group of three servers (design, section 3.2).
 *
 * Two watchers fence and promote; one owner waits until its writes are replicated.
 * Every call to a server is one step that may happen at any later time, and its
 * answer may be lost. This covers delays, lost messages, network partitions and paused
 * watchers or owners. specs/README.md lists the bounds and the methods that each step
 * represents.
 */

#define SERVERS 3
#define MAJORITY 2
#define NONE 7

#ifndef WATCHERS
#define WATCHERS 2
#endif
#ifndef WRITES
#define WRITES 2
#endif
#ifndef ROUNDS
#define ROUNDS 2        /* promotion rounds per watcher */
#endif
#ifndef CRASHES
#define CRASHES 1       /* restarts of a server with its log */
#endif
#ifndef WIPES
#define WIPES 0         /* restarts of a server without its log */
#endif

/* Ordinary rounds use the terms 2 and 3, and term 5 after the rejoin term. */
#define REJOIN_TERM 4
#define MAX_TERM 5

/* Log size: the entry of the first term, one per promotion, and the writes. */
#define LOG 6
#define ENTRY(s, i) log[(s) * LOG + (i)]
/* An entry is its term plus 8 times the bit of its write. */
#define TERM_OF(entry) ((entry) & 7)
#define WRITE_OF(entry) ((entry) >> 3)
#define LAST_TERM(s) (length[s] == 0 -> 0 : TERM_OF(ENTRY(s, length[s] - 1)))
#define HAS_LOG(s) (length[s] > 0)

byte term[SERVERS];         /* highest term that it granted or followed */
byte granted_to[SERVERS];   /* watcher to which it granted that term */
byte served[SERVERS];       /* last term in which it became primary */
bool is_primary[SERVERS];
byte source[SERVERS];       /* server from which it replicates */
byte length[SERVERS];
byte log[SERVERS * LOG];

byte primary_of[MAX_TERM + 1];  /* by term; used by assertions and follow */
byte initial_writes[MAX_TERM + 1];  /* bit per write in its log at promotion */

byte writes = 0;
byte write_term[WRITES];
byte write_index[WRITES];
byte evidence[WRITES];      /* bit per server whose status showed the write */
bool acknowledged[WRITES];

byte crashes = 0;
byte wipes = 0;

/* Invariants, each asserted at the first step that could violate it. */
bool replaced_primary_acknowledged = false; /* 1.2, 2 */
bool acknowledged_write_lost = false;       /* 1.2, 1 and 2 */
bool two_primaries_in_term = false;         /* 1.2, 2 */

inline check_promotion(s, t) {
    if
    :: primary_of[t] != NONE && primary_of[t] != s -> two_primaries_in_term = true
    :: else
    fi;
    assert(!two_primaries_in_term);
    primary_of[t] = s;
    i = 0;
    do
    :: i < length[s] ->
        if
        :: WRITE_OF(ENTRY(s, i)) > 0 ->
            initial_writes[t] = initial_writes[t] | WRITE_OF(ENTRY(s, i))
        :: else
        fi;
        i++
    :: else -> break
    od;
    i = 0;
    do
    :: i < WRITES ->
        if
        :: acknowledged[i] && write_term[i] < t && !(initial_writes[t] & (1 << i)) ->
            acknowledged_write_lost = true
        :: else
        fi;
        i++
    :: else -> break
    od;
    i = 0;
    assert(!acknowledged_write_lost)
}

inline check_acknowledgement(w) {
    i = write_term[w] + 1;
    do
    :: i <= MAX_TERM ->
        if
        :: primary_of[i] != NONE && !(initial_writes[i] & (1 << w)) ->
            replaced_primary_acknowledged = true
        :: else
        fi;
        i++
    :: else -> break
    od;
    i = 0;
    assert(!replaced_primary_acknowledged)
}

/* Whether a server grants fence(t, me); a refusal changes nothing. */
#ifdef FAULT_TERM_GRANTED_TWICE
#define GRANTS(s, t, me) ((t) >= term[s])
#else
#define GRANTS(s, t, me) ((t) > term[s] || ((t) == term[s] && granted_to[s] == (me)))
#endif

inline fence(s, t, me) {
    if
    :: t > term[s] ->
        is_primary[s] = false;
        source[s] = NONE
    :: else
    fi;
    term[s] = t;
    granted_to[s] = me
}

/* Whether a server accepts promote(t, me); a refusal changes nothing. */
#define ACCEPTS(s, t, me) (term[s] == (t) && granted_to[s] == (me) && served[s] < (t))

inline promote(s, t) {
    is_primary[s] = true;
    served[s] = t;
    source[s] = NONE;
    ENTRY(s, length[s]) = t;
    length[s]++;
    check_promotion(s, t)
}

#define GRANTED (granted[0] + granted[1] + granted[2])
#define LOGGED ((granted[0] && held_length[0] > 0) \
    + (granted[1] && held_length[1] > 0) + (granted[2] && held_length[2] > 0))
#if defined(FAULT_EMPTY_COUNTS)
#define QUORUM (GRANTED >= MAJORITY)
#elif defined(FAULT_FENCE_MINORITY)
#define QUORUM (GRANTED >= 1)
#else
#define QUORUM (LOGGED >= MAJORITY || GRANTED == SERVERS)
#endif

proctype Watcher(byte me) {
    byte round_term = 0, rounds = 0, chosen = NONE;
    byte held_term[SERVERS], held_length[SERVERS];
    bool granted[SERVERS];
    byte i, s, t;

    do
    /* GroupMonitor._start_round */
    :: d_step {
        rounds < ROUNDS;
        rounds++;
        chosen = NONE;
        s = 0;
        do
        :: s < SERVERS ->
            granted[s] = false;
            held_term[s] = 0;
            held_length[s] = 0;
            s++
        :: else -> break
        od;
        s = 0
       }
        /* next_term: any higher term that may follow from the statuses. */
        if
#ifdef FAULT_CANDIDATE_REUSED
        /* A restarted watcher with its old candidate name takes the same term again. */
        :: round_term > 0
#endif
        :: round_term < 2 -> round_term = 2
        :: round_term < 3 -> round_term = 3
        :: atomic { round_term < REJOIN_TERM &&
            (!HAS_LOG(0) || !HAS_LOG(1) || !HAS_LOG(2)) -> round_term = REJOIN_TERM }
        :: atomic { round_term < MAX_TERM && (term[0] >= REJOIN_TERM ||
            term[1] >= REJOIN_TERM || term[2] >= REJOIN_TERM) ->
            round_term = MAX_TERM }
        :: rounds = ROUNDS; goto idle
        fi

    /* FenceServer; the answer arrives as Fenced or is lost. */
    :: atomic {
        round_term > 0 && chosen == NONE ->
        if
        :: !granted[0] && GRANTS(0, round_term, me) -> s = 0
        :: !granted[1] && GRANTS(1, round_term, me) -> s = 1
        :: !granted[2] && GRANTS(2, round_term, me) -> s = 2
        fi;
        if
        :: true ->
            granted[s] = true;
            held_term[s] = LAST_TERM(s);
            held_length[s] = length[s]
        :: term[s] != round_term
        fi;
        d_step { fence(s, round_term, me); s = 0 }
       }

    /* PromotionRound.has_quorum and choose */
    :: d_step {
        round_term > 0 && chosen == NONE && QUORUM ->
        t = NONE;
        s = 0;
        do
        :: s < SERVERS ->
            if
            :: granted[s] && t == NONE -> t = s
#ifndef FAULT_PROMOTE_ANY
            :: granted[s] && t != NONE && (held_term[s] > held_term[t] ||
                (held_term[s] == held_term[t] && held_length[s] > held_length[t]))
                -> t = s
#endif
            :: else
            fi;
            s++
        :: else -> break
        od;
        chosen = t;
        s = 0;
        t = 0;
        do
        :: s < SERVERS ->
            granted[s] = false;
            held_term[s] = 0;
            held_length[s] = 0;
            s++
        :: else -> break
        od;
        s = 0
       }

    /* PromoteServer; after a lost answer, the same call is repeated. */
    :: d_step {
        chosen != NONE && ACCEPTS(chosen, round_term, me) ->
        promote(chosen, round_term)
       }
    od;
idle:
    skip
}

/* A server handles follow(t, primary of t) of any watcher at any time. */
inline follow(s, t) {
    if
    :: t > term[s] ->
        term[s] = t;
        granted_to[s] = 0;
        is_primary[s] = false
    :: else
    fi;
    source[s] = primary_of[t]
}

/* may_rejoin for a server without a log; servers with a log may always follow. */
#define FULL(s, t) (!HAS_LOG(s) || LAST_TERM(s) == (t))
#ifdef FAULT_EMPTY_FOLLOWS
#define MAY_FOLLOW(s, t) true
#else
#define MAY_FOLLOW(s, t) (HAS_LOG(s) || ((t) == REJOIN_TERM && term[s] == (t) \
    && FULL(0, t) && FULL(1, t) && FULL(2, t)))
#endif

/* One step of asynchronous replication: copy the first entry that differs. */
inline replicate(s, p) {
    k = 0;
    do
    :: k < length[s] && k < length[p] && ENTRY(s, k) == ENTRY(p, k) -> k++
    :: else -> break
    od;
    if
    :: k < length[p] ->
        ENTRY(s, k) = ENTRY(p, k);
        i = k + 1;
        do
        :: i < length[s] -> ENTRY(s, i) = 0; i++
        :: else -> break
        od;
        length[s] = k + 1
    :: else
    fi;
    i = 0;
    k = 0
}

#define BEHIND(s, p) (length[s] < length[p] || LAST_TERM(s) != LAST_TERM(p))

#define STREAMS(s) (source[s] != NONE && is_primary[source[s]] \
    && term[source[s]] == term[s])

inline forget(s) {
    i = 0;
    do
    :: i < length[s] -> ENTRY(s, i) = 0; i++
    :: else -> break
    od;
    i = 0;
    length[s] = 0;
    term[s] = 0;
    granted_to[s] = 0;
    served[s] = 0
}

#define FOLLOWS(s, t) (primary_of[t] != NONE && primary_of[t] != (s) \
    && (t) >= term[s] && source[s] != primary_of[t] && MAY_FOLLOW(s, t))

proctype Server(byte s) {
    byte i, k;

    do
    :: d_step { STREAMS(s) && BEHIND(s, source[s]) -> replicate(s, source[s]) }
    :: d_step { FOLLOWS(s, 1) -> follow(s, 1) }
    :: d_step { FOLLOWS(s, 2) -> follow(s, 2) }
    :: d_step { FOLLOWS(s, 3) -> follow(s, 3) }
    :: d_step { FOLLOWS(s, 4) -> follow(s, 4) }
    :: d_step { FOLLOWS(s, 5) -> follow(s, 5) }
#if CRASHES > 0
    :: d_step {
        crashes < CRASHES ->
        crashes++;
        is_primary[s] = false;
#ifdef FAULT_TERM_FORGOTTEN
        term[s] = LAST_TERM(s);
        granted_to[s] = 0;
#endif
        source[s] = NONE
       }
#endif
#if WIPES > 0
    :: d_step {
        wipes < WIPES ->
        wipes++;
        is_primary[s] = false;
        source[s] = NONE;
        forget(s)
       }
#endif
    od
}

/* AcknowledgementTracker._holds, for one server and one write. */
#ifdef FAULT_ACK_ANY_TERM
#define HOLDS(s, w) (length[s] > write_index[w])
#else
#define HOLDS(s, w) (term[s] == write_term[w] && LAST_TERM(s) == write_term[w] \
    && length[s] > write_index[w])
#endif

#define SEEN(w) ((evidence[w] & 1) + ((evidence[w] >> 1) & 1) + (evidence[w] >> 2))
#ifdef FAULT_ACK_ALONE
#define NEEDED 1
#else
#define NEEDED MAJORITY
#endif

#define LEARNS(s, w) (w < writes && !acknowledged[w] && !(evidence[w] & (1 << s)) \
    && HOLDS(s, w))

proctype Owner() {
    byte i, s, w;

    do
    /* The primary executes a write; track_write counts the primary itself. */
    :: d_step {
        writes < WRITES && is_primary[0] && length[0] < LOG -> s = 0;
        write_term[writes] = term[s]; write_index[writes] = length[s];
        evidence[writes] = 1 << s;
        ENTRY(s, length[s]) = term[s] + 8 * (1 << writes);
        length[s]++; writes++; s = 0 }
    :: d_step {
        writes < WRITES && is_primary[1] && length[1] < LOG -> s = 1;
        write_term[writes] = term[s]; write_index[writes] = length[s];
        evidence[writes] = 1 << s;
        ENTRY(s, length[s]) = term[s] + 8 * (1 << writes);
        length[s]++; writes++; s = 0 }
    :: d_step {
        writes < WRITES && is_primary[2] && length[2] < LOG -> s = 2;
        write_term[writes] = term[s]; write_index[writes] = length[s];
        evidence[writes] = 1 << s;
        ENTRY(s, length[s]) = term[s] + 8 * (1 << writes);
        length[s]++; writes++; s = 0 }

    /* AcknowledgementTracker.handle(StatusReceived) */
    :: LEARNS(0, 0) -> evidence[0] = evidence[0] | 1
    :: LEARNS(1, 0) -> evidence[0] = evidence[0] | 2
    :: LEARNS(2, 0) -> evidence[0] = evidence[0] | 4
#if WRITES > 1
    :: LEARNS(0, 1) -> evidence[1] = evidence[1] | 1
    :: LEARNS(1, 1) -> evidence[1] = evidence[1] | 2
    :: LEARNS(2, 1) -> evidence[1] = evidence[1] | 4
#endif

    /* WriteDurable */
    :: atomic {
        if
        :: writes > 0 && !acknowledged[0] && SEEN(0) >= NEEDED -> w = 0
#if WRITES > 1
        :: writes > 1 && !acknowledged[1] && SEEN(1) >= NEEDED -> w = 1
#endif
        fi;
        d_step {
            acknowledged[w] = true;
            evidence[w] = 0;
            check_acknowledgement(w);
            w = 0
        }
       }
    od
}

init {
    byte s;

    atomic {
        s = 0;
        do
        :: s <= MAX_TERM -> primary_of[s] = NONE; s++
        :: else -> break
        od;
        primary_of[1] = 0;
        s = 0;
        do
        :: s < SERVERS ->
            term[s] = 1;
            ENTRY(s, 0) = 1;
            length[s] = 1;
            source[s] = (s == 0 -> NONE : 0);
            s++
        :: else -> break
        od;
        is_primary[0] = true;
        served[0] = 1;
        run Watcher(1);
#if WATCHERS > 1
        run Watcher(2);
#endif
        run Server(0);
        run Server(1);
        run Server(2);
        run Owner()
    }
}
