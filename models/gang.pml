/* Start, release, stop and takeover of a gang by two schedulers.
 *
 * A scheduler may pause at any step; its lease may lapse meanwhile and the other
 * takes over. Starts, releases, renewals and stops arrive late, also after the
 * sender has lost its lease. Tasks lapse or die at any time. A commit may be
 * lost, may take effect late, or take effect with its answer lost; reads may lag
 * by one version. A task id is JOB.ATTEMPT.INDEX and stays known to its worker.
 *
 * Checked: a task works only if its attempt was recorded running with every task
 * held; two attempts never work at once; a non-idempotent job works in at most
 * one attempt; a running gang is not stopped without a record; nothing works
 * after the record ended; "not run" means that nothing worked.
 */
#ifndef ATTEMPTS
#define ATTEMPTS 2
#endif
#ifndef LOST
#define LOST 1
#endif
#ifndef TAKEOVERS
#define TAKEOVERS 2
#endif
#define TASKS 2 /* Tasks of the gang. */
#define ALL (ATTEMPTS * TASKS)
#define FIRST(a) ((a - 1) * TASKS)

mtype = { waiting, placing, running, stopping, ended };     /* Job states. */
mtype = { none, held, working, stopped };                   /* Task states. */
mtype = { done, conflict, unknown };                        /* Commit answers. */

typedef row_t {
  mtype state;
  byte version;
  byte attempt;
  bool ran;     /* In `stopping`: this attempt was recorded running. */
  bool any_ran; /* Some attempt was recorded running. */
  bool final    /* In `stopping`: ends afterwards, else waits again. */
};
typedef write_t {
  bool valid;
  byte lease;
  byte expected;
  row_t next
};

row_t row, lagging;
write_t late;
byte lease_version = 1; /* Grows with each takeover. */
bool idempotent;
mtype task[ALL];
bool was_held[ALL];
bool start_sent[ALL], release_sent[ALL], stop_sent[ALL];
bool recorded[ATTEMPTS + 1]; /* Attempt was committed as running. */
bool worked[ATTEMPTS + 1];   /* A task of the attempt began to work. */
byte lost_left = LOST;
hidden row_t next;
hidden mtype answer;

#define copy_row(to, from) \
  to.state = from.state; to.version = from.version; to.attempt = from.attempt; \
  to.ran = from.ran; to.any_ran = from.any_ran; to.final = from.final
/* The first lease has surely lapsed, though a start may still be under way. */
#define LAPSED(t) (task[t] != held && task[t] != working)
#define AT_WORK(a) (task[FIRST(a)] == working || task[FIRST(a) + 1] == working)
#define ANY_AT_WORK (AT_WORK(1) || AT_WORK(2))

#define MATCHES(l, e) (row.version == e && l == lease_version)

inline apply(guard_version, expected_v, new_row, outcome) {
  if
  :: MATCHES(guard_version, expected_v) ->
     assert(row.state != ended);
     copy_row(lagging, row); copy_row(row, new_row);
     row.version = lagging.version + 1; outcome = done;
     if
     :: row.state == running -> recorded[row.attempt] = true
     :: row.state == waiting || row.state == ended ->
        assert(!ANY_AT_WORK);
        assert(row.state != ended || row.any_ran || !(worked[1] || worked[2]))
     :: else
     fi
  :: else -> outcome = conflict
  fi
}

/* Commits a new state together with the guard row of this lease. Before a job
 * waits again no task of it holds a worker, but for starts still under way. */
inline commit(new_state, new_attempt, new_ran, new_final) {
  assert(new_state != waiting ||
         (LAPSED(FIRST(new_attempt)) && LAPSED(FIRST(new_attempt) + 1)));
  next.state = new_state; next.attempt = new_attempt;
  next.ran = new_ran; next.final = new_final;
#ifdef FORGET_EARLIER_RUN
  next.any_ran = new_ran || new_state == running;
#else
  next.any_ran = view.any_ran || new_state == running;
#endif
  if
  :: apply(my_lease, view.version, next, answer)
  :: lost_left > 0 -> lost_left--;
     if
     :: apply(my_lease, view.version, next, answer)
     :: !late.valid -> late.valid = true; late.lease = my_lease;
        late.expected = view.version; copy_row(late.next, next)
     fi;
     answer = unknown
  fi
}

