/*
 * Models how a stream that is resumed at another router keeps the software version
 * that began it.
 *
 * Back ends of version 1 serve; one of version 2 joins at some point. The leader
 * tells both routers that there are several versions, and holds the new back end
 * until both know or RIGHT ticks have passed, after which a router that was not
 * told has no right to serve. Router A begins a stream. Once it knows of several
 * versions it sends the record of the stream to three coordinators; messages take
 * any time or are lost, coordinators may lose their memory, and A may be lost. The
 * client resumes the stream at router B at any time.
 *
 * Checked: the stream goes on at the version that began it or is refused.
 *
 * Mutants: NO_HOLD lets the new back end serve at once; ONE_KNOWS ends the hold
 * when one router knows; NO_TIME_OUT_RIGHT lets a router serve for longer than the
 * hold; GUESS resumes a stream without a record at the first version.
 */
#define END 6
#define RIGHT 2
#define A 0
#define B 1
#define KEEPERS 3

byte now = 0;
bool joined = false;
byte joinedAt = 0;
bool knows[2];
byte until[2];            /* end of a router's right to serve */
bool lostA = false;
byte begun = 0;           /* version that began the stream, 0 for none */
bool recorded[KEEPERS];

#ifdef NO_HOLD
#define held false
#endif
#ifdef ONE_KNOWS
#define held (!knows[A] && !knows[B] && now < joinedAt + RIGHT)
#endif
#ifndef held
#define held (!(knows[A] && knows[B]) && now < joinedAt + RIGHT)
#endif

#define someRecord (recorded[0] || recorded[1] || recorded[2])
#ifdef NO_TIME_OUT_RIGHT
#define serves(r) (now <= until[r])
#else
#define serves(r) (now < until[r])
#endif

/* A router exchanges a message with the leader. */
inline view(r) {
  until[r] = now + RIGHT;
  if
  :: joined -> knows[r] = true
  :: else -> skip
  fi
}

inline begin() {
  if
  :: begun = 1
  :: joined && !held -> begun = 2
  fi
}

inline resume() {
  if
  :: !knows[B] -> assert(begun == 1) /* it lists version 1 only */
  :: knows[B] && someRecord -> skip  /* goes on at the recorded version */
  :: knows[B] && !someRecord ->
#ifdef GUESS
     assert(begun == 1)
#else
     skip /* refused */
#endif
  fi
}

active proctype world() {
  byte k;
  until[A] = RIGHT;
  until[B] = RIGHT;
  do
  :: now < END -> now++
  :: !joined -> atomic { joined = true; joinedAt = now }
  :: !lostA -> atomic { view(A) }
  :: atomic { view(B) }
  :: !lostA && !begun && serves(A) -> atomic { begin() }
  :: !lostA && begun && knows[A] -> atomic { select(k : 0 .. KEEPERS - 1); recorded[k] = true }
  :: atomic { select(k : 0 .. KEEPERS - 1); recorded[k] = false } /* a coordinator starts anew */
  :: !lostA -> lostA = true
  :: begun && serves(B) -> atomic { resume() }
  :: now == END -> break
  od
}
