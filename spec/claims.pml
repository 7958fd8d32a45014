/*
 * At most one run for a key. Two routers try the same key, as a caller does who
 * goes to another router; each try is an attempt of its own. Messages to the
 * log are late and may arrive after their sender has given up; a router may
 * crash at any step. The log is one place: its own agreement is election.pml's.
 *
 * Checked: the call runs at most once; an attempt that was answered "not run"
 * never runs.
 *
 * Mutants: NO_VOID forgets that an attempt was released, so that a late
 * acquisition of it takes the key and hides what then happens; NO_GIVE_UP lets a
 * router act on a grant after it has answered "not run"; NO_CLAIM runs without
 * asking.
 */
#ifdef NO_VOID
#define MAYHOLD(a) true
#else
#define MAYHOLD(a) (!released[a])
#endif

#define ATTEMPTS 2

mtype = { none, held, finished };
mtype key = none;
byte owner = 255;
bool released[ATTEMPTS]; /* voids in the log */
bool asked[ATTEMPTS];    /* an acquisition is under way or was applied */
bool freed[ATTEMPTS];    /* a release is under way */
bool grant[ATTEMPTS];    /* the answer to the acquisition */
bool notRun[ATTEMPTS];   /* the caller was told so */
byte runs = 0;
byte ran = 255;

/* The log applies what is under way, in any order and at any time. */
inline acquire(a) {
  asked[a] = false;
  if
  :: key == none && MAYHOLD(a) -> key = held; owner = a; grant[a] = true
  :: else -> skip
  fi;
  /* A released attempt that holds the key would block it for ever. */
  assert(!(released[a] && owner == a && key == held))
}

inline release(a) {
  freed[a] = false; released[a] = true;
  if
  :: key == held && owner == a -> key = none; owner = 255
  :: else -> skip
  fi
}

proctype Log() {
  do
  :: atomic { asked[0] -> acquire(0) }
  :: atomic { asked[1] -> acquire(1) }
  :: atomic { freed[0] -> release(0) }
  :: atomic { freed[1] -> release(1) }
  :: timeout -> break
  od
}

proctype Router(byte a) {
#ifndef NO_CLAIM
  asked[a] = true;
  if
  :: grant[a] -> skip
  :: !grant[a] -> /* no answer in time: give up, tell the caller, free the key */
     notRun[a] = true; freed[a] = true;
#ifdef NO_GIVE_UP
     if
     :: grant[a] -> skip
     :: !grant[a] -> goto end
     fi
#else
     goto end
#endif
  :: true -> goto end /* crash */
  fi;
#endif
  if
  :: true -> atomic { runs++; assert(runs <= 1); assert(!notRun[a]); ran = a }
  :: true -> goto end /* crash before the run */
  :: true -> notRun[a] = true; freed[a] = true; goto end /* no worker reachable */
  fi;
  if
  :: atomic { owner == a && key == held -> key = finished }
  :: true -> skip /* crash before the outcome */
  fi;
end: skip
}

init { atomic { run Log(); run Router(0); run Router(1) } }
