#!/usr/bin/env bash
# Starts the real programs at the size of one user's deployment, injects faults and checks from outside
# the processes that the system's invariants hold.
# Usage: tests/black_box_test.sh FOLDER_OF_PROGRAMS [FIRST_PORT]
# Without FIRST_PORT it takes ports that no other process uses.
# BLACK_BOX_CASES selects cases by name.
set -euo pipefail
cd "$(dirname "$0")/.."
bin=$(realpath "$1")
folder=$(mktemp -d)
source ./scripts/deployment-functions
port=${2:-}
[ -n "$port" ] || reserve_ports
trap 'status=$?; [ $status -eq 0 ] || echo "stopped with status $status in ${FUNCNAME[*]:-main}"; stop_all; rm -rf "$folder"' EXIT

passed=0

now_ms() { date +%s%3N; }

pass() {
  passed=$((passed + 1))
  print_heading "passed: $*"
}

expect() { # failure message, command...
  local failure=$1
  shift
  "$@" || fail "$failure"
}

inject_fault() { # component name fault [value]
  curl -sf -m 5 -d "{\"component\":\"$1\",\"name\":\"$2\",\"fault\":\"$3\",\"value\":${4:-0}}" \
    "http://$STANDIN/standin/faults" > /dev/null
}

clear_fault() { # component name fault
  curl -sf -m 5 -X DELETE "http://$STANDIN/standin/faults?component=$1&name=$2&fault=$3" > /dev/null
}

restrict_table_clients() { # client...
  local clients
  clients=$(printf '"%s",' "$@")
  curl -sf -m 5 -d "{\"component\":\"table\",\"fault\":\"serve_only\",\"clients\":[${clients%,}]}" \
    "http://$STANDIN/standin/faults" > /dev/null
}

entry_http_address() { echo "127.0.0.1:$((port + 9 + $1))"; }

operator_get() { # entry number, path
  curl -sf -m 2 -H "Authorization: Bearer $RATTANPOND_TOKEN" "http://$(entry_http_address "$1")$2"
}

# Lists the tasks that the workers' task runners report as running, independently of the agents' state.
running_tasks_on() { # worker number...
  local i
  for i in "$@"; do
    curl -sf -m 5 "http://127.0.0.1:$((port + 99 + i))/v1/tasks" |
      jq -r '(.tasks? // .)[] | select(.phase == "running") | .task' || true
  done
}

running_task_count() { running_tasks_on {1..10} | grep -c "^$1/" || true; }
has_running_tasks() { [ "$(running_task_count "$1")" -eq "$2" ]; }

submit_job() { # key workspace tasks accelerators level work_ms
  cat > "$folder/job-$1.toml" <<JOB
workspace = "$2"
tasks = $3
accelerators_per_task = $4
cores_per_task = 2
memory_mebibytes_per_task = 1024
kind = "gpu"
level = "$5"
declared_run_time_ms = $6
command = { work_ms = $6 }
JOB
  ctl job submit "$folder/job-$1.toml" --key "$1" --json | jq -er .id
}

send_request() { # entry number, key, body, idempotent: prints "<http status> <outcome> <code>"
  curl -s -m 8 -o "$folder/answer" -D "$folder/headers" -w '%{http_code}' \
    -H "Authorization: Bearer $RATTANPOND_TOKEN" -H "X-Rattanpond-Workspace: permits" \
    -H "X-Rattanpond-Deadline-Ms: 3000" -H "X-Rattanpond-Idempotent: $4" \
    -H "Idempotency-Key: $2" -d "$3" "http://$(entry_http_address "$1")/v1/services/$SERVICE/requests" || true
  tr -d '\r' < "$folder/headers" | awk -F ': ' '/^X-Rattanpond/ { printf " %s", $2 }'
}

expect_response() { # entry number, key, body, idempotent, expected answer
  local response
  response=$(send_request "$1" "$2" "$3" "$4")
  [ "$response" = "$5" ] || fail "request $2 through entry $1: expected '$5', got '$response'"
}

execution_count() { # key
  curl -sf -m 5 "http://$STANDIN/standin/executions" | jq -r --arg key "$1" '.keys[$key] // 0'
}

