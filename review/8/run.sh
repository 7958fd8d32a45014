#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held and 2 if the case could not run. TROUBLE=0 leaves the
# disruption out. Needs the build of deploy/system.toml and review/build-2.sh.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-2-cases ] && [ -x target/quinceridge-router ] && [ -x target/quinceridge-control ] || { echo "not built"; exit 2; }
timeout -k 3 115 target/review-2-cases rest review/8/record.txt
result=$?
[ "$result" -le 2 ] || result=2
exit "$result"
