#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: without the disruption.
set -u
here=$(cd "$(dirname "$0")" && pwd -P)
cd "$here/../.." || exit 2
[ -x "$here/../bin/case-$(basename "$here")" ] || { echo "run review/build.sh first" >&2; exit 2; }
RUN=$(sed -n 's/^run *= *"\(.*\)".*$/\1/p' deploy/balancer.toml)
export RUN
folder=$(mktemp -d) || exit 2
trap 'rm -rf "$folder"' EXIT
timeout --kill-after=2 115 "$here/../bin/case-$(basename "$here")" "$folder" "$here/record.txt" &
group=$!
# The stand-ins and the courier are in the process group that `timeout` makes. Nothing of it is left, however this ends.
end_all() { kill -KILL -- "-$group" 2>/dev/null; }
trap 'end_all; exit 2' INT TERM
wait "$group"
code=$?
end_all
case $code in 0 | 1) exit $code ;; *) exit 2 ;; esac
