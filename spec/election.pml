/*
 * Election, leader lease and fencing, at the size of three control nodes.
 *
 * Timers count down with a clock that ticks whenever it likes, so a node that
 * does nothing between ticks is one that is frozen, and time has no bound. A
 * voter that answered a heartbeat helps no candidate until its timer has run
 * out; a leader believes in itself for less than that.
 *
 * Checked: one leader a term; no two leaders whose leases run at one time; the
 * engine never obeys an order of a lower term after one of a higher term.
 *
 * A node that starts anew keeps quiet for as long as it may have promised. If
 * its disk says that it led the term it is in, it campaigns at once, and all help:
 * the majority that elected it keeps no promise to an earlier leader.
 *
 * Mutants: NO_PROMISE lets voters help a candidate while a lease runs;
 * NO_FENCE lets the engine obey any order; VOTE_IS_LED takes a campaign for a
 * term that was led.
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
#define LEASE 1   /* how long a leader believes */
#define PROMISE 2 /* how long a voter keeps quiet */

byte term[N];
byte quiet[N];              /* ticks until the node helps a candidate */
byte believes[N];           /* ticks that the leader's lease still runs */
byte leads[N];              /* the term that the node leads, 0 for none */
byte led[N];                /* on disk: the last term that the node led */
byte leaderOf[MAXTERM + 1]; /* node+1 that won the term */
byte restarts = 0;
byte engine = 0;            /* highest fence seen by the engine */
byte obeyed = 0;            /* fence of the order obeyed last */

/* A candidate asks all nodes in one step; each subset of answers is possible. */
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
     :: true -> skip /* the message or the answer is lost */
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

/* A heartbeat that a majority answers renews the lease from when it was sent. */
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
  :: /* The node starts anew. */
     atomic {
       restarts < MAXRESTARTS -> restarts++;
       leads[i] = 0; believes[i] = 0; quiet[i] = PROMISE;
       if
       :: led[i] != 0 && led[i] == term[i] && term[i] < MAXTERM -> campaign(i, true)
       :: true -> skip /* killed again before it asks */
       fi }
  :: atomic { leads[i] != 0 && leads[i] == term[i] -> heartbeat(i) }
  :: /* An order. The check of the lease and the act are two steps, between
        which the node may be frozen. */
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
