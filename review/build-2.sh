#!/usr/bin/env bash
# Builds the stand-ins of the second review's scripts into target/. Needs no network.
set -euo pipefail
cd "$(dirname "$0")/trial2"
mkdir -p ../../target/review
GOWORK=off go test -c -o ../../target/review/trial2 .
