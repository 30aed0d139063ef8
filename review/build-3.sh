#!/bin/sh
# Builds the stand-ins of the cases 11 to 15. The deploy file's build comes first.
set -e
cd "$(dirname "$0")/.."
go build -tags review -o target/review-standins-3 ./review/standins-3
