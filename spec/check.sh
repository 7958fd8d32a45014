#!/usr/bin/env bash
# Model-checks each specification exhaustively and checks that spin refutes each of
# its mutants. Prints all verdicts and fails if any of them is not the expected one.
set -euo pipefail
here="$(cd "$(dirname "$0")" && pwd)"
work="$(mktemp -d)"
trap 'rm -rf "$work"' EXIT
bad=0

# verdict NAME [MUTANT]: prints "holds" with the number of states, "refuted" with the
# violated assertion, or "unclear".
verdict() {
  local name="$1" mutant="${2:-}" folder="$work/$1-${2:-none}"
  mkdir -p "$folder"
  cd "$folder"
  spin -a ${mutant:+-D"$mutant"} "$here/$name.pml" >spin.txt
  gcc -O2 -w -DSAFETY -DCOLLAPSE -DMEMLIM=6000 -DVECTORSZ=2048 -o pan pan.c
  ./pan -m1000000 -w24 >pan.txt 2>&1 || true
  if grep -q 'errors: 0' pan.txt && ! grep -qE 'max search depth too small|out of memory|reached -DMEMLIM' pan.txt; then
    echo "holds ($(grep -oE '[0-9.e+]+ states, stored' pan.txt))"
  elif grep -qE 'errors: [1-9]' pan.txt && grep -q 'assertion violated' pan.txt; then
    echo "refuted ($(grep -o 'assertion violated.*' pan.txt | head -1 | cut -c 1-70))"
  else
    echo "unclear"
    tail -5 pan.txt >&2
  fi
}

expect() {
  local wanted="$1" name="$2" mutant="${3:-}" got
  got="$(verdict "$name" $mutant)"
  printf '%-10s %-12s %s\n' "$name" "${mutant:-as it is}" "$got"
  case "$got" in "$wanted"*) ;; *) bad=1; printf '  expected: %s\n' "$wanted" ;; esac
}

expect holds election
expect refuted election NO_PROMISE
expect refuted election NO_FENCE
expect refuted election VOTE_IS_LED
expect holds bundle
expect refuted bundle NO_ADOPT
expect refuted bundle NO_COMPARE
expect refuted bundle NO_MAJORITY
expect holds members
expect refuted members NO_LEARNER
expect holds claims
expect refuted claims NO_VOID
expect refuted claims NO_GIVE_UP
expect refuted claims NO_CLAIM
expect holds watch
expect refuted watch FROM_ARRIVAL
expect refuted watch NO_LEASE
expect refuted watch STEADY_CLOCK
expect holds resume
expect refuted resume NO_HOLD
expect refuted resume ONE_KNOWS
expect refuted resume NO_TIME_OUT_RIGHT
expect refuted resume GUESS
exit $bad
