#!/usr/bin/env bash
# shellcheck disable=SC1091,SC2154
# The store leaves writes unanswered for 2.5 s and carries them out 6 s later. A consumer hands a job in,
# gets no success, cancels the job, and is told that there is no such job. Later than `cancel_ms` after
# that, no task of the job may be started.
case_directory=$(cd "$(dirname "$0")" && pwd)
. "$case_directory/../lib/deployment.sh"

start_store
write_manifest
for minion in 1 2 3; do start_minion "$minion"; done
for edge in 1 2 3; do start_edge "$edge"; done
await_edges 1 2 3
sleep 4

job=b000000000000001
if [ "$trouble" != 0 ]; then
  "$stand_in" call POST "http://$store/late?key=papayalift/accepted/$job&delay=6000&for=2500" >/dev/null
  note "test: the store answers writes of $job late, for 2500 ms"
fi
# Other consumers' jobs are accepted meanwhile, so that the late writes are a small share.
(for number in 1 2 3 4 5 6 7 8 9 10; do
  submit 2 "$(printf 'c%015x' "$number")" 1 300
  sleep 0.2
done) &
others=$!
submit 1 "$job" 1 3000
answer=$(call 2 DELETE "/jobs/$job")
cancelled_at=$(now)
note "consumer: cancel $job -> $answer"
wait "$others"
note "test: late writes: $("$stand_in" call GET "http://$store/late-share")"
[[ $answer == 200* || $answer == 410* ]] || cannot_run "the cancellation was not acknowledged"
sleep 6
note "consumer: state of $job: $(state 3 "$job")"
started=$(awk -v task="$job.0.0.0" -v from="$cancelled_at" '$4 == "start" && $5 == task && $1 > from + 3000 {print $1 - from}' "$record" | head -n 1)
if [ -n "$started" ]; then
  note "UNASKED: a task of the job is started $started ms after its cancellation was acknowledged"
  exit 1
fi
note "held"
