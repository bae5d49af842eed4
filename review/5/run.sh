#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# With TROUBLE=0 it does the same without the disruption.
set -u
folder="$(cd "$(dirname "$0")" && pwd)" || exit 2
cd "$folder/../.." || exit 2
if [ ! -x target/dotterelridge ] || [ ! -x target/review/harness ]; then
  echo "run the build of deploy/system.toml and review/build.sh first" >&2
  exit 2
fi
disruption=with
if [ "${TROUBLE:-1}" = 0 ]; then
  disruption=without
fi
exec target/review/harness drain "$disruption" "$folder/record.txt"
