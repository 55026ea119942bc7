#!/usr/bin/env bash
# shellcheck disable=SC1091,SC2154
# One consumer hands in a job of many steps (STEPS, 200 by default; 8 kB). It is accepted. From then on the
# jobs of all others must still be started: six empty minions have room for each of them a hundred times.
case_directory=$(cd "$(dirname "$0")" && pwd)
. "$case_directory/../lib/deployment.sh"
steps=${STEPS:-200}

start_store
write_manifest
for minion in 1 2 3 4 5 6; do start_minion "$minion"; done
for edge in 1 2 3; do start_edge "$edge"; done
await_edges 1 2 3
sleep 2

submit 2 a000000000000001 1 500 || cannot_run "a job was not accepted"
sleep 2
[ "$(state 3 a000000000000001)" = "done" ] || cannot_run "a job before the disruption is not done"

if [ "$trouble" != 0 ]; then
  step='{"count":1,"cpu":100,"memMb":10,"estimateMs":1000}'
  phases=$step
  for ((number = 1; number < steps; ++number)); do phases+=,$step; done
  note "consumer: submit b000000000000001, $steps steps of one task -> $(call 1 POST /jobs/b000000000000001 "{\"spec\":\"work=1000\",\"phases\":[$phases]}")"
fi

jobs=(c000000000000001 c000000000000002 c000000000000003 c000000000000004)
for job in "${jobs[@]}"; do
  submit 3 "$job" 1 500
  sleep 0.5
done
# Traffic has ended; 14 s later (`finish_s`), and for 3 s more, the jobs are asked for.
sleep 14
for ((tries = 0; tries < 30; ++tries)); do
  waiting=0
  for job in "${jobs[@]}"; do
    [ "$(state 3 "$job")" = "done" ] || waiting=$((waiting + 1))
  done
  [ "$waiting" = 0 ] && break
  sleep 0.1
done
for job in "${jobs[@]}"; do note "consumer: state of $job: $(state 3 "$job")"; done
leaders=$(cat "${LOGS:-$directory}"/edge-*.log | grep -c '"message":"elected"')
note "test: leaders elected: $leaders"
if [ "$waiting" -gt 0 ]; then
  note "LOST: $waiting of ${#jobs[@]} accepted jobs have nothing running, with all minions empty"
  exit 1
fi
note "held"
