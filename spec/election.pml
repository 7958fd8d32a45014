/*
 * Models leader election, leader leases and fencing with three control nodes.
 *
 * A clock process counts all timers down and may tick at any step, so a node that
 * does nothing between ticks is suspended; time is unbounded. A node that answered
 * a heartbeat grants no vote for PROMISE ticks, and a leader's lease is shorter
 * than that.
 *
 * A restarted node grants no vote for PROMISE ticks, as it may have answered a
 * heartbeat before. If its disk records that it led its current term, it
 * campaigns at once and all nodes may vote for it: the majority that elected it is
 * bound by no promise to an earlier leader.
 *
 * Checked: a term has at most one leader; no two leaders have unexpired leases at
 * the same time; the engine never obeys an order of a lower term after one of a
 * higher term.
 *
 * Mutants: NO_PROMISE lets nodes vote while a leader's lease is unexpired;
 * NO_FENCE makes the engine obey any order; VOTE_IS_LED records a term as led when
 * the node campaigns for it.
 */
#ifdef NO_PROMISE
#define HELPS(k) true
#else
#define HELPS(k) (quiet[k] == 0)
#endif
#ifdef NO_FENCE
#define ABOVE(fence) true
#else
#define ABOVE(fence) (fence >= engine)
#endif

#define N 3
#define MAXTERM 3
#define MAXRESTARTS 2
#define LEASE 1   /* ticks of a leader lease */
#define PROMISE 2 /* ticks for which a node that answered a heartbeat grants no vote */

byte term[N];
byte quiet[N];              /* ticks until the node may vote */
byte believes[N];           /* remaining ticks of the leader lease */
byte leads[N];              /* term that the node leads, 0 for none */
byte led[N];                /* last term that the node led, on disk */
byte leaderOf[MAXTERM + 1]; /* winner of the term as node + 1, 0 for none */
byte restarts = 0;
byte engine = 0;            /* highest fencing token that the engine has seen */
byte obeyed = 0;            /* fencing token of the last order obeyed */

/* A candidate asks all nodes in one step; any subset of them may answer. */
inline campaign(i, returned) {
  next = term[i] + 1;
#ifdef VOTE_IS_LED
  led[i] = next;
#endif
  term[i] = next; leads[i] = 0; votes = 1; j = 0;
  do
  :: j < N ->
     if
     :: (j != i) && (HELPS(j) || returned) && (next > term[j]) -> term[j] = next; leads[j] = 0; believes[j] = 0; votes++
     :: true -> skip /* the request or the reply is lost */
     fi;
     j++
  :: else -> break
  od;
  if
  :: votes * 2 > N ->
     assert(leaderOf[next] == 0 || leaderOf[next] == i + 1);
     leaderOf[next] = i + 1; leads[i] = next; led[i] = next
  :: else -> skip
  fi;
  votes = 0; j = 0; next = 0
}

/* A heartbeat that a majority answers renews the lease, counted from when it was sent. */
inline heartbeat(i) {
  votes = 1; j = 0;
  do
  :: j < N ->
     if
     :: (j != i) && (term[j] <= leads[i]) -> term[j] = leads[i]; quiet[j] = PROMISE; votes++
     :: true -> skip
     fi;
     j++
  :: else -> break
  od;
  if
  :: votes * 2 > N -> believes[i] = LEASE; quiet[i] = PROMISE
  :: else -> skip
  fi;
  votes = 0; j = 0
}

proctype Node(byte i) {
  byte votes; byte j; byte next;
  do
  :: atomic { leads[i] == 0 && term[i] < MAXTERM && HELPS(i) -> campaign(i, false) }
  :: /* Restart. */
     atomic {
       restarts < MAXRESTARTS -> restarts++;
       leads[i] = 0; believes[i] = 0; quiet[i] = PROMISE;
       if
       :: led[i] != 0 && led[i] == term[i] && term[i] < MAXTERM -> campaign(i, true)
       :: true -> skip /* does not campaign */
       fi }
  :: atomic { leads[i] != 0 && leads[i] == term[i] -> heartbeat(i) }
  :: /* An order to the engine. The node may be suspended between the check of
        its lease and the order. */
     atomic { leads[i] != 0 && believes[i] > 0 -> next = leads[i] };
     atomic {
       if
       :: ABOVE(next) ->
          assert(next >= obeyed);
          engine = (next > engine -> next : engine); obeyed = next
       :: else -> skip
       fi;
       next = 0 }
  od
}

#define OVERLAP(a, b) (leads[a] != 0 && leads[b] != 0 && believes[a] > 0 && believes[b] > 0)

proctype Clock() {
  byte i;
  do
  :: atomic {
       assert(!OVERLAP(0, 1) && !OVERLAP(0, 2) && !OVERLAP(1, 2));
       i = 0;
       do
       :: i < N ->
          quiet[i] = (quiet[i] > 0 -> quiet[i] - 1 : 0);
          believes[i] = (believes[i] > 0 -> believes[i] - 1 : 0);
          i++
       :: else -> break
       od;
       i = 0 }
  od
}

init { atomic { run Node(0); run Node(1); run Node(2); run Clock() } }
