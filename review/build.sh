#!/bin/sh
# Builds the stand-ins of the review's scripts into target/, beside the project's programs.
set -eu
cd "$(dirname "$0")/standin"
GOWORK=off GOFLAGS=-mod=mod go test -c -o ../../target/review-standin .
