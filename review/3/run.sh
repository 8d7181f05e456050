#!/bin/sh
# Plays the case. Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
# With TROUBLE=0 the disruption is left out. Needs the build of deploy/system.toml and review/build.sh.
cd "$(dirname "$0")" || exit 2
standin=../../target/review-standin
if [ ! -x "$standin" ] || [ ! -x ../../target/nutmeglaned ]; then
	echo "not built: run the build of deploy/system.toml and review/build.sh" >&2
	exit 2
fi
exec "$standin" latecomer .
