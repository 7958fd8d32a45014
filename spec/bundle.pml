/*
 * Models the acceptance of a bundle with three routers. Control is a single
 * process; election.pml models its consensus.
 *
 * Two operators propose contents 1 and 2 for the same version and may resend
 * them; control stages one. A router acknowledges a content only after it has
 * stored it durably. Control accepts the bundle once a majority of the routers
 * has acknowledged it and the leases of all others have expired. A router serves
 * while it has a lease, or for HOLD ticks after a majority of the routers,
 * itself included, reported that they have none; it then adopts the newest
 * bundle that this majority knows. A clock process counts all timers down and
 * may tick at any step; time is unbounded.
 *
 * Checked: a version has one content; once the leases granted before the
 * acceptance have expired, no router serves by the old bundle; no router returns
 * to an older bundle.
 *
 * Mutants: NO_ADOPT makes a router serve without adopting the newest bundle;
 * NO_COMPARE makes control stage a second content; NO_MAJORITY makes control
 * accept once all other leases have expired, however few routers acknowledged.
 *
 * The properties do not depend on the wait for the other routers' leases. Control
 * waits so that it reports a bundle as accepted only once it is in force on all
 * routers.
 */
#ifdef NO_COMPARE
#define MAYSTAGE(content) true
#else
#define MAYSTAGE(content) (staged == 0 || staged == content)
#endif
#ifdef NO_ADOPT
#define ADOPTED(old, new) old
#else
#define ADOPTED(old, new) new
#endif
#ifdef NO_MAJORITY
#define ENOUGH(acks) true
#else
#define ENOUGH(acks) (acks * 2 > R)
#endif

#define R 3
#define LEASE 1   /* ticks of a lease on the router */
#define GRANTED 2 /* ticks of the same lease on control */
#define HOLD 1    /* ticks that a router may serve after a majority reported no lease */
#define LONG 2    /* ticks after the acceptance from which no router may serve by the old bundle */

byte staged = 0;       /* content staged by control, 0 for none */
bool accepted = false;
byte since = 0;        /* ticks since the acceptance, up to LONG */
byte durable[R];       /* content stored on disk, 0 for the old bundle */
byte inForce[R];       /* content by which the router serves, 0 for the old bundle */
byte lease[R];
byte granted[R];
bool acked[R];
byte hold[R];          /* ticks that the router may serve without a lease */

#define SERVES(i) (lease[i] > 0 || hold[i] > 0)

proctype Operator(byte content) {
  byte sent = 0;
  do
  :: atomic { sent < 2 && MAYSTAGE(content) -> assert(staged == 0 || staged == content); staged = content; sent++ }
  :: break
  od
}

proctype Control() {
  byte acks; byte j; bool over;
  do
  :: atomic { staged != 0 && !accepted ->
       acks = 0; j = 0; over = true;
       do
       :: j < R ->
          if
          :: acked[j] -> acks++
          :: else -> over = over && (granted[j] == 0)
          fi;
          j++
       :: else -> break
       od;
       if
       :: over && ENOUGH(acks) -> accepted = true
       :: else -> skip
       fi;
       acks = 0; j = 0; over = false }
  :: accepted -> break
  od
}

proctype Router(byte i) {
  byte count; byte j; byte newest;
  do
  :: /* Heartbeat. The reply may be lost. */
     atomic { true ->
       granted[i] = GRANTED;
       acked[i] = (staged != 0 && durable[i] == staged);
       if
       :: true ->
          assert(inForce[i] == 0 || inForce[i] == staged);
          durable[i] = (staged != 0 -> staged : durable[i]);
          inForce[i] = (accepted -> staged : inForce[i]);
          lease[i] = LEASE
       :: true -> skip
       fi }
  :: /* Control is unreachable: ask the other routers, each of which may be unreachable too. */
     atomic { lease[i] == 0 ->
       count = 1; j = 0; newest = durable[i];
       do
       :: j < R ->
          if
          :: j != i && lease[j] == 0 ->
             count++;
             newest = (durable[j] != 0 -> durable[j] : newest)
          :: true -> skip
          fi;
          j++
       :: else -> break
       od;
       if
       :: count * 2 > R ->
          durable[i] = ADOPTED(durable[i], newest);
          inForce[i] = ADOPTED(inForce[i], newest);
          hold[i] = HOLD
       :: else -> skip
       fi;
       count = 0; j = 0; newest = 0 }
  :: /* Restart. Only the stored bundle survives. */
     atomic { lease[i] > 0 || hold[i] > 0 -> lease[i] = 0; hold[i] = 0 }
  od
}

#define DOWN(x) x = (x > 0 -> x - 1 : 0)

proctype Clock() {
  byte i;
  do
  :: atomic {
       i = 0;
       do
       :: i < R ->
          assert(!(since == LONG && SERVES(i) && inForce[i] != staged));
          DOWN(lease[i]); DOWN(granted[i]); DOWN(hold[i]);
          i++
       :: else -> break
       od;
       since = (accepted && since < LONG -> since + 1 : since);
       i = 0 }
  od
}

init { atomic { run Operator(1); run Operator(2); run Control(); run Router(0); run Router(1); run Router(2); run Clock() } }
