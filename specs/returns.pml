/*
 * Return of the store from a copy of a release (docs/design/store-eras.md).
 *
 * Three servers, of which the primary changes CHANGES times. A commit is acknowledged
 * once one replica has received it; the other one may be behind or may not have heard
 * of the last promotions. The store returns once, from a copy of the group record of any
 * earlier moment, and all instances are lost. The next leader compares the record with
 * the servers, of which one may not answer, and then finishes a failover among all of
 * them. An order to promote may be executed at any later time, or a second time; one
 * that the copy lacks is not executed after the return.
 * Positions are a term and a number, and compare in this order.
 */

#define SERVERS 3
#define NONE 3
#ifndef CHANGES
#define CHANGES 2
#endif
#ifndef COMMITS
#define COMMITS 3
#endif
#define LAST_TERM 6

#define STEADY 0
#define REPLACING 1

/* The servers, and what the platform knows of them. */
byte leading = 0;
byte last_term = 1;
byte term[SERVERS];
bool is_primary[SERVERS];
byte entry_term[SERVERS];
byte entries[SERVERS];
bool pending[SERVERS];          /* whether an order for it may still be executed */
bool is_repeated = false;       /* whether the latest order is executed twice */

/* The group record. */
byte phase = STEADY;
byte primary = 0;               /* the ordered server while REPLACING */
byte old = NONE;
byte record_term = 1;
byte sealed_term = 0;           /* 0 if nothing is sealed */
byte sealed_entries = 0;
bool is_sealed_in_era = true;
bool unanswered[SERVERS];

/* The copy of it. */
bool has_copy = false;
byte copy_phase, copy_primary, copy_old, copy_term, copy_sealed_term;
byte copy_sealed_entries;
bool copy_unanswered[SERVERS];

bool has_returned = false;
bool is_settled = true;
byte changes = 0;
byte commits = 0;
byte acknowledged_term = 1;
byte acknowledged_entries = 0;
bool acknowledged_write_lost = false;

#define AT_LEAST(t1, n1, t2, n2) (t1 > t2 || (t1 == t2 && n1 >= n2))
#define COVERS(s, r) AT_LEAST(entry_term[s], entries[s], entry_term[r], entries[r])
#define HAS_SEALED(s) \
    (sealed_term > 0 && AT_LEAST(entry_term[s], entries[s], sealed_term, sealed_entries))
/* Commits of the sealed term above the sealed position were not acknowledged. */
#define IGNORES(s, r) (COVERS(s, r) || entry_term[r] <= sealed_term)
#define IS_KEPT(s) \
    (HAS_SEALED(s) && (is_sealed_in_era || (IGNORES(s, 0) && IGNORES(s, 1) && IGNORES(s, 2))))
#define COVERS_ALL(s) (COVERS(s, 0) && COVERS(s, 1) && COVERS(s, 2))
/* Whether an order for another server is in ``orders``. */
#define OTHERS(orders, s) \
    ((s != 0 && orders[0]) || (s != 1 && orders[1]) || (s != 2 && orders[2]))

inline copy_log(s) {
    term[s] = last_term;
    is_primary[s] = false;
    entry_term[s] = entry_term[leading];
    entries[s] = entries[leading]
}

inline execute_order(s) {
    if
    :: s == leading -> skip
    :: else ->
       leading = s;
       last_term++;
       term[s] = last_term;
       is_primary[s] = true;
       acknowledged_write_lost = !AT_LEAST(
           entry_term[s], entries[s], acknowledged_term, acknowledged_entries)
    fi;
    if
    :: s == primary && is_repeated -> is_repeated = false
    :: else -> pending[s] = false
    fi
}

inline order(s) {
    primary = s;
    sealed_term = entry_term[s];
    sealed_entries = entries[s];
    is_sealed_in_era = true;
    unanswered[s] = true;
    pending[s] = true
}

#define SET_ORDERS(target, source) \
    target[0] = source[0]; target[1] = source[1]; target[2] = source[2]

inline forget_orders() {
    unanswered[0] = false;
    unanswered[1] = false;
    unanswered[2] = false
}

/* confirmed_record: ``away`` does not answer. */
inline compare(away) {
    latest = 0;
    found = NONE;
    s = 0;
    do
    :: s < SERVERS ->
       if
       :: s != away && term[s] > latest -> latest = term[s]
       :: else
       fi;
       s++
    :: else -> break
    od;
    s = 0;
    do
    :: s < SERVERS ->
       if
       :: s != away && is_primary[s] && term[s] == latest -> found = s
       :: else
       fi;
       s++
    :: else -> break
    od;
    is_later = false;
    if
    :: phase == STEADY ->
       is_later = (primary == away -> latest > record_term : found != primary)
    :: phase == REPLACING && found != NONE && found == primary -> skip
    :: else ->
       is_later = (latest >= record_term || (found != NONE && found != old));
       s = 0;
       do
       :: s < SERVERS ->
          if
          :: s != away && sealed_term > 0 && entry_term[s] > sealed_term -> is_later = true
          :: else
          fi;
          s++
       :: else -> break
       od
    fi;
    if
    :: !is_later -> skip
    :: else ->
       if
       :: found != NONE && latest >= record_term + (phase == STEADY) ->
          primary = found;
          phase = REPLACING;
#ifdef FAULT_ORDERS_DROPPED
          forget_orders();
          phase = STEADY
#else
          if
          :: !OTHERS(unanswered, found) -> phase = STEADY
          :: entry_term[found] == term[found] && entries[found] > sealed_entries ->
             forget_orders();
             phase = STEADY
          :: else
          fi
#endif
       :: else ->
          phase = REPLACING;
          primary = NONE
       fi;
       sealed_term = 0;
       sealed_entries = 0;
       record_term = latest + 1;
       old = NONE
    fi
}

