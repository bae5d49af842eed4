#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the cases start, after the build of
# deploy/system.toml. Needs nothing but the standard library.
set -euo pipefail
cd "$(dirname "$0")/.."
go test -c -o target/review/harness ./review/_harness
