#!/usr/bin/env bash
# Plays case 6; see claim.txt. It exits with 1 if the rule was broken, 0 if it held, and 2 if the
# case could not run. What was sent, answered and run is written to record.txt in this folder.
# TROUBLE=0 leaves the disruption out.
set -u
folder="$(cd "$(dirname "$0")" && pwd)" || exit 2
exec bash "$folder/../standins-2/play-2.sh" stale "$folder/record.txt"