proctype group() {
    byte s, latest, found;
    bool is_later;
    do
    /* The platform and the servers. */
    :: d_step { pending[0] && last_term < LAST_TERM -> execute_order(0) }
    :: d_step { pending[1] && last_term < LAST_TERM -> execute_order(1) }
    :: d_step { pending[2] && last_term < LAST_TERM -> execute_order(2) }
    /* No order is executed after a time that leaders wait for. */
    :: d_step { pending[0] -> pending[0] = false; is_repeated = false }
    :: d_step { pending[1] -> pending[1] = false; is_repeated = false }
    :: d_step { pending[2] -> pending[2] = false; is_repeated = false }
    :: d_step { term[0] < last_term || !COVERS(0, leading) -> copy_log(0) }
    :: d_step { term[1] < last_term || !COVERS(1, leading) -> copy_log(1) }
    :: d_step { term[2] < last_term || !COVERS(2, leading) -> copy_log(2) }
    /* A commit at the recorded primary, received by one replica. */
    :: d_step { is_settled && phase == STEADY && is_primary[primary] && commits < COMMITS &&
           term[(primary + 1) % SERVERS] == term[primary] ->
           s = (primary + 1) % SERVERS; commits++;
           entry_term[primary] = term[primary]; entries[primary]++;
           entry_term[s] = entry_term[primary]; entries[s] = entries[primary];
           acknowledged_term = entry_term[s]; acknowledged_entries = entries[s] }
    :: d_step { is_settled && phase == STEADY && is_primary[primary] && commits < COMMITS &&
           term[(primary + 2) % SERVERS] == term[primary] ->
           s = (primary + 2) % SERVERS; commits++;
           entry_term[primary] = term[primary]; entries[primary]++;
           entry_term[s] = entry_term[primary]; entries[s] = entries[primary];
           acknowledged_term = entry_term[s]; acknowledged_entries = entries[s] }
    /* A failover. The old primary is told to step down. */
    :: d_step { is_settled && phase == STEADY && changes < CHANGES ->
           changes++;
           phase = REPLACING;
           old = primary;
           primary = NONE;
           sealed_term = 0;
           sealed_entries = 0;
           record_term = last_term + 1;
           is_primary[old] = false }
    :: d_step { is_settled && phase == REPLACING && primary != NONE && !pending[primary] &&
           !is_primary[primary] && IS_KEPT(primary) -> pending[primary] = true }
    :: atomic { is_settled && phase == REPLACING &&
           (primary == NONE || (!is_primary[primary] && !IS_KEPT(primary))) ->
           if
           :: COVERS_ALL(0) -> order(0)
           :: COVERS_ALL(1) -> order(1)
           :: COVERS_ALL(2) -> order(2)
           fi;
           if
           :: is_repeated = true
           :: skip
           fi }
    :: d_step { is_settled && phase == REPLACING && primary != NONE && leading == primary &&
           (!OTHERS(unanswered, primary) || !OTHERS(pending, primary)) ->
           phase = STEADY;
           SET_ORDERS(unanswered, pending);
           old = NONE }
    /* The store. */
    :: d_step { !has_copy ->
           has_copy = true;
           copy_phase = phase; copy_primary = primary; copy_old = old;
           copy_term = record_term; copy_sealed_term = sealed_term;
           copy_sealed_entries = sealed_entries;
           SET_ORDERS(copy_unanswered, unanswered) }
    :: d_step { has_copy && !has_returned ->
           has_returned = true; is_settled = false;
           phase = copy_phase; primary = copy_primary; old = copy_old;
           record_term = copy_term; sealed_term = copy_sealed_term;
           sealed_entries = copy_sealed_entries;
           SET_ORDERS(unanswered, copy_unanswered);
           pending[0] = pending[0] && unanswered[0];
           pending[1] = pending[1] && unanswered[1];
           pending[2] = pending[2] && unanswered[2];
#ifndef FAULT_COPY_TRUSTED
           is_sealed_in_era = false
#endif
       }
#ifdef FAULT_COPY_TRUSTED
    :: d_step { !is_settled && phase == REPLACING -> is_settled = true }
    :: d_step { !is_settled && phase == STEADY -> compare(NONE); is_settled = true }
#else
    :: d_step { !is_settled -> compare(NONE); is_settled = true }
    :: d_step { !is_settled -> compare(0); is_settled = true }
    :: d_step { !is_settled -> compare(1); is_settled = true }
    :: d_step { !is_settled -> compare(2); is_settled = true }
#endif
    :: acknowledged_write_lost -> break
    :: commits == COMMITS && has_returned && is_settled && phase == STEADY -> break
    od;
    assert(!acknowledged_write_lost)
}

init {
    d_step {
        is_primary[0] = true;
        term[0] = 1; term[1] = 1; term[2] = 1;
        entry_term[0] = 1; entry_term[1] = 1; entry_term[2] = 1
    };
    run group()
}
