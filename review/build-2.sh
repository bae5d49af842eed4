#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10 into target/.
set -euo pipefail
cd "$(dirname "$0")/standins-2"
mkdir -p ../../target
go build -o ../../target/standins-2 .
