#!/bin/sh
# Plays the case; see claim.txt. Exits with 1 if the rule was broken, 0 if it held, 2 if it could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-2/quota ] && [ -x target/release/turmericrail ] || exit 2
WORK=$(mktemp -d) || exit 2
export WORK
trap 'rm -rf "$WORK"' EXIT
target/review-2/quota review/6
