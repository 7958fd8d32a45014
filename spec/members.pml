/*
 * Replacing a control machine, and losing a second one just after. Five
 * machines exist; three vote at first. One entry is committed by a majority of
 * the voters before anything is lost.
 *
 * A lost machine keeps nothing. A new machine is added as a learner, holds the
 * entry only once it was sent to it, and is promoted only when it holds it. One
 * change is made at a time, and each needs a majority of the voters that it
 * leads to.
 *
 * Checked: as long as a majority of the voters is there, one of it holds the
 * committed entry, so that no leader can be elected without it.
 *
 * Mutant: NO_LEARNER lets a new machine vote before it has caught up.
 */
#ifdef NO_LEARNER
#define READY(i) true
#else
#define READY(i) holds[i]
#endif

#define M 5

bool voter[M];
bool learner[M];
bool lost[M];
bool holds[M];
byte voters = 3;
byte losses = 0;
bool pending = false; /* a lost voter has not been replaced yet */

inline countThere() {
  there = 0; having = 0; k = 0;
  do
  :: k < M ->
     if
     :: voter[k] && !lost[k] -> there++; if :: holds[k] -> having++ :: else -> skip fi
     :: else -> skip
     fi;
     k++
  :: else -> break
  od
}

#define LED (there * 2 > voters)

proctype Group() {
  byte there; byte having; byte k; byte i;
  do
  :: atomic {
       select(i : 0 .. 4);
       countThere();
       if
       :: /* replication to a member */
          (voter[i] || learner[i]) && !lost[i] && !holds[i] && LED && having > 0 -> holds[i] = true
       :: /* a machine is lost for good; the second only after the first was replaced */
          i < 3 && losses < 2 && !pending && voter[i] && !lost[i] ->
          lost[i] = true; holds[i] = false; losses++; pending = true
       :: /* a new machine joins */
          i >= 3 && pending && !voter[i] && !learner[i] && LED -> learner[i] = true
       :: /* promotion */
          learner[i] && READY(i) && LED -> learner[i] = false; voter[i] = true; voters++
       :: /* removal of the lost one, once its replacement votes */
          i < 3 && voter[i] && lost[i] && voters == 4 && LED -> voter[i] = false; voters--; pending = false
       :: else -> skip
       fi;
       countThere();
       /* Any majority of the voters that could elect a leader meets a holder. */
       assert(!LED || (there - having) * 2 <= voters);
       there = 0; having = 0; k = 0; i = 0 }
  :: losses == 2 && !pending -> break
  od
}

init {
  atomic {
    voter[0] = true; voter[1] = true; voter[2] = true;
    /* committed: two of three hold it */
    holds[0] = true; holds[1] = true;
    run Group()
  }
}
