/*
 * Models the lease by which a router without a disk serves its configuration.
 *
 * The router asks the coordinators. A leader with an unexpired lease replies with
 * the configuration in force, by which the router may serve for RIGHT ticks from
 * when it asked. Requests and replies take any time. The first leader is
 * partitioned at some point; from then on it commits nothing, but it still replies
 * until its lease expires. The second leader is elected after that, knows all
 * acknowledged versions and commits further ones.
 *
 * Checked: the router never serves by a configuration later than RIGHT ticks after
 * a newer one was acknowledged, and never returns to an older one.
 *
 * Mutants: FROM_ARRIVAL counts the router's lease from the arrival of the reply;
 * NO_LEASE lets the first leader reply after its lease has expired; STEADY_CLOCK
 * lets the machines of the router and of the first leader be suspended while their
 * clocks stand still.
 *
 * No mutant accepts a reply with an older version: the router has one request in
 * flight and drops the reply to one that it gave up, so this violates no property.
 */
#define END 9
#define RIGHT 3
#define LEASE 2
#define VERSIONS 3

byte now = 0;
byte committed = 0;       /* newest acknowledged version */
byte first = 0;           /* newest version that the first leader knows */
byte ackedAt[VERSIONS];
bool cut = false;
byte cutAt = 0;

bool asked = false;       /* a request is in flight */
byte askedAt = 0;
bool answered = false;    /* its reply is in flight */
byte answer = 0;

bool serves = false;
byte held = 0;
byte until = 0;

/* The clocks of the router and of the first leader. */
#ifdef STEADY_CLOCK
byte routerSlept = 0;
byte leaderSlept = 0;
#define mine (now - routerSlept)
#define leaders (now - leaderSlept)
#else
#define mine now
#define leaders now
#endif

#define secondLeads (cut && now > cutAt + LEASE)
#ifdef NO_LEASE
#define firstAnswers true
#else
#define firstAnswers (!cut || leaders <= cutAt + LEASE)
#endif

inline commit() {
  committed++;
  ackedAt[committed] = now;
  if
  :: !cut -> first = committed
  :: else -> skip
  fi
}

inline take() {
  if
  :: answer > held -> held = answer
  :: else -> skip
  fi;
#ifdef FROM_ARRIVAL
  until = mine + RIGHT;
#else
  if
  :: askedAt + RIGHT > until -> until = askedAt + RIGHT
  :: else -> skip
  fi;
#endif
  serves = true
}

inline serve() {
  assert(held >= committed || now <= ackedAt[held + 1] + RIGHT)
}

active proctype world() {
  byte seen = 0;
  do
  :: now < END -> now++
#ifdef STEADY_CLOCK
  :: now < END -> atomic { now++; routerSlept++ }
  :: now < END && cut -> atomic { now++; leaderSlept++ }
#endif
  :: !cut -> cut = true; cutAt = now
  :: committed < VERSIONS - 1 && (!cut || secondLeads) -> atomic { commit() }
  :: !asked -> atomic { asked = true; askedAt = mine; answered = false }
  :: asked && !answered && firstAnswers -> atomic { answered = true; answer = first }
  :: asked && !answered && secondLeads -> atomic { answered = true; answer = committed }
  :: asked && answered -> atomic { take(); asked = false; answered = false }
  :: asked -> asked = false /* lost or timed out */
  :: serves && mine < until -> atomic { serve(); assert(held >= seen); seen = held }
  :: now == END -> break
  od
}
