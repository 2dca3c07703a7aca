/* Placement of two jobs on one worker by two schedulers that take turns.
 *
 * The owner reads every row after it took the lease, decides on what it read and
 * on its own later commits, and commits each placement together with the guard
 * row of its lease. A scheduler may pause between its look at the lease and its
 * commit, and a commit may take effect late.
 *
 * Checked: the worker is never promised to two jobs at once.
 */
#define JOBS 2

bool placed[JOBS];
byte version[JOBS];
byte lease_version;

#ifdef NO_GUARD
#define GUARDED(l) true
#elif defined(NO_LEASE_CHECK_NO_GUARD)
#define GUARDED(l) true
#else
#define GUARDED(l) (lease_version == l)
#endif
#ifdef NO_LEASE_CHECK_NO_GUARD
#define MAY_ACT true
#else
#define MAY_ACT (lease_version == my_lease)
#endif

proctype scheduler(byte my_lease) {
  bool known_placed[JOBS];
  byte known_version[JOBS];
  byte j;

#ifdef DECIDE_ON_OLD_ROWS /* Rows that were read before the lease was taken. */
  atomic { known_placed[0] = placed[0]; known_version[0] = version[0];
           known_placed[1] = placed[1]; known_version[1] = version[1] }
#endif
end: /* Another may have gone on to a later lease. */
  atomic { lease_version < my_lease -> lease_version = my_lease }
again:
#ifndef DECIDE_ON_OLD_ROWS
  atomic { if :: !MAY_ACT -> goto stop :: MAY_ACT ->
    known_placed[0] = placed[0]; known_version[0] = version[0] fi }
  atomic { if :: !MAY_ACT -> goto stop :: MAY_ACT ->
    known_placed[1] = placed[1]; known_version[1] = version[1] fi }
#endif
  do
  :: atomic { !MAY_ACT -> goto stop }
  :: atomic { MAY_ACT && version[0] + version[1] < 6 ->
       if :: j = 0 :: j = 1 fi;
       if
       :: known_placed[j]
       :: !known_placed[0] && !known_placed[1]
       :: else -> goto again
       fi }
     /* Pause here: the commit arrives late. */
     atomic {
       if
       :: GUARDED(my_lease) && version[j] == known_version[j] ->
          placed[j] = !known_placed[j]; version[j]++;
          assert(!(placed[0] && placed[1]));
          if
          :: known_placed[j] = placed[j]; known_version[j] = version[j]
          :: goto again /* The answer was lost: read again. */
          fi
       :: else -> goto again /* conflict */
       :: goto again         /* lost before it took effect */
       fi }
  :: atomic { version[0] + version[1] >= 6 -> goto stop }
  od;
stop:
  skip
}

init { atomic { run scheduler(1); run scheduler(2); run scheduler(3) } }
