/*
 * Publication of a configuration by racing operators, and its spread to
 * processes by polling and by peers. Each row of a read may lag by itself;
 * a commit's answer may be lost, and the write may also land later.
 *
 * Macros that remove one guard each:
 *   UNCONDITIONAL_PUBLISH  the commit does not compare the version
 *   UNKNOWN_IS_NOT_DONE    a lost answer is reported as a conflict
 *   NEWER_IS_CONFLICT      a newer current row settles a sent publication,
 *                          although the history row of the read may lag
 *   NO_VERSION_COMPARE     a process adopts whatever it is shown
 *   READY_WITHOUT_CONFIG   a started process serves before it has a version
 */
#define OPERATORS 2
#define PROCESSES 2
#define VERSIONS 4 /* 0 stands for none */
#define TRIES 2

byte current = 0;             /* version of the current row */
byte history[VERSIONS];       /* token of each version, 0 for none */
byte in_force[PROCESSES];     /* version, 0 for none */
byte token_in_force[PROCESSES];
bool serves[PROCESSES];
byte restarts = 1;
byte lost = 2;

/* Any version that the current row has had. */
inline lagging_current(result) {
  select(result : 0 .. 3);
  if
  :: result > current -> result = current
  :: else -> skip
  fi
}

inline commit(base, token) {
  if
#ifdef UNCONDITIONAL_PUBLISH
  :: true -> history[base + 1] = token; current = base + 1
#else
  :: current == base && history[base + 1] == 0 ->
     history[base + 1] = token;
     current = base + 1
  :: else -> skip
#endif
  fi
}

/* A write that was sent and may land at any later time. */
proctype late_write(byte base; byte token) {
  atomic { commit(base, token) }
}

proctype operator_process(byte token) {
  byte version, seen, seen_history, base;
  byte tries = 0;
  bool sent = false;

  atomic {
    lagging_current(seen);
    if
    :: seen + 1 >= VERSIONS -> goto done
    :: else -> version = seen + 1
    fi
  }
  do
  :: tries >= TRIES -> goto done /* reported as unknown */
  :: else ->
     tries++;
     base = version - 1;
     /* One commit: done, lost after it took effect, lost and late, or never. */
     atomic {
       sent = true;
       if
       :: lost > 0 -> lost--; commit(base, token)
       :: lost > 0 -> lost--; run late_write(base, token)
       :: lost > 0 -> lost--
       :: commit(base, token);
          if
          :: history[version] == token -> goto published
          :: else -> skip
          fi
       fi
     }
#ifdef UNKNOWN_IS_NOT_DONE
     goto conflict;
#endif
     /* Settle by reading; a row that is too old means another try. */
     atomic {
       lagging_current(seen);
       if
       :: seen_history = history[version]
       :: seen_history = 0
       fi
     }
     if
     :: seen_history == token -> goto published
     :: seen_history != 0 && seen_history != token -> goto conflict
     :: seen_history == 0 && seen == version && history[seen] == token -> goto published
     :: seen_history == 0 && seen == version && history[seen] != token -> goto conflict
     :: seen_history == 0 && seen > version ->
#ifdef NEWER_IS_CONFLICT
        goto conflict
#else
        skip /* the read lags: read again */
#endif
     :: seen_history == 0 && seen < version -> skip
     fi
  od;
published:
  assert(history[version] == token);
  goto done;
conflict:
  /* It must never take effect, now or later. */
  assert(history[version] != token && history[version] != 0);
done:
  skip
}

inline adopt(me, version, token) {
  if
#ifdef NO_VERSION_COMPARE
  :: version > 0 ->
#else
  :: version > in_force[me] ->
#endif
     assert(version > in_force[me]);
     assert(history[version] == token);
     in_force[me] = version;
     token_in_force[me] = token;
     serves[me] = true
  :: else -> skip
  fi
}

proctype follower(byte me) {
  byte seen;
  byte steps = 0;
#ifdef READY_WITHOUT_CONFIG
  serves[me] = true;
#endif
  do
  :: steps >= 3 -> break
  :: else ->
     steps++;
     if
     :: atomic { lagging_current(seen); adopt(me, seen, history[seen]) }
     :: atomic { adopt(me, in_force[1 - me], token_in_force[1 - me]) }
     :: atomic {
          restarts > 0 ->
          restarts--;
          in_force[me] = 0;
          token_in_force[me] = 0;
          serves[me] = false
        }
     fi;
     assert(!serves[me] || in_force[me] > 0)
  od
}

init {
  atomic {
    run operator_process(1);
    run operator_process(2);
    run follower(0);
    run follower(1)
  }
}
