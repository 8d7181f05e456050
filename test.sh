#!/usr/bin/env bash
# Runs every check of the repository: build, gofmt, vet, staticcheck and the
# tests under the race detector. Needs Go 1.26 and, for the first run, the Go
# module proxy. Exits non-zero on the first check that fails.
set -euo pipefail
cd "$(dirname "$0")"

echo "== build"
go build ./...

echo "== gofmt"
unformatted=$(git ls-files '*.go' | xargs gofmt -l)
if [ -n "$unformatted" ]; then
	echo "not formatted:"
	echo "$unformatted"
	exit 1
fi

echo "== vet"
go vet ./...

echo "== staticcheck"
go tool staticcheck ./...

# KNOWN-RED.txt lists tests that fail for a known fault, one a line:
# "TestName: cause, issue" or "TestName/part: cause, issue". They are printed and
# passed over; all others count.
skip=()
if [ -s KNOWN-RED.txt ]; then
	echo "== known red, not run:"
	cat KNOWN-RED.txt
	skip=(-skip "$(cut -d: -f1 KNOWN-RED.txt | sed 's|/|$/^|g; s|.*|^&$|' | paste -sd'|')")
fi

echo "== test -race"
go test -race -count=1 -timeout 25m "${skip[@]}" ./...

# Without the race detector, which multiplies the memory that these tests bound, and after all
# others: one test at a time.
echo "== test crowds of clients"
go test -count=1 -run '^TestCrowd' "${skip[@]}" ./internal/soak

echo "== test without cgo"
CGO_ENABLED=0 go test -count=1 ./internal/hangup
