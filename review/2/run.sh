#!/usr/bin/env bash
# shellcheck disable=SC1091,SC2154
# The store is about to forget its history (watches hear nothing for a second). Some seconds later the
# process that leads is killed, once. Jobs that are accepted after that must be started: twelve empty
# minions have room for each of them a hundred times.
#
# `status_s` is 30 s here, so that the case fits into two minutes; on the sheets it is 120 s.
case_directory=$(cd "$(dirname "$0")" && pwd)
status_s=${STATUS_S:-30}
# TROUBLE=0 does the same without the disruption.
trouble=${TROUBLE:-1}
. "$case_directory/../lib/deployment.sh"

# supervise EDGE: starts the process again half a second after it has ended, as the platform does, until
# the file `over` exists. An end by another signal than the test's SIGKILL is its own.
supervise() {
  local status process
  write_settings "$1" true
  while [ ! -e "$directory/over" ]; do
    PAPAYALIFT_NODE_FILE=$directory/$1.toml "${edge_command[@]}" >>"${LOGS:-$directory}/edge-$1.log" 2>/dev/null &
    process=$!
    echo "$process" >"$directory/$1.pid"
    wait "$process"
    status=$?
    [ -e "$directory/over" ] && break
    if [ "$status" = 137 ]; then note "test: edge $1 killed"; else note "platform: the process of edge $1 ended by itself, status $status"; fi >/dev/null
    sleep 0.5
  done
}

start_store
write_manifest
# The minions' heartbeats are spread, as those of a fleet are: one each 125 ms.
for minion in 1 2 3 4 5 6 7 8 9 10 11 12; do
  start_minion "$minion"
  sleep 0.12
done
keepers=()
for edge in 1 2 3; do
  supervise "$edge" 2>/dev/null &
  keepers+=($!)
done
await_edges 1 2 3
sleep 2

began_at=$(now)
for ((number = 1; number <= 30; ++number)); do
  submit 2 "$(printf 'b%015x' "$number")" 1 2500 >/dev/null || cannot_run "a job was not accepted"
  sleep 0.09
done
sleep 4
[ "$(grep -c 'acknowledged b.* done' "$record")" = 30 ] || cannot_run "30 jobs should be done"
note "test: 30 jobs are done and acknowledged"
while [ "$(now)" -lt $((began_at + 2 * status_s * 1000 + 3800)) ]; do sleep 0.1; done

if [ "$trouble" != 0 ]; then
  silent_at=$(now)
  "$stand_in" call POST "http://$store/compact?for=1000" >/dev/null
  # The kill comes 2.2 s after the first start that follows, or after 6 s if there is none.
  for ((tries = 0; tries < 60; ++tries)); do
    started_at=$(awk -v from="$silent_at" '$4 == "start" && $1 >= from { print $1; exit }' "$record")
    [ -n "$started_at" ] && break
    sleep 0.1
  done
  while [ "$(now)" -lt $((${started_at:-0} + 2200)) ]; do sleep 0.05; done
  leader=$("$stand_in" call GET "http://$store/kv-key?key=papayalift/term" | sed 's/.*"value":"\([^"]*\)".*/\1/' | base64 -d | sed 's/^edge-a-\([0-9]*\) .*/\1/')
  kill -KILL "$(cat "$directory/$leader.pid")"
fi
sleep 5
jobs=(c000000000000001 c000000000000002 c000000000000003)
for job in "${jobs[@]}"; do
  for ((tries = 0; tries < 10; ++tries)); do
    submit 2 "$job" 1 300 && break
    sleep 0.5
  done
done
# Traffic has ended; 14 s later (`finish_s`), and for 3 s more, the jobs are asked for.
sleep 14
for ((tries = 0; tries < 30; ++tries)); do
  waiting=0
  for job in "${jobs[@]}"; do
    [ "$(state 2 "$job")" = "done" ] || [ "$(state 3 "$job")" = "done" ] || waiting=$((waiting + 1))
  done
  [ "$waiting" = 0 ] && break
  sleep 0.1
done
touch "$directory/over"
for edge in 1 2 3; do kill -KILL "$(cat "$directory/$edge.pid")" 2>/dev/null; done
wait "${keepers[@]}"
for edge in 1 2 3; do
  note "test: the process of edge $edge ended by itself $(grep -c "process of edge $edge ended by itself" "$record") times"
done
if [ "$waiting" -gt 0 ]; then
  note "LOST: $waiting of ${#jobs[@]} accepted jobs have nothing running, with all minions empty"
  exit 1
fi
note "held"
