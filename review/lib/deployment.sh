# shellcheck shell=bash disable=SC2154,SC2034
# A small deployment on loopback addresses: the platform's store, minions and three edge nodes, each a
# process of its own. Sourced by the run.sh of a case, which sets `case_directory` and `trouble` before.
#
# Exit codes of a case: 1 the rule was broken, 0 it held, 2 the case couldn't run.
set -uo pipefail
review=$(cd "$case_directory/.." && pwd)
root=$(cd "$review/.." && pwd)
stand_in=$review/build/stand_in
record=$case_directory/record.txt
net=127.$((100 + RANDOM % 100)).$((RANDOM % 250))
store=$net.1:8524
directory=$(mktemp -d)
declare -A minion_pid=()
declare -a edge_pid=()
store_pid=

finish() {
  local pids=("$store_pid" "${minion_pid[@]}" "${edge_pid[@]}")
  for pid in "${pids[@]}"; do
    [ -n "$pid" ] && kill -CONT "$pid" 2>/dev/null && kill -KILL "$pid" 2>/dev/null
  done
  wait 2>/dev/null
  rm -rf "$directory"
}
trap finish EXIT
cannot_run() {
  echo "the case couldn't run: $*"
  exit 2
}

[ -x "$stand_in" ] || cannot_run "review/build.sh has not been run"
cd "$root" || exit 2
# The command that the deploy file names.
read -ra edge_command <<<"$(sed -n 's/^run = "\(.*\)"$/\1/p' deploy/system.toml)"
[ -x "${edge_command[0]}" ] || cannot_run "the build of deploy/system.toml has not been run"
: >"$record"

now() { "$stand_in" now; }
note() { echo "$(now) $*" | tee -a "$record"; }

start_store() {
  "$stand_in" store "$store" "$record" &
  store_pid=$!
  for ((tries = 0; tries < 100; ++tries)); do
    "$stand_in" call GET "http://$store/kv-key?key=x" | grep -q '^404' && return
    sleep 0.05
  done
  cannot_run "the store does not start"
}

# operator METHOD KEY [VALUE]
operator() { "$stand_in" call "$1" "http://$store/operator?key=$2" "${3:-}" >/dev/null; }

# write_manifest: one queue of priority 0 with three attempts, one tenant.
write_manifest() {
  operator PUT op/config '{"version":1,"limits":{},"services":[{"name":"pool"}],"routes":[{"name":"jobs","host":"shop.example","prefix":"/jobs/","service":"pool","priority":0,"maxAttempts":3,"slackFactor":2.0,"targetLatencyMs":1000}],"tenants":[{"name":"bakery","apiKeys":["key"],"guaranteed":{"gpu":16}}]}'
}

# start_minion NUMBER [ZONE [RACK]]: also starts a minion again, under the same id and address.
start_minion() {
  "$stand_in" minion "minion-$1" "$net.$((100 + $1)):8600" "$store" "$record" 8 "${2:-a}" "${3:-r1}" &
  minion_pid[$1]=$!
}
# SIGKILL; the operating system closes its connections, and refuses new ones.
kill_minion() {
  kill -KILL "${minion_pid[$1]}"
  wait "${minion_pid[$1]}" 2>/dev/null
  note "test: minion-$1 killed"
}
cut_off_minion() {
  kill -USR1 "${minion_pid[$1]}"
  note "test: minion-$1 behind a partition"
}
reconnect_minion() {
  kill -USR2 "${minion_pid[$1]}"
  note "test: minion-$1 reachable again"
}

write_settings() {
  cat >"$directory/$1.toml" <<TOML
nodeName = "edge-a-$1"
role = "edge"
machineClass = "edge"
serves = ["edge","control"]
ip = "$net.$((10 + $1))"
zone = "a"
region = "r"
portRange = [7000,7015]
seeds = ["$net.11:8526"]
firstStart = ${2:-true}
faultCounted = false
discovery = "platform"
entry = "virtual_ip"
heartbeatMs = 1500
invariants = ["base","drain","config","cost","recover","sched","tenants","places","platform","advice","upkeep","sharing"]
commands = "invoke"
[zones]
a = "r"
[listen]
frontend = "$net.$((10 + $1)):8521"
ready = "$net.$((10 + $1)):8523"
controlPlane = "$net.$((10 + $1)):8526"
[limits]
cpuShare = 0.25
cores = 1
memoryMb = 260
maxFds = 4100
linkMbps = 1000.0
diskMb = 0
[faultTolerance]
machines = 2
zones = 1
regions = 0
[bounds]
contactMs = 3000
ackTimeoutMs = 4000
drainMs = 2000
graceS = 6
lossSlackMs = 200
configApplyMs = 2000
revokeMs = 5000
evacuateMs = 5000
recoveryS = 12
holdMaxMs = 10000
stopMs = 400
gangTimeoutMs = 3000
cancel_ms = 3000
visible_ms = 3000
finish_s = 14
status_s = ${status_s:-120}
fencing = false
leaseMs = 3000
[platform]
address = "$store"
form = "kv"
writesPerS = 400
readsPerS = 2000
historyS = 20
valueBytes = 1048576
ttlMinMs = 1000
TOML
}
# start_edge NUMBER [FIRST_START]
start_edge() {
  write_settings "$1" "${2:-true}"
  PAPAYALIFT_NODE_FILE=$directory/$1.toml "${edge_command[@]}" >>"${LOGS:-$directory}/edge-$1.log" 2>&1 &
  edge_pid[$1]=$!
}
await_edges() {
  for edge in "$@"; do
    for ((tries = 0; tries < 200; ++tries)); do
      "$stand_in" call GET "http://$net.$((10 + edge)):8523/readyz" | grep -q '^200' && continue 2
      sleep 0.05
    done
    cannot_run "edge $edge is not ready"
  done
}

# call EDGE METHOD PATH [BODY]: prints "STATUS BODY".
call() {
  "$stand_in" call "$2" "http://$net.$((10 + $1)):8521$3" "${4:-}" "Host: shop.example" "X-Key: key" "X-Deadline-Ms: 3000"
}
# submit EDGE ID GPU_PER_TASK WORK_MS [TASKS]
submit() {
  local answer
  answer=$(call "$1" POST "/jobs/$2" "{\"spec\":\"work=$4\",\"phases\":[{\"count\":${5:-1},\"cpu\":1000,\"memMb\":1000,\"gpu\":$3,\"estimateMs\":$4}]}")
  note "consumer: submit $2 gpu $3 work $4 -> $answer"
  [[ $answer == 200* ]]
}
# state EDGE ID: prints the job's state, or the status of another answer.
state() {
  local answer
  answer=$(call "$1" GET "/jobs/$2")
  if [[ $answer =~ \"state\":\"([a-z]+)\" ]]; then echo "${BASH_REMATCH[1]}"; else echo "${answer%% *}"; fi
}
