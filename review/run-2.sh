#!/bin/sh
# Called by review/N/run.sh with N. Starts the stand-ins of case N, which start the proxy by the run command of
# the deploy file, and ends with the exit code of the case.
number=$1
cd "$(dirname "$0")/.." || exit 2
program=build/review-2/case$number
if [ ! -x "$program" ] || [ ! -x build/harrierpass ]; then
    echo "build first: the build of deploy/balancer.toml, then review/build-2.sh" >&2
    exit 2
fi
RUN=$(sed -n 's/^run = "\(.*\)"$/\1/p' deploy/balancer.toml)
RECORD=review/$number/record.txt
SCRATCH=$(mktemp -d) || exit 2
trap 'rm -rf "$SCRATCH"' EXIT
export RUN RECORD SCRATCH
timeout -s KILL 115 "$program"
result=$?
[ -n "${KEEP_LOG:-}" ] && cp "$SCRATCH"/*.log "$KEEP_LOG"
case $result in 0 | 1) exit $result ;; *) exit 2 ;; esac