holder_entry() { # prints the number of the entry that holds the scheduler role; empty if there is none
  local i
  for i in 1 2 3; do
    if operator_get "$i" /v1/state | jq -e '.scheduler.role | . == "holder" or . == "provisional"' > /dev/null; then
      echo "$i"
      return
    fi
  done
}

has_holder() { [ -n "$(holder_entry)" ]; }
is_ready() { curl -sf -m 2 "http://$(entry_http_address "$1")/v1/health/ready" > /dev/null; }
configuration_version() { operator_get "$1" /v1/configuration | jq -r .version; }
job_attempt() { ctl job status "$1" --json | jq .attempt; }

write_declarations() {
  mkdir -p "$folder/declarations"
  cat > "$folder/declarations/contracts.toml" <<'TOML'
[[contract]]
workspace = "re-rating"

[[contract.guarantee]]
accelerators = 16
level = "same_rack"
kind = "gpu"

[[contract]]
workspace = "permits"
urgency = "urgent"

[[contract]]
workspace = "routing"
share = 2.0
TOML
}

# Guards against a job that does not run or runs only some of its tasks, and a request that runs twice.
case_whole_path() {
  local id
  # Reading the lists of all workers takes seconds beside other load; the tasks run for longer than that.
  id=$(submit_job path re-rating 4 4 same_rack 6000)
  wait_until 10 has_running_tasks "$id" 4
  wait_until 15 job_has_state "$id" finished
  expect "a second submission with the same key created another job" \
    [ "$(submit_job path re-rating 4 4 same_rack 6000)" = "$id" ]
  expect_response 1 i1 body true "200 done 0"
  expect_response 1 n1 body false "200 done 0"
  expect_response 2 n1 body false "200 done 0"
  expect "request n1 did not run exactly once after it was sent to two entries" \
    [ "$(execution_count n1)" = 1 ]
  pass "whole path"
}

# Guards against a killed scheduler whose running gangs stop, or whose role no other entry takes over.
case_scheduler_killed() {
  local id other first
  first=$(holder_entry)
  id=$(submit_job outlives re-rating 2 8 same_rack 20000)
  wait_until 10 has_running_tasks "$id" 2
  stop_process "entry-$first" KILL
  wait_until 15 has_holder
  expect "the gang stopped when the scheduler was killed" has_running_tasks "$id" 2
  other=$(submit_job after-kill routing 1 1 same_worker 1000)
  wait_until 15 job_has_state "$other" finished
  wait_until 25 job_has_state "$id" finished
  expect "the gang was restarted when the scheduler was killed" [ "$(job_attempt "$id")" = 1 ]
  start_process "entry-$first" rattanpond-entry
  wait_until 10 is_ready "$first"
  pass "scheduler killed"
}

# Guards against a paused scheduler that resumes and starts tasks that its successor has already placed.
case_scheduler_paused() {
  local first id
  first=$(holder_entry)
  kill -STOP "${pids[entry-$first]}"
  export RATTANPOND_ENTRIES
  RATTANPOND_ENTRIES=$(entry_http_address $((first % 3 + 1)))
  wait_until 20 has_holder
  id=$(submit_job after-pause re-rating 2 8 same_rack 8000)
  wait_until 10 has_running_tasks "$id" 2
  kill -CONT "${pids[entry-$first]}"
  sleep 3
  expect "the gang does not run exactly once after the paused scheduler resumed" \
    has_running_tasks "$id" 2
  wait_until 20 job_has_state "$id" finished
  # shellcheck disable=SC1091
  source "$folder/environment"
  wait_until 10 is_ready "$first"
  pass "scheduler paused"
}