/* Messages to a stopped task have no effect; they are dropped at once. */
#ifdef START_REVIVES
#define SEND(message, t) message[t] = true
#define FORGET(t) skip
#else
#define SEND(message, t) message[t] = (task[t] != stopped)
#define FORGET(t) start_sent[t] = false; release_sent[t] = false; stop_sent[t] = false
#endif

/* Delivers messages in any order, as late as it likes; tasks lapse. */
proctype network() {
  byte t, a;
end:
  do
  :: atomic { late.valid -> apply(late.lease, late.expected, late.next, answer);
       late.valid = false; late.lease = 0; late.expected = 0;
       late.next.state = 0; late.next.version = 0; late.next.attempt = 0;
       late.next.ran = 0; late.next.any_ran = 0; late.next.final = 0 }
  :: atomic {
       t = 0;
       do :: t < ALL - 1 -> t++ :: break od;
       a = t / TASKS + 1;
       if
       :: start_sent[t] ->
#ifdef START_REVIVES
          if :: skip :: start_sent[t] = false fi; /* It may arrive again. */
#else
          start_sent[t] = false;
#endif
          if
          :: task[t] == none -> task[t] = held; was_held[t] = true
#ifdef START_REVIVES
          :: task[t] == stopped -> task[t] = held
#endif
          :: else
          fi
       :: release_sent[t] -> release_sent[t] = false;
          if
          :: task[t] == held -> task[t] = working; worked[a] = true;
             assert(recorded[a]);
             assert(was_held[FIRST(a)] && was_held[FIRST(a) + 1]);
             assert(!(AT_WORK(1) && AT_WORK(2)));
             assert(idempotent || !(worked[1] && worked[2]));
             assert(row.state != waiting && row.state != ended)
          :: else
          fi
       :: stop_sent[t] -> stop_sent[t] = false;
          assert(!(row.state == running && row.attempt == a));
          task[t] = stopped; FORGET(t)
       :: task[t] == held || task[t] == working -> task[t] = stopped; FORGET(t)
       :: else
       fi;
       t = 0; a = 0
     }
  od
}

#define OWNER (lease_version == my_lease)
#ifdef NO_LEASE_CHECK
#define MAY_ACT true
#else
#define MAY_ACT OWNER
#endif

#define CONFIRMED(t) (task[t] == stopped)
#ifdef ASSUME_STOPPED
#define GONE(t, ran) true
#else
#define GONE(t, ran) (CONFIRMED(t) || (!ran && LAPSED(t)))
#endif

