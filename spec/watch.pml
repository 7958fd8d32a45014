/*
 * The right of a router without a disk to serve by its configuration.
 *
 * The router asks the coordinators; a leader that holds its lease answers with
 * the configuration in force, and the router may serve by it for RIGHT ticks
 * from when it asked. Questions and answers take any time on their way. The
 * first leader is cut off at some time: from then on it commits nothing, but it
 * still answers while its lease lasts. The second is elected after that lease,
 * knows all that was acknowledged, and commits on.
 *
 * Checked: the router never serves by a configuration later than RIGHT ticks
 * after a newer one was acknowledged, and never goes back.
 *
 * Mutants: FROM_ARRIVAL counts the right from when the answer arrives;
 * NO_LEASE lets the first leader answer after its lease; STEADY_CLOCK lets the
 * machines of the router and of the first leader be suspended while both read a
 * clock that stands still meanwhile. (Taking an answer that
 * is older than what is held would break nothing here: a router has one
 * question out at a time, and drops the answer to one that it gave up.)
 */
#define END 9
#define RIGHT 3
#define LEASE 2
#define VERSIONS 3

byte now = 0;
byte committed = 0;       /* highest acknowledged version */
byte first = 0;           /* what the first leader knows */
byte ackedAt[VERSIONS];
bool cut = false;
byte cutAt = 0;

bool asked = false;       /* a question is on its way */
byte askedAt = 0;
bool answered = false;    /* its answer is on its way */
byte answer = 0;

bool serves = false;
byte held = 0;
byte until = 0;

/* The router's clock and the first leader's. */
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
  :: asked -> asked = false /* lost, or given up */
  :: serves && mine < until -> atomic { serve(); assert(held >= seen); seen = held }
  :: now == END -> break
  od
}
