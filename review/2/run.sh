#!/bin/sh
# Plays the case on loopback addresses and writes record.txt beside this script. Exit code: 1 if the rule was
# broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves out the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/heatherlockd ] && [ -x target/review-rig ] || { echo "build first: the deploy file, then review/build.sh" >&2; exit 2; }
exec target/review-rig rolling-restart review/2/record.txt
