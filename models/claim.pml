/* Claim, dispatch and answer of a non-idempotent request under one key.
 *
 * ATTEMPTS submissions reach either of two gateways at any time: a caller that
 * retries, also while an earlier submission is in progress. A gateway may crash
 * and restart at every step, may be taken for dead while it lives, and reads of
 * the store may lag by one version. A commit may be lost, may take effect with
 * its answer lost, and may take effect late.
 *
 * Checked: at most one dispatch; "not_run" only where no byte was sent; an
 * answer is whole and belongs to the body that was sent; a claim that was given
 * up does not stay claimed while its gateway lives.
 */
#ifndef ATTEMPTS
#define ATTEMPTS 3
#endif
#ifndef LOST
#define LOST 1 /* Commits whose answer is lost. */
#endif
#ifndef CRASHES
#define CRASHES 1
#endif
#define LATE 2 /* Commits that are under way at once. */
#define NOBODY 9

mtype = { absent, claimed, released, answered, lost };        /* Row states. */
mtype = { done, conflict, unknown };                          /* Commit answers. */

typedef row_t {
  mtype state;
  byte version;
  byte token; /* Attempt that wrote the claim. */
  byte gateway;
  byte incarnation;
  bit body
};
typedef write_t {
  bool valid;
  byte expected;
  row_t next
};

row_t row, lagging;
write_t late[LATE];
byte incarnation[2];
byte crashes_left = CRASHES;
byte lost_left = LOST;
bool sent[ATTEMPTS];    /* Bytes of the attempt may have reached a minion. */
bool gave_up[ATTEMPTS]; /* In its gateway's memory: will never dispatch. */
byte ended;
byte dispatches;
bool object_written;
bit object_body;
/* Scratch of single atomic steps. */
hidden row_t next;
hidden byte slot;
hidden mtype answer;

#ifdef UNCONDITIONAL_WRITE
#define MATCHES(e) true
#else
#define MATCHES(e) (row.version == e)
#endif

#define copy_row(to, from) \
  to.state = from.state; to.version = from.version; to.token = from.token; \
  to.gateway = from.gateway; to.incarnation = from.incarnation; to.body = from.body

inline apply(expected_v, new_row, outcome) {
  if
  :: MATCHES(expected_v) -> copy_row(lagging, row); copy_row(row, new_row);
     row.version = lagging.version + 1; outcome = done;
     assert(row.state != answered || object_written) /* The object is there. */
  :: else -> outcome = conflict
  fi
}

#define forget_row(r) \
  r.state = 0; r.version = 0; r.token = 0; r.gateway = 0; r.incarnation = 0; r.body = 0
#define forget_late(l) l.valid = false; l.expected = 0; forget_row(l.next)

/* Commits `next` if the row has version `expected_version`. */
inline commit(expected_version, new_state) {
  next.state = new_state; next.token = id; next.gateway = g;
  next.incarnation = born; next.body = body;
  if
  :: apply(expected_version, next, answer)
  :: lost_left > 0 -> lost_left--;
     if
     :: apply(expected_version, next, answer)
     :: slot = 0;
        do
        :: slot < LATE && late[slot].valid -> slot++
        :: else -> break
        od;
        if
        :: slot < LATE -> late[slot].valid = true;
           late[slot].expected = expected_version;
           copy_row(late[slot].next, next)
        :: else -> skip
        fi
     fi;
     answer = unknown
  fi
}

inline read_row() {
  if
  :: copy_row(view, row)
  :: copy_row(view, lagging)
  fi
}

#define ALIVE (incarnation[g] == born)
#define MINE (view.state == claimed && view.token == id)
#define STEP(x) atomic { if :: !ALIVE -> goto dead :: ALIVE -> x fi }

