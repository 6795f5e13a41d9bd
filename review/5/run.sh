#!/usr/bin/env bash
# Plays the case outage. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could
# not run. TROUBLE=0 leaves both disruptions out, TROUBLE=kill the store's outage only.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/knapweedplank ] && [ -x target/review-stand ] || exit 2
target/review-stand --daemon target/knapweedplank --record review/5/record.txt outage
code=$?
[ "$code" -le 1 ] || exit 2
exit "$code"
