/*
 * Models claims of one idempotency key by two routers that a caller tries in
 * turn; each try is an attempt of its own. Messages to the log may be delayed and
 * arrive after their sender has given up; a router may crash at any step. The log
 * is a single process; election.pml models its consensus.
 *
 * Checked: the call runs at most once; an attempt that was answered "not run"
 * never runs; a released attempt never holds the key.
 *
 * Mutants: NO_VOID makes the log forget that an attempt was released, so that a
 * delayed acquisition by it takes the key; NO_GIVE_UP lets a router use a grant
 * that arrives after it has answered "not run"; NO_CLAIM runs the call without a
 * claim.
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
bool released[ATTEMPTS]; /* attempts that the log has voided */
bool asked[ATTEMPTS];    /* an acquisition is in flight */
bool freed[ATTEMPTS];    /* a release is in flight */
bool grant[ATTEMPTS];    /* the acquisition succeeded */
bool notRun[ATTEMPTS];   /* the caller was answered "not run" */
byte runs = 0;
byte ran = 255;

/* The log applies messages in flight in any order and at any time. */
inline acquire(a) {
  asked[a] = false;
  if
  :: key == none && MAYHOLD(a) -> key = held; owner = a; grant[a] = true
  :: else -> skip
  fi;
  /* A released attempt that holds the key would block it permanently. */
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
  :: !grant[a] -> /* timeout: answer "not run" and release the key */
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
  :: true -> notRun[a] = true; freed[a] = true; goto end /* no reachable worker */
  fi;
  if
  :: atomic { owner == a && key == held -> key = finished }
  :: true -> skip /* crash before recording the outcome */
  fi;
end: skip
}

init { atomic { run Log(); run Router(0); run Router(1) } }