proctype attempt(byte id; bit body) {
  byte g, born, my_version;
  byte claimed_over; /* Highest version that a claim of this attempt replaces. */
  row_t view;
  bool wrote; /* A claim of this attempt may be under way. */

  atomic {
    if :: g = 0 :: id > 0 -> g = 1 fi; /* Gateways are alike. */
    born = incarnation[g]
  }

#ifdef CLAIM_AFTER_DISPATCH
  STEP(dispatches++; sent[id] = true; assert(dispatches <= 1));
#endif
judge:
  atomic {
    if :: !ALIVE -> goto dead :: ALIVE -> read_row() fi;
    if
    :: MINE -> my_version = view.version; goto dispatch
#ifdef NO_READBACK_TOKEN
    :: view.state == claimed && wrote -> my_version = view.version; goto dispatch
#endif
    :: view.state != absent && view.body != body ->
#ifndef NO_BODY_CHECK
       goto finish /* key_reused */
#else
       skip
#endif
    :: else
    fi;
    if
    :: view.state == absent || view.state == released
    :: view.state == answered ->
       assert(object_written && object_body == body); goto finish
    :: view.state == lost -> goto finish /* unknown, for ever */
    :: view.state == claimed ->
       if
#ifdef NO_INCARNATION
       :: view.gateway == g && (gave_up[view.token] || view.incarnation != born)
#else
       :: view.gateway == g && view.incarnation == born && gave_up[view.token]
#endif
       :: goto finish /* in_progress: the wait ended with the timeout. */
       /* Another holder is taken for dead, rightly or not. */
       :: view.gateway != g || view.incarnation != born ->
#ifndef RECLAIM_DEAD_HOLDER
          commit(view.version, lost);
          if
          :: answer == conflict -> goto judge
          :: else -> goto finish
          fi
#endif
       fi
    fi
  }
  /* The slot is ours and the row allows a claim. */
  atomic {
    if :: !ALIVE -> goto dead :: ALIVE -> skip fi;
    if
    :: wrote = true;
       claimed_over = (view.version > claimed_over -> view.version : claimed_over);
       commit(view.version, claimed);
       if
       :: answer == done -> my_version = view.version + 1; goto dispatch
#ifdef DISPATCH_ON_UNKNOWN
       :: answer == unknown -> my_version = view.version + 1; goto dispatch
#else
       :: answer == unknown -> goto judge
#endif
       :: answer == conflict -> goto judge
       fi
    :: gave_up[id] = true; goto settle /* timed out before dispatch */
    fi
  }

dispatch:
  atomic {
    if :: !ALIVE -> goto dead :: ALIVE -> forget_row(view) fi;
    if
    :: gave_up[id] = true; goto settle /* cancelled or too late: not_run */
    :: gave_up[id] = true; goto settle /* the send was not_done: not_run */
#ifndef CLAIM_AFTER_DISPATCH
    :: dispatches++; sent[id] = true; assert(dispatches <= 1)
#else
    :: true
#endif
    fi
  }
  /* Answered, or nothing is known of the send. */
  atomic {
    if :: !ALIVE -> goto dead :: ALIVE -> skip fi;
    if
    :: true /* a whole answer */
    :: goto send_unknown
    fi
  }
#ifdef ROW_BEFORE_OBJECT
  STEP(commit(my_version, answered));
#endif
  STEP(object_written = true; object_body = body);
  STEP(commit(my_version, answered));
  goto finish;

send_unknown:
#ifdef RELEASE_UNKNOWN_SEND
  atomic { if :: !ALIVE -> goto dead :: ALIVE -> gave_up[id] = true; goto settle fi };
#endif
  STEP(commit(my_version, lost));
  goto finish;

settle: /* The caller is told not_run; the claim is released. */
  atomic {
#ifndef RELEASE_UNKNOWN_SEND
    assert(!sent[id]);
#endif
    if :: !ALIVE -> goto dead :: ALIVE -> skip fi;
#ifndef NO_SETTLE
    if
    :: !wrote -> goto finish
    :: else -> read_row()
    fi;
    if
    /* A new version of the row also fences a claim that is still under way. */
#ifdef NO_FENCE_OF_LATE_CLAIM
    :: MINE ->
#else
    :: MINE || view.version == claimed_over ->
#endif
       commit(view.version, released);
       if
       :: answer == done -> goto finish
       :: else -> goto settle
       fi
    :: view.version != row.version -> goto settle /* a lagging read */
    :: else -> goto finish
    fi
#endif
  }
finish:
dead:
  ended++
}

/* Commits that take effect late, or never. */
proctype network() {
end:
  do
  :: atomic { late[0].valid ->
       if :: apply(late[0].expected, late[0].next, answer) :: skip fi;
       forget_late(late[0]) }
  :: atomic { late[1].valid ->
       if :: apply(late[1].expected, late[1].next, answer) :: skip fi;
       forget_late(late[1]) }
  od
}

proctype crash() {
end:
  do
  :: atomic { crashes_left > 0 && ended < ATTEMPTS -> crashes_left--;
       if :: incarnation[0]++ :: incarnation[1]++ fi }
  od
}

init {
  atomic {
    row.state = absent; lagging.state = absent;
    row.token = NOBODY; lagging.token = NOBODY;
    run network(); run crash();
    run attempt(0, 0);
    if :: run attempt(1, 0) :: run attempt(1, 1) fi;
    if :: ATTEMPTS > 2 -> run attempt(2, 0) :: else fi
  }
  /* All over: a claim that was given up by a live gateway is not left. */
  (ended == ATTEMPTS && !late[0].valid && !late[1].valid);
  assert(!(row.state == claimed && gave_up[row.token] &&
           incarnation[row.gateway] == row.incarnation))
}
