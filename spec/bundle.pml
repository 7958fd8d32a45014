/*
 * Acceptance of a bundle and what routers serve by, at the size of three
 * routers. Control is one place here: its own agreement is election.pml's.
 *
 * Two operators race with contents 1 and 2 of the same version, and may resend;
 * control stages one. A router that acknowledges has it durable. Control accepts
 * once a majority of the routers has acknowledged and every other one's lease
 * has run out. A router serves while it has a lease, or for a time after a
 * majority of the routers said that they have none; it then serves by the newest
 * bundle that any of the majority knows. Timers count down with a clock that ticks whenever
 * it likes; time has no bound.
 *
 * Checked: one content for a version; once the leases from before the
 * acceptance are over, no router serves by the old bundle; no router goes back.
 *
 * Mutants: NO_ADOPT lets a router go on without adopting the newest bundle;
 * NO_COMPARE lets control stage a second content; NO_MAJORITY lets control
 * accept once all leases are over, whoever acknowledged.
 *
 * An earlier version made the answering routers promise to take no lease for as
 * long as the asking one serves. The checker showed that nothing rests on it: a
 * time without a lease is short, and can only be renewed with a majority, some
 * of which knows the bundle by then. It showed too that waiting for the leases
 * of the others changes only when control says "accepted"; it is kept, so that
 * the word means in force everywhere.
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
#define LEASE 1   /* as the router counts it */
#define GRANTED 2 /* as control counts it */
#define HOLD 1    /* how long a router serves on after asking */
#define LONG 2    /* ticks after the acceptance from which the check holds */

byte staged = 0;       /* content that control has staged, 0 for none */
bool accepted = false;
byte since = 0;        /* ticks since the acceptance, up to LONG */
byte durable[R];       /* content that the router has durable, 0 for the old bundle */
byte inForce[R];       /* content by which the router serves, 0 for the old one */
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
  :: /* a heartbeat and its answer, which may be lost */
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
  :: /* control is lost: ask the others, each of which may be out of reach */
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
  :: /* a restart: the bundle is durable, the rest is gone */
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
