#!/usr/bin/env bash
# shellcheck disable=SC1091,SC2154
# The store leaves writes unanswered for 2.5 s and carries them out 6 s later. A consumer hands a job in,
# gets no success, cancels the job, and is told that there is no such job. Later than `cancel_ms` after
# that, no task of the job may be started.
#
# VARIANT=freeze: in place of that the node that gets the job stands still for 5 s (`node_freeze`), and the
# consumer leaves after 0.9 s (`give_up`).
case_directory=$(cd "$(dirname "$0")" && pwd)
# TROUBLE=0 does the same without the disruption.
trouble=${TROUBLE:-1}
. "$case_directory/../lib/deployment.sh"
variant=${VARIANT:-late}
job=b000000000000001

# Other consumers' jobs are accepted meanwhile, so that the late writes are a small share.
submit_others() {
  local number
  for number in 1 2 3 4 5 6 7 8 9 10; do
    submit 2 "$(printf 'c%015x' "$number")" 1 300
    sleep 0.2
  done
}

# submit_with_late_writes: hands the job in at edge 1.
submit_with_late_writes() {
  if [ "$trouble" != 0 ]; then
    "$stand_in" call POST "http://$store/late?key=papayalift/accepted/$job&delay=6000&for=2500" >/dev/null
    note "test: the store answers writes of $job late, for 2500 ms"
  fi
  submit_others &
  background=$!
  submit 1 "$job" 1 3000
}

# submit_to_frozen_node: hands the job in at a node that does not lead.
submit_to_frozen_node() {
  local leader follower=1
  local body='{"spec":"work=3000","phases":[{"count":1,"cpu":1000,"memMb":1000,"gpu":1,"estimateMs":3000}]}'
  leader=$("$stand_in" call GET "http://$store/kv-key?key=papayalift/term" | sed 's/.*"value":"\([^"]*\)".*/\1/' | base64 -d)
  [[ $leader == "edge-a-1 "* ]] && follower=3
  [ "$trouble" != 0 ] && kill -STOP "${edge_pid[$follower]}"
  note "test: edge $follower, which does not lead, stands still"
  (
    sleep 5
    kill -CONT "${edge_pid[$follower]}"
    note "test: edge $follower goes on"
  ) &
  background=$!
  timeout 0.9 "$stand_in" call POST "http://$net.$((10 + follower)):8521/jobs/$job" "$body" \
    "Host: shop.example" "X-Key: key" "X-Deadline-Ms: 3000"
  note "consumer: leaves 0.9 s after it has handed in $job, at the latest"
}

start_store
write_manifest
for minion in 1 2 3; do start_minion "$minion"; done
for edge in 1 2 3; do start_edge "$edge"; done
await_edges 1 2 3
sleep 4

if [ "$variant" = freeze ]; then submit_to_frozen_node; else submit_with_late_writes; fi
answer=$(call 2 DELETE "/jobs/$job")
cancelled_at=$(now)
note "consumer: cancel $job -> $answer"
wait "$background"
note "test: late writes: $("$stand_in" call GET "http://$store/late-share")"
[[ $answer == 200* || $answer == 410* ]] || cannot_run "the cancellation was not acknowledged"
sleep 6
note "consumer: state of $job: $(state 2 "$job")"
started=$(awk -v task="$job.0.0.0" -v from="$cancelled_at" '$4 == "start" && $5 == task && $1 > from + 3000 {print $1 - from}' "$record" | head -n 1)
if [ -n "$started" ]; then
  note "UNASKED: a task of the job is started $started ms after its cancellation was acknowledged"
  exit 1
fi
note "held"
