#!/usr/bin/env bash
# shellcheck disable=SC1091,SC2154
# Jobs are done, and acknowledged as done. Later the store is about to forget its history: watches hear
# nothing for a second. No task of the jobs may run again.
#
# `status_s` is 40 s here, so that the case fits into two minutes; on the sheets it is 120 s (STATUS_S=120
# plays it so, in four and a half minutes).
case_directory=$(cd "$(dirname "$0")" && pwd)
status_s=${STATUS_S:-40}
# TROUBLE=0 does the same without the disruption.
trouble=${TROUBLE:-1}
. "$case_directory/../lib/deployment.sh"

start_store
write_manifest
# The minions' heartbeats are spread, as those of a fleet are: one each 125 ms.
for minion in 1 2 3 4 5 6 7 8 9 10 11 12; do
  start_minion "$minion"
  sleep 0.12
done
for edge in 1 2 3; do start_edge "$edge"; done
await_edges 1 2 3
sleep 2

began_at=$(now)
for ((number = 1; number <= 30; ++number)); do
  submit 2 "$(printf 'b%015x' "$number")" 1 200 >/dev/null || cannot_run "a job was not accepted"
  sleep 0.09
done
sleep 1
[ "$(grep -c 'acknowledged b.* done' "$record")" = 30 ] || cannot_run "30 jobs should be done"
note "test: 30 jobs are done and acknowledged"

# The records of a job are removed when it has been over for twice `status_s`.
while [ "$(now)" -lt $((began_at + 2 * status_s * 1000 + 1500)) ]; do sleep 0.1; done
[ "$trouble" != 0 ] && "$stand_in" call POST "http://$store/compact?for=1000" >/dev/null
sleep 6

again=$(awk '$4 == "acknowledged" && $7 == "done" { over[$5] = 1 }
             $4 == "start" && over[$5] { print $1 ": " $3 " starts " $5 " attempt " $6 " again" }' "$record")
if [ -n "$again" ]; then
  while read -r line; do note "TWICE: $line"; done <<<"$again"
  exit 1
fi
note "held"
