#!/usr/bin/env bash
# Plays the case against the project's nodes. Exits with 1 if the rule was broken,
# 0 if it held and 2 if the case could not run. TROUBLE=0 leaves out the disruption.
cd "$(dirname "$0")/../.." || exit 2
for program in target/mangomast-sidecar target/review/rig; do
  [ -x "$program" ] || { echo "$program is missing; run the build of the deploy file and review/build.sh"; exit 2; }
done
exec target/review/rig --case open-route --record review/5/record.txt
