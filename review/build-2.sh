#!/usr/bin/env bash
# Builds the stand-ins of the second review's scripts. Needs no network.
set -euo pipefail
cd "$(dirname "$0")/trial2"
GOWORK=off go build -o ../../target/review/trial2 .
