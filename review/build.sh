#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the cases start, into review/bin. They use the
# standard library only.
set -euo pipefail
cd "$(dirname "$0")/standins"
GOTOOLCHAIN=local GOFLAGS=-buildvcs=false go build -trimpath -ldflags='-s -w' -o ../bin/standins .