# Guards against a store outage that stops running work or causes refusals with a wrong outcome, and
# against data that is lost after the outage.
case_store_down() {
  local id version
  id=$(submit_job through-outage re-rating 2 8 same_rack 12000)
  wait_until 10 has_running_tasks "$id" 2
  version=$(configuration_version 1)
  inject_fault table "" down
  sleep 6
  expect "the gang stopped during the store outage" has_running_tasks "$id" 2
  expect_response 1 i2 body true "200 done 0"
  expect_response 1 n2 body false "503 refused_not_run 300"
  expect "request n2 ran although it was refused as not run" [ "$(execution_count n2)" = 0 ]
  if ctl domain out zone-c > /dev/null 2>&1; then
    fail "a configuration change was accepted while the store was unavailable"
  fi
  clear_fault table "" down
  wait_until 20 job_has_state "$id" finished
  expect_response 2 n2 body false "200 done 0"
  expect "request n2 did not run exactly once after the store outage" [ "$(execution_count n2)" = 1 ]
  expect "the configuration version changed during the store outage" \
    [ "$(configuration_version 2)" = "$version" ]
  pass "store down"
}

# Guards against a guarantee that cannot be reclaimed while the store is unavailable.
case_reclaim_without_store() {
  local borrower owner started
  borrower=$(submit_job borrower routing 10 8 same_region 120000)
  wait_until 15 has_running_tasks "$borrower" 10
  owner=$(submit_job owner re-rating 2 8 same_rack 6000)
  # The scheduler has received the submission before the store becomes unavailable.
  inject_fault table "" down
  started=$(now_ms)
  wait_until 40 has_running_tasks "$owner" 2
  print_heading "the guarantee was reclaimed in $(($(now_ms) - started)) ms"
  expect "tasks of the borrower still run after the guarantee was reclaimed" \
    has_running_tasks "$borrower" 0
  clear_fault table "" down
  wait_until 20 job_has_state "$owner" finished
  ctl job cancel "$borrower" > /dev/null
  wait_until 20 job_has_state "$borrower" cancelled
  pass "reclaim without store"
}

# Guards against requests that run twice or are lost when the store's response is lost after the write
# took effect.
case_lost_answers() {
  local key
  for key in l1 l2 l3; do
    inject_fault table "" lose_answers 1
    send_request 1 "$key" body false > /dev/null
    expect_response 2 "$key" body false "200 done 0"
    expect "request $key did not run exactly once after the store's response was lost" \
      [ "$(execution_count "$key")" = 1 ]
  done
  pass "lost answers"
}

workers_of() { # job id: prints the numbers of the workers that run the job's tasks
  local i
  for i in {1..10}; do
    if running_tasks_on "$i" | grep -q "^$1/"; then echo "$i"; fi
  done
}

# Guards against the rest of a gang continuing to run after the worker of one member was lost.
case_agent_killed() {
  local id lost_worker other_workers started
  id=$(submit_job member-lost re-rating 2 8 same_rack 8000)
  wait_until 10 has_running_tasks "$id" 2
  read -r lost_worker other_workers <<< "$(workers_of "$id" | tr '\n' ' ')"
  stop_process "worker-$lost_worker" KILL
  inject_fault worker "worker-$lost_worker" down
  started=$(now_ms)
  # shellcheck disable=SC2086
  while running_tasks_on $other_workers | grep -q "^$id/1/"; do
    [ $(($(now_ms) - started)) -lt 6500 ] ||
      fail "the rest of the gang ran for more than 6.5 s after the worker of one member was lost"
    sleep 0.1
  done
  print_heading "the rest of the gang stopped after $(($(now_ms) - started)) ms"
  clear_fault worker "worker-$lost_worker" down
  wait_until 30 job_has_state "$id" finished
  start_process "worker-$lost_worker" rattanpond-agent
  pass "agent killed"
}

# Guards against a planned replacement of agents that breaks the gangs on their workers.
case_agent_replaced() {
  local id i
  id=$(submit_job replaced re-rating 2 8 same_rack 10000)
  wait_until 10 has_running_tasks "$id" 2
  for i in $(workers_of "$id"); do
    stop_process "worker-$i" TERM
    start_process "worker-$i" rattanpond-agent
  done
  wait_until 25 job_has_state "$id" finished
  expect "the gang was restarted when its agents were replaced" [ "$(job_attempt "$id")" = 1 ]
  pass "agent replaced"
}

