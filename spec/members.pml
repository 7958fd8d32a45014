/*
 * Models the replacement of a lost control node, followed by the loss and
 * replacement of a second one. There are five machines, of which three are the
 * initial voters. A majority of them has committed one entry before the first loss.
 *
 * A lost machine loses its data. A new machine joins as a learner, receives the
 * entry by replication and is promoted only once it holds the entry. Membership
 * changes are made one at a time, and each requires a majority of the voters.
 *
 * Checked: any majority of the voters that could elect a leader includes a node
 * that holds the committed entry.
 *
 * Mutant: NO_LEARNER promotes a new machine before it holds the entry.
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
bool pending = false; /* a lost voter is not replaced yet */

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
       :: /* Replication to a voter or learner. */
          (voter[i] || learner[i]) && !lost[i] && !holds[i] && LED && having > 0 -> holds[i] = true
       :: /* Permanent loss of an initial voter, the second only once the first is replaced. */
          i < 3 && losses < 2 && !pending && voter[i] && !lost[i] ->
          lost[i] = true; holds[i] = false; losses++; pending = true
       :: /* A new machine joins as a learner. */
          i >= 3 && pending && !voter[i] && !learner[i] && LED -> learner[i] = true
       :: /* Promotion of a learner. */
          learner[i] && READY(i) && LED -> learner[i] = false; voter[i] = true; voters++
       :: /* Removal of the lost voter, once its replacement is a voter. */
          i < 3 && voter[i] && lost[i] && voters == 4 && LED -> voter[i] = false; voters--; pending = false
       :: else -> skip
       fi;
       countThere();
       /* The remaining voters without the entry are no majority. */
       assert(!LED || (there - having) * 2 <= voters);
       there = 0; having = 0; k = 0; i = 0 }
  :: losses == 2 && !pending -> break
  od
}

init {
  atomic {
    voter[0] = true; voter[1] = true; voter[2] = true;
    /* The entry is committed: two of three voters hold it. */
    holds[0] = true; holds[1] = true;
    run Group()
  }
}
