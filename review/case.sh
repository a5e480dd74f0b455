#!/usr/bin/env bash
# Runs the stand-in of one case: case.sh CASE-FOLDER PROGRAM. It takes the run command from the deploy file, makes a
# temporary folder and removes it at the end. Exit: 1 the rule was broken, 0 it held, 2 the case could not run.
set -u
case_folder=$(cd "$1" && pwd)
root=$(cd "$case_folder/../.." && pwd)
program=$root/review/bin/$2
cd "$root" || exit 2
run=$(sed -n 's/^run = "\(.*\)"$/\1/p' deploy/balancer.toml)
[ -n "$run" ] && [ -x build/harrierpass ] || { echo "build/harrierpass is missing: build by deploy/balancer.toml"; exit 2; }
[ -x "$program" ] || { echo "$program is missing: run review/build.sh"; exit 2; }
folder=$(mktemp -d) || exit 2
pid=
end() {
    [ -z "$pid" ] || { kill -TERM "$pid" 2>/dev/null; wait "$pid" 2>/dev/null; }
    [ -z "${KEEP:-}" ] && rm -rf "$folder" || echo "$folder"
}
trap 'end; exit 2' INT TERM
timeout -k 2 115 "$program" "$run" "$folder" "$case_folder" &
pid=$!
wait "$pid"
status=$?
pid=
end
case $status in 0 | 1) exit "$status" ;; *) exit 2 ;; esac