# Guards against a task that starts in a failure domain that is out of service, while one entry cannot
# reach the store.
case_domain_out() {
  local id i
  restrict_table_clients entry-1 entry-2
  id=$(submit_job spread routing 10 8 same_region 60000)
  wait_until 15 has_running_tasks "$id" 10
  ctl domain out zone-c --notice-ms 3000
  sleep 8
  expect "tasks still run in zone-c after the notice period" [ -z "$(running_tasks_on 8 9 10)" ]
  for i in {1..8}; do submit_job "small-$i" routing 1 8 same_worker 4000 > /dev/null; done
  for _ in {1..20}; do
    expect "a task started in zone-c while the domain is out of service" \
      [ -z "$(running_tasks_on 8 9 10)" ]
    sleep 0.2
  done
  clear_fault table "" serve_only
  ctl domain return zone-c
  wait_until 60 has_running_tasks "$id" 10
  ctl job cancel "$id" > /dev/null
  wait_until 20 job_has_state "$id" cancelled
  pass "domain out and back"
}

# Guards against a planned stop of an entry that cuts off requests.
case_entry_stopped() {
  local done_count=0 refused=0 code i
  for i in {1..200}; do
    [ "$i" -ne 30 ] || kill -TERM "${pids[entry-3]}"
    code=0
    curl -s -m 8 -o /dev/null -H "Authorization: Bearer $RATTANPOND_TOKEN" \
      -H "X-Rattanpond-Workspace: permits" -H "X-Rattanpond-Deadline-Ms: 3000" \
      -H "X-Rattanpond-Idempotent: true" -H "X-Standin-Work-Ms: 20" -d body \
      "http://$(entry_http_address 3)/v1/services/$SERVICE/requests" || code=$?
    case $code in
      0) done_count=$((done_count + 1)) ;;
      7) refused=$((refused + 1)) ;;
      *) fail "request $i was cut off by the stop of the entry (curl status $code)" ;;
    esac
  done
  stop_process entry-3 TERM
  start_process entry-3 rattanpond-entry
  wait_until 10 is_ready 3
  expect "the stopping entry completed at most 30 requests" [ "$done_count" -gt 30 ]
  expect "the entry accepted all connections although it was stopped" [ "$refused" -gt 0 ]
  pass "entry stopped: $done_count done, $refused not connected, 0 cut"
}

# Guards against restarted entries that restore an older configuration.
case_all_entries_restarted() {
  local version i
  version=$(configuration_version 1)
  for i in 1 2 3; do stop_process "entry-$i" KILL; done
  for i in 1 2 3; do start_process "entry-$i" rattanpond-entry; done
  for i in 1 2 3; do wait_until 15 is_ready "$i"; done
  wait_until 15 all_targets_listed
  for i in 1 2 3; do
    expect "entry $i has another configuration version after the restart" \
      [ "$(configuration_version "$i")" = "$version" ]
  done
  wait_until 15 has_holder
  pass "all entries restarted"
}

# Guards against a store outage and a simultaneous loss of the scheduler that permanently prevent starts.
case_store_down_and_scheduler_killed() {
  local first borrower owner
  borrower=$(submit_job borrower-2 routing 10 8 same_region 120000)
  wait_until 15 has_running_tasks "$borrower" 10
  first=$(holder_entry)
  inject_fault table "" down
  stop_process "entry-$first" KILL
  wait_until 25 has_holder
  # The store accepts no writes: the scheduler commits the owner's gang on the agents at once or refuses
  # the submission, which is then repeated.
  wait_until 60 submission_accepted owner-2 re-rating 2 8 same_rack 15000
  owner=$(cat "$folder/accepted")
  wait_until 40 has_running_tasks "$owner" 2
  expect "tasks of the borrower still run after the guarantee was reclaimed" \
    has_running_tasks "$borrower" 0
  clear_fault table "" down
  start_process "entry-$first" rattanpond-entry
  wait_until 15 is_ready "$first"
  wait_until 30 job_has_state "$owner" finished
  ctl job cancel "$borrower" > /dev/null
  wait_until 20 job_has_state "$borrower" cancelled
  pass "store down and scheduler killed"
}

submission_accepted() { submit_job "$@" > "$folder/accepted"; }