proctype scheduler(byte my_lease) {
  row_t view;
  byte starting; /* Attempt that this owner recorded as placing. */
  bool held_seen0, held_seen1;

  /* Ownership of lease 1 is there at once; a later one begins with a takeover,
   * possible as soon as the former holder's lease has lapsed. */
  atomic { lease_version == my_lease - 1 || lease_version == my_lease ->
    lease_version = my_lease }

again:
  atomic {
    if :: !MAY_ACT -> goto stop :: MAY_ACT -> skip fi;
    if :: copy_row(view, row) :: copy_row(view, lagging) fi;
    held_seen0 = false; held_seen1 = false;
    if
    :: view.state == ended -> goto stop
    :: view.state == waiting ->
       if
       :: view.attempt < ATTEMPTS ->
          starting = 0;
          commit(placing, view.attempt + 1, false, false);
          if
          :: answer == done -> view.version++; view.state = placing;
             view.attempt++; starting = view.attempt; goto start
          :: else -> goto again
          fi
       :: commit(ended, view.attempt, false, true);
          goto again
       fi
    :: view.state == placing ->
       if
#ifdef TAKEOVER_WITHOUT_STOP
       :: starting != view.attempt -> commit(waiting, view.attempt, false, false);
          goto again
#endif
#ifdef TAKEOVER_STOP_BEFORE_RECORD
       :: starting != view.attempt -> goto send_stops
#endif
       :: else -> goto record_stopping
       fi
    :: view.state == running -> goto release
    :: view.state == stopping -> goto send_stops
    fi
  }

start: /* Every task is started held. */
#ifdef RELEASE_BEFORE_RECORD
  atomic { SEND(release_sent, FIRST(starting)); SEND(release_sent, FIRST(starting) + 1) };
#endif
  atomic { if :: !MAY_ACT -> goto stop :: MAY_ACT -> SEND(start_sent, FIRST(starting)) fi };
  atomic { if :: !MAY_ACT -> goto stop :: MAY_ACT -> SEND(start_sent, FIRST(starting) + 1) fi };
watch: /* Reports come one by one. */
  atomic {
    if :: !MAY_ACT -> goto stop :: MAY_ACT -> skip fi;
    if
    :: !held_seen0 && task[FIRST(starting)] == held -> held_seen0 = true
    :: !held_seen1 && task[FIRST(starting) + 1] == held -> held_seen1 = true
    :: goto record_stopping /* a start failed, a cancel, or too late */
    fi;
#ifdef RECORD_AFTER_ONE_HELD
    if :: held_seen0 || held_seen1 -> skip
#else
    if :: held_seen0 && held_seen1 -> skip
#endif
    :: else -> goto watch
    fi
  }
  atomic {
    if :: !MAY_ACT -> goto stop :: MAY_ACT -> skip fi;
    commit(running, view.attempt, false, false);
    if
    :: answer == done -> view.version++; view.state = running; view.any_ran = true
#ifdef RELEASE_ON_UNKNOWN
    :: answer == unknown -> skip
#endif
    :: else -> goto again
    fi
  }

release: /* Recorded running, by this owner or a former one. */
  atomic { if :: !MAY_ACT -> goto stop :: MAY_ACT -> SEND(release_sent, FIRST(view.attempt)) fi };
  atomic { if :: !MAY_ACT -> goto stop :: MAY_ACT -> SEND(release_sent, FIRST(view.attempt) + 1) fi };
  /* It runs until a member is lost, it is evicted, cancelled or has ended. */
  atomic {
    if :: !MAY_ACT -> goto stop :: MAY_ACT -> skip fi;
    if
    :: goto again
    :: goto record_stopping
    fi
  }

record_stopping:
  atomic {
    if :: !MAY_ACT -> goto stop :: MAY_ACT -> skip fi;
#ifdef STOP_BEFORE_RECORD
    SEND(stop_sent, FIRST(view.attempt));
#endif
    /* A non-idempotent job that was recorded running is never placed again. */
    if
    :: commit(stopping, view.attempt, view.state == running, true)
#ifndef RERUN_NON_IDEMPOTENT
    :: view.state == placing || idempotent ->
#else
    ::
#endif
       commit(stopping, view.attempt, view.state == running, false)
    fi;
    goto again
  }

send_stops:
  atomic {
    if :: !MAY_ACT -> goto stop :: MAY_ACT -> skip fi;
    SEND(stop_sent, FIRST(view.attempt)); SEND(stop_sent, FIRST(view.attempt) + 1)
  }
  atomic {
    if
    :: !MAY_ACT -> goto stop
    :: MAY_ACT && GONE(FIRST(view.attempt), view.ran) &&
       GONE(FIRST(view.attempt) + 1, view.ran) -> skip
    fi;
    if
    :: view.final -> commit(ended, view.attempt, view.ran, true)
    :: else -> commit(waiting, view.attempt, false, false)
    fi;
    goto again
  }
stop: /* Forgets everything, so that equal states are seen as equal. */
  atomic {
    starting = 0; held_seen0 = false; held_seen1 = false;
    view.state = 0; view.version = 0; view.attempt = 0;
    view.ran = 0; view.any_ran = 0; view.final = 0
  }
}

init {
  byte t = 0;
  atomic {
    row.state = waiting; lagging.state = waiting;
    do :: t < ALL -> task[t] = none; t++ :: else -> break od;
    t = 0;
    if :: idempotent = true :: idempotent = false fi;
    run network();
    run scheduler(1); run scheduler(2);
    if :: TAKEOVERS > 1 -> run scheduler(3) :: else fi
  }
}
