#!/usr/bin/env bash
# shellcheck disable=SC1091,SC2154
# A minion's process is killed and starts again under its id; 1.6 s later the minion is cut off
# for 5.5 s, and works on. No task may run on two minions at the same time.
case_directory=$(cd "$(dirname "$0")" && pwd)
# TROUBLE=0 does the same without the disruption.
trouble=${TROUBLE:-1}
. "$case_directory/../lib/deployment.sh"

start_store
write_manifest
for minion in 1 2 3 4 5 6; do start_minion "$minion"; done
for edge in 1 2 3; do start_edge "$edge"; done
await_edges 1 2 3

# The minion has to be up for more than 10 s, so that its clock shows more than a new process's lease.
sleep 12
job=b000000000000001
submit 2 "$job" 8 12000 || cannot_run "the job was not accepted"
sleep 2
holder=$(awk -v task="$job.0.0.0" '$4 == "start" && $5 == task {print $3}' "$record" | tail -n 1)
victim=${holder#minion-}
[ -n "$victim" ] || cannot_run "the job was not started"

# TROUBLE=kill and TROUBLE=cut play only one of the two.
if [ "$trouble" = 1 ] || [ "$trouble" = kill ]; then
  kill_minion "$victim"
  sleep 1
  start_minion "$victim"
  note "test: minion-$victim started again"
fi
sleep 1.6
if [ "$trouble" = 1 ] || [ "$trouble" = cut ]; then
  cut_off_minion "$victim"
  sleep 5.5
  reconnect_minion "$victim"
fi
for ((tries = 0; tries < 400; ++tries)); do
  [ "$(state 3 "$job")" = "done" ] && break
  sleep 0.1
done
note "consumer: state of $job: $(state 3 "$job")"

# A run lasts from its start until its end, or until its minion's process is killed.
overlap=$(awk -v task="$job.0.0.0" '
  $4 == "start" && $5 == task { if (running != "" && running != $3) { print $1 ": " $3 " starts " task " while " running " runs it" } running = $3 }
  $4 == "end" && $5 == task && $3 == running { running = "" }
  $4 == "killed" && $3 == running { running = "" }' "$record")
ends=$(grep -c "end $job.0.0.0 [0-9]* done" "$record")
[ "$ends" -ge 1 ] || cannot_run "the job was not done"
if [ -n "$overlap" ]; then
  note "TWICE: $overlap"
  exit 1
fi
note "held"