# Guards against new requests to an executor in graceful shutdown, and against a truncated response that
# is returned as complete.
case_executors() {
  local i code
  inject_fault executor executor-1 drain
  sleep 3
  for i in {1..60}; do expect_response $((i % 3 + 1)) "d$i" body true "200 done 0"; done
  expect "the draining executor received requests" \
    [ "$(curl -sf -m 5 "http://$STANDIN/standin/executions" |
    jq '.executors[] | select(.executor == "executor-1") | .while_draining')" = 0 ]
  clear_fault executor executor-1 drain
  for i in {1..10}; do inject_fault executor "executor-$i" truncate; done
  code=$(send_request 1 t1 body false)
  [[ "$code" == 50[24]* && "$code" != *done* ]] ||
    fail "a truncated executor response gave the client '$code' instead of 502 or 504 and an outcome other than done"
  for i in {1..10}; do clear_fault executor "executor-$i" truncate; done
  # A second attempt with the same key must not run the request again.
  send_request 2 t1 body false > /dev/null
  expect "request t1 did not run exactly once after its response was truncated" \
    [ "$(execution_count t1)" = 1 ]
  # Failed executors receive requests again after some time.
  wait_until 20 executors_serve_requests
  pass "draining and cut executors"
}

executors_serve_requests() { [ "$(send_request 1 "again-$RANDOM$RANDOM" body true)" = "200 done 0" ]; }

# Guards against a paused agent that runs a request twice, or that resumes and runs tasks of a gang that
# has since been restarted.
case_agent_paused() {
  local id paused_worker other_workers i
  id=$(submit_job paused-member re-rating 2 8 same_rack 9000)
  wait_until 10 has_running_tasks "$id" 2
  read -r paused_worker other_workers <<< "$(workers_of "$id" | tr '\n' ' ')"
  kill -STOP "${pids[worker-$paused_worker]}" "${pids[executor-1]}"
  for i in {1..20}; do send_request $((i % 3 + 1)) "p$i" body false > /dev/null; done
  sleep 14
  kill -CONT "${pids[worker-$paused_worker]}" "${pids[executor-1]}"
  wait_until 40 job_has_state "$id" finished
  expect "tasks of the finished gang still run after the agent resumed" has_running_tasks "$id" 0
  for i in {1..20}; do
    expect "request p$i ran more than once" [ "$(execution_count "p$i")" -le 1 ]
  done
  pass "agent paused"
}

# Guards against a lost change when several operators submit changes to the same version at once.
case_operators_race() {
  local version i conflicts
  version=$(configuration_version 1)
  for i in {1..4}; do
    curl -s -m 8 -H "Authorization: Bearer $RATTANPOND_TOKEN" \
      -d "{\"base_version\":$version,\"contracts\":[{\"workspace\":\"race-$i\"}]}" \
      "http://$(entry_http_address $((i % 3 + 1)))/v1/configuration" > "$folder/race-$i" &
  done
  wait %% 2>/dev/null || true
  wait_until 10 all_changes_answered
  conflicts=$(cat "$folder"/race-? | grep -c version_conflict || true)
  expect "not exactly three of four changes to the same version were rejected as conflicts" \
    [ "$conflicts" = 3 ]
  expect "the concurrent changes did not raise the configuration version by exactly one" \
    [ "$(configuration_version 1)" = "$((version + 1))" ]
  wait_until 7 all_entries_have_version "$((version + 1))"
  pass "operators race"
}

all_changes_answered() { [ "$(cat "$folder"/race-? | grep -c '"')" -ge 4 ]; }
all_entries_have_version() {
  local i
  for i in 1 2 3; do [ "$(configuration_version "$i")" = "$1" ] || return 1; done
}

./scripts/generate-deployment tulay-kargada "$folder" "$port"
write_declarations
start_deployment
ctl apply "$folder/declarations" > /dev/null
wait_until 15 has_holder

cases=(whole_path scheduler_killed scheduler_paused store_down reclaim_without_store lost_answers
  agent_killed agent_replaced domain_out entry_stopped all_entries_restarted
  store_down_and_scheduler_killed executors agent_paused operators_race)
for name in ${BLACK_BOX_CASES:-${cases[@]}}; do
  "case_$name"
done
echo "$passed passed, 0 failed"
