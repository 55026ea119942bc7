#!/usr/bin/env bash
# shellcheck disable=SC1091,SC2154
# Planned work only: three times the minion that runs a job's task is drained and taken away, and the node
# that leads is stopped by SIGTERM and started again. No minion crashes and no run fails, so the job must
# not be shown as failed.
case_directory=$(cd "$(dirname "$0")" && pwd)
# TROUBLE=0 does the same without the disruption.
trouble=${TROUBLE:-1}
. "$case_directory/../lib/deployment.sh"

# leader: prints the number of the node that leads.
leader() {
  "$stand_in" call GET "http://$store/kv-key?key=papayalift/term" | sed 's/.*"value":"\([^"]*\)".*/\1/' |
    base64 -d | sed 's/^edge-a-\([0-9]*\) .*/\1/'
}
# roll EDGE: SIGTERM, and the same node again once it has exited.
roll() {
  note "test: SIGTERM to edge $1"
  kill -TERM "${edge_pid[$1]}"
  while kill -0 "${edge_pid[$1]}" 2>/dev/null; do sleep 0.1; done
  start_edge "$1" false
  note "test: edge $1 started again"
}

start_store
write_manifest
for minion in 1 2 3 4 5 6 7 8 9 10 11 12 13 14 15 16; do
  start_minion "$minion"
  sleep 0.09
done
for edge in 1 2 3; do start_edge "$edge"; done
await_edges 1 2 3
sleep 2

job=b000000000000001
submit 2 "$job" 8 20000 || cannot_run "the job was not accepted"
for round in 1 2 3; do
  holder=
  for ((tries = 0; tries < 250; ++tries)); do
    holder=$(awk -v task="$job.0.0.0" '$4 == "start" && $5 == task {at = $3} $4 == "has" && $3 == at {at = ""} END {print at}' "$record")
    [ -n "$holder" ] && break
    sleep 0.1
  done
  [ -n "$holder" ] || break
  sleep 2
  [ "$trouble" = 0 ] && break
  note "test: round $round, $holder is to leave"
  minion=${holder#minion-}
  kill -TERM "${minion_pid[$minion]}"
  wait "${minion_pid[$minion]}"
  sleep 0.5
  roll "$(leader)"
done
for ((tries = 0; tries < 350; ++tries)); do
  last=$(state 3 "$job")
  [ "$last" = "done" ] || [ "$last" = failed ] && break
  sleep 0.1
done
failures=$(grep -c "end $job.0.0.0 [0-9]* failed" "$record")
note "consumer: state of $job: $last; runs of it that ended failed: $failures"
if [ "$last" = failed ] && [ "$failures" -lt 3 ]; then
  note "LOST: the job is shown as failed without cause"
  exit 1
fi
[ "$last" = "done" ] || cannot_run "the job is neither done nor failed"
note "held"
