#!/bin/sh
# Plays the case "window" (review/standin/window.go) against the pooler of the deploy file, and writes record.txt beside this file.
# Exit status: 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves out the disruption.
here=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$here/../.." || exit 2
[ -x review/bin/standin ] || { echo "review/build.sh has not been run" >&2; exit 2; }
TMPDIR=$(mktemp -d) || exit 2
export TMPDIR
trap 'rm -rf "$TMPDIR"' EXIT
timeout --kill-after=3 110 review/bin/standin window "$here/record.txt" &
child=$!
trap 'kill "$child"; wait "$child"; exit 2' INT TERM # the pooler is killed with the stand-in
wait "$child"
status=$?
[ "$status" -le 1 ] || exit 2
exit "$status"
