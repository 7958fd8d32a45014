#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the
# change of the configuration out.
cd "$(dirname "$0")" || exit 2
[ -x ../../target/review-standin ] || exit 2
exec timeout -k 5 110 ../../target/review-standin ../.. record.txt
