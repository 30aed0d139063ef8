#!/usr/bin/env bash
# Builds the stand-ins that the scripts of cases 6 to 10 start, into review/standins-2/bin.
# They use the standard library only.
set -euo pipefail
cd "$(dirname "$0")/standins-2"
GOTOOLCHAIN=local GOFLAGS=-buildvcs=false go build -trimpath -o bin/standins-2 .
