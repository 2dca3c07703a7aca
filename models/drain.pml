/*
 * Drain of a minion and graceful stop of a gateway. Two gateways share one
 * minion; an operator's object marks it as leaving, and each gateway learns of
 * it in its own time. A gateway that is asked to stop leaves readiness, takes
 * no new work, and ends when nothing is left.
 *
 * Macros that remove one guard each:
 *   DISPATCH_WHILE_LEAVING  a gateway that knows still sends to the minion
 *   CUT_WORK_ON_LEAVING     work in progress is dropped when it is learned
 *   ACCEPT_WHILE_STOPPING   a stopping gateway takes new requests
 *   END_WITH_WORK           a stopping gateway ends at once
 */
#define GATEWAYS 2
#define REQUESTS 2 /* arrivals at each gateway */

bool leaving = false;           /* published */
bool knows[GATEWAYS];           /* learned by the gateway */
bool stopping[GATEWAYS];
bool ended[GATEWAYS];
byte queued[GATEWAYS];
byte in_work[GATEWAYS];
byte answered = 0;
byte refused = 0;
byte arrived = 0;
byte cut = 0;

proctype gateway(byte me) {
  byte arrivals = 0;
  do
  /* A request arrives. */
  :: atomic {
       arrivals < REQUESTS && !ended[me] ->
       arrivals++;
       arrived++;
       if
#ifdef ACCEPT_WHILE_STOPPING
       :: true -> assert(!stopping[me]); queued[me]++
#else
       :: stopping[me] -> refused++
       :: !stopping[me] -> queued[me]++
#endif
       fi
     }
  /* A queued request goes to the minion, or is refused as it is leaving. */
  :: atomic {
       queued[me] > 0 && !ended[me] ->
       queued[me]--;
       if
#ifdef DISPATCH_WHILE_LEAVING
       :: true -> assert(!knows[me]); in_work[me]++
#else
       :: knows[me] -> refused++
       :: !knows[me] -> in_work[me]++
#endif
       fi
     }
  /* The minion answers. */
  :: atomic { in_work[me] > 0 && !ended[me] -> in_work[me]--; answered++ }
  /* The gateway learns that the minion is leaving. */
  :: atomic {
       leaving && !knows[me] && !ended[me] ->
       knows[me] = true;
#ifdef CUT_WORK_ON_LEAVING
       cut = cut + in_work[me];
       in_work[me] = 0;
#endif
       assert(cut == 0)
     }
  /* It is asked to stop, at any time. */
  :: atomic { !stopping[me] -> stopping[me] = true }
  /* It ends when nothing is left. */
  :: atomic {
#ifdef END_WITH_WORK
       stopping[me] && !ended[me] ->
#else
       stopping[me] && !ended[me] && queued[me] == 0 && in_work[me] == 0 ->
#endif
       ended[me] = true;
       assert(queued[me] == 0 && in_work[me] == 0);
       break
     }
  od
}

proctype operator_process() {
  leaving = true
}

init {
  atomic {
    run gateway(0);
    run gateway(1);
    run operator_process()
  }
  /* Both gateways have ended: nobody went without an answer. */
  (ended[0] && ended[1]);
  assert(answered + refused == arrived)
}
