#!/usr/bin/env bash
# Starts the real programs at the size of one user's deployment, makes parts of them fail, and checks
# from outside what must always hold. Usage: tests/black_box_test.sh FOLDER_OF_PROGRAMS [FIRST_PORT]
# BLACK_BOX_CASES selects cases by name.
set -euo pipefail
cd "$(dirname "$0")/.."
bin=$(realpath "$1")
port=${2:-23000}
folder=$(mktemp -d)
source ./scripts/deployment-functions
trap 'status=$?; [ $status -eq 0 ] || echo "stopped with status $status in ${FUNCNAME[*]:-main}"; stop_all; rm -rf "$folder"' EXIT

passed=0

now_ms() { date +%s%3N; }

pass() {
  passed=$((passed + 1))
  say "passed: $*"
}

expect() { # description command...
  local description=$1
  shift
  "$@" || fail "$description"
}

fault() { # component name fault [value]
  curl -sf -m 5 -d "{\"component\":\"$1\",\"name\":\"$2\",\"fault\":\"$3\",\"value\":${4:-0}}" \
    "http://$STANDIN/standin/faults" > /dev/null
}

end_fault() { # component name fault
  curl -sf -m 5 -X DELETE "http://$STANDIN/standin/faults?component=$1&name=$2&fault=$3" > /dev/null
}

serve_only() { # client...
  local clients
  clients=$(printf '"%s",' "$@")
  curl -sf -m 5 -d "{\"component\":\"table\",\"fault\":\"serve_only\",\"clients\":[${clients%,}]}" \
    "http://$STANDIN/standin/faults" > /dev/null
}

entry_http() { echo "127.0.0.1:$((port + 9 + $1))"; }

operator_get() { # entry number, path
  curl -sf -m 2 -H "Authorization: Bearer $RATTANPOND_TOKEN" "http://$(entry_http "$1")$2"
}

# Tasks that the runners of workers are running, whatever the agents believe.
tasks_on() { # worker number...
  local i
  for i in "$@"; do
    curl -sf -m 5 "http://127.0.0.1:$((port + 99 + i))/v1/tasks" |
      jq -r '(.tasks? // .)[] | select(.phase == "running") | .task' || true
  done
}

runs_of() { tasks_on {1..10} | grep -c "^$1/" || true; }
has_runs() { [ "$(runs_of "$1")" -eq "$2" ]; }

submit() { # key workspace tasks accelerators level work_ms
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

request() { # entry number, key, body, idempotent: prints "<http status> <outcome> <code>"
  curl -s -m 8 -o "$folder/answer" -D "$folder/headers" -w '%{http_code}' \
    -H "Authorization: Bearer $RATTANPOND_TOKEN" -H "X-Rattanpond-Workspace: permits" \
    -H "X-Rattanpond-Deadline-Ms: 3000" -H "X-Rattanpond-Idempotent: $4" \
    -H "Idempotency-Key: $2" -d "$3" "http://$(entry_http "$1")/v1/services/$SERVICE/requests" || true
  tr -d '\r' < "$folder/headers" | awk -F ': ' '/^X-Rattanpond/ { printf " %s", $2 }'
}

answers() { # entry number, key, body, idempotent, expected answer
  local given
  given=$(request "$1" "$2" "$3" "$4")
  [ "$given" = "$5" ] || fail "request $2 through entry $1: expected '$5', got '$given'"
}

executions_of() { # key
  curl -sf -m 5 "http://$STANDIN/standin/executions" | jq -r --arg key "$1" '.keys[$key] // 0'
}

holder() { # number of the entry that holds the scheduler role, or nothing
  local i
  for i in 1 2 3; do
    if operator_get "$i" /v1/state | jq -e '.scheduler.role | . == "holder" or . == "provisional"' > /dev/null; then
      echo "$i"
      return
    fi
  done
}

has_holder() { [ -n "$(holder)" ]; }
is_ready() { curl -sf -m 2 "http://$(entry_http "$1")/v1/health/ready" > /dev/null; }
version_at() { operator_get "$1" /v1/configuration | jq -r .version; }
attempt_of() { ctl job status "$1" --json | jq .attempt; }

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

# A job that never ran or ran in part, or a request that ran twice.
case_whole_path() {
  local id
  id=$(submit path re-rating 4 4 same_rack 1500)
  await 10 has_runs "$id" 4
  await 15 job_is "$id" finished
  expect "the same key gives the same job" [ "$(submit path re-rating 4 4 same_rack 1500)" = "$id" ]
  answers 1 i1 body true "200 done 0"
  answers 1 n1 body false "200 done 0"
  answers 2 n1 body false "200 done 0"
  expect "n1 ran once" [ "$(executions_of n1)" = 1 ]
  pass "whole path"
}

# A scheduler that dies takes gangs with it, or leaves the region without one.
case_scheduler_killed() {
  local id other first
  first=$(holder)
  id=$(submit outlives re-rating 2 8 same_rack 20000)
  await 10 has_runs "$id" 2
  end "entry-$first" KILL
  await 15 has_holder
  expect "the gang goes on" has_runs "$id" 2
  other=$(submit after-kill routing 1 1 same_worker 1000)
  await 15 job_is "$other" finished
  await 25 job_is "$id" finished
  expect "it ran in its first attempt" [ "$(attempt_of "$id")" = 1 ]
  start "entry-$first" rattanpond-entry
  await 10 is_ready "$first"
  pass "scheduler killed"
}

# A paused scheduler that wakes up places on top of its successor.
case_scheduler_paused() {
  local first id
  first=$(holder)
  kill -STOP "${pids[entry-$first]}"
  export RATTANPOND_ENTRIES
  RATTANPOND_ENTRIES=$(entry_http $((first % 3 + 1)))
  await 20 has_holder
  id=$(submit after-pause re-rating 2 8 same_rack 8000)
  await 10 has_runs "$id" 2
  kill -CONT "${pids[entry-$first]}"
  sleep 3
  expect "the gang runs once" has_runs "$id" 2
  await 20 job_is "$id" finished
  # shellcheck disable=SC1091
  source "$folder/environment"
  await 10 is_ready "$first"
  pass "scheduler paused"
}

# Work stops or is refused untruthfully while the store is down, or something is lost afterwards.
case_store_down() {
  local id version
  id=$(submit through-outage re-rating 2 8 same_rack 12000)
  await 10 has_runs "$id" 2
  version=$(version_at 1)
  fault table "" down
  sleep 6
  expect "the gang goes on" has_runs "$id" 2
  answers 1 i2 body true "200 done 0"
  answers 1 n2 body false "503 refused_not_run 300"
  expect "n2 did not run" [ "$(executions_of n2)" = 0 ]
  if ctl domain out zone-c > /dev/null 2>&1; then fail "a change was accepted without the store"; fi
  end_fault table "" down
  await 20 job_is "$id" finished
  answers 2 n2 body false "200 done 0"
  expect "n2 ran once" [ "$(executions_of n2)" = 1 ]
  expect "the version did not change" [ "$(version_at 2)" = "$version" ]
  pass "store down"
}

# A guarantee that cannot be reclaimed while the store is down.
case_reclaim_without_store() {
  local borrower owner started
  borrower=$(submit borrower routing 10 8 same_region 120000)
  await 15 has_runs "$borrower" 10
  owner=$(submit owner re-rating 2 8 same_rack 2000)
  # The call has arrived at the scheduler when the store goes down.
  fault table "" down
  started=$(now_ms)
  await 40 has_runs "$owner" 2
  say "the guarantee was reclaimed in $(($(now_ms) - started)) ms"
  expect "the borrower left whole" has_runs "$borrower" 0
  end_fault table "" down
  await 20 job_is "$owner" finished
  ctl job cancel "$borrower" > /dev/null
  await 20 job_is "$borrower" cancelled
  pass "reclaim without store"
}

# Answers of the table that are lost after the write took effect double or lose something.
case_lost_answers() {
  local key
  for key in l1 l2 l3; do
    fault table "" lose_answers 1
    request 1 "$key" body false > /dev/null
    answers 2 "$key" body false "200 done 0"
    expect "$key ran once" [ "$(executions_of "$key")" = 1 ]
  done
  pass "lost answers"
}

workers_of() { # job id: numbers of the workers that run its tasks
  local i
  for i in {1..10}; do
    if tasks_on "$i" | grep -q "^$1/"; then echo "$i"; fi
  done
}

# Part of a gang runs on after a member's worker was lost.
case_agent_killed() {
  local id victim others started
  id=$(submit member-lost re-rating 2 8 same_rack 8000)
  await 10 has_runs "$id" 2
  read -r victim others <<< "$(workers_of "$id" | tr '\n' ' ')"
  end "worker-$victim" KILL
  fault worker "worker-$victim" down
  started=$(now_ms)
  # shellcheck disable=SC2086
  while tasks_on $others | grep -q "^$id/1/"; do
    [ $(($(now_ms) - started)) -lt 6500 ] || fail "a part of the gang ran on for more than 6.5 s"
    sleep 0.1
  done
  say "the rest of the gang stopped after $(($(now_ms) - started)) ms"
  end_fault worker "worker-$victim" down
  await 30 job_is "$id" finished
  start "worker-$victim" rattanpond-agent
  pass "agent killed"
}

# The planned replacement of an agent breaks its gangs.
case_agent_replaced() {
  local id i
  id=$(submit replaced re-rating 2 8 same_rack 10000)
  await 10 has_runs "$id" 2
  for i in $(workers_of "$id"); do
    end "worker-$i" TERM
    start "worker-$i" rattanpond-agent
  done
  await 25 job_is "$id" finished
  expect "it ran in its first attempt" [ "$(attempt_of "$id")" = 1 ]
  pass "agent replaced"
}

# A task starts in a failure domain that is out, although one entry cannot reach the store.
case_domain_out() {
  local id i
  serve_only entry-1 entry-2
  id=$(submit spread routing 10 8 same_region 60000)
  await 15 has_runs "$id" 10
  ctl domain out zone-c --notice-ms 3000
  sleep 8
  expect "zone-c is empty after the notice" [ -z "$(tasks_on 8 9 10)" ]
  for i in {1..8}; do submit "small-$i" routing 1 8 same_worker 4000 > /dev/null; done
  for _ in {1..20}; do
    expect "nothing starts in zone-c" [ -z "$(tasks_on 8 9 10)" ]
    sleep 0.2
  done
  end_fault table "" serve_only
  ctl domain return zone-c
  await 60 has_runs "$id" 10
  ctl job cancel "$id" > /dev/null
  await 20 job_is "$id" cancelled
  pass "domain out and back"
}

# A planned stop of an entry cuts requests.
case_entry_stopped() {
  local done_count=0 refused=0 code i
  for i in {1..200}; do
    [ "$i" -ne 30 ] || kill -TERM "${pids[entry-3]}"
    code=0
    curl -s -m 8 -o /dev/null -H "Authorization: Bearer $RATTANPOND_TOKEN" \
      -H "X-Rattanpond-Workspace: permits" -H "X-Rattanpond-Deadline-Ms: 3000" \
      -H "X-Rattanpond-Idempotent: true" -H "X-Standin-Work-Ms: 20" -d body \
      "http://$(entry_http 3)/v1/services/$SERVICE/requests" || code=$?
    case $code in
      0) done_count=$((done_count + 1)) ;;
      7) refused=$((refused + 1)) ;;
      *) fail "request $i was cut (curl status $code)" ;;
    esac
  done
  end entry-3 TERM
  start entry-3 rattanpond-entry
  await 10 is_ready 3
  expect "requests were done during the stop" [ "$done_count" -gt 30 ]
  expect "the entry ended" [ "$refused" -gt 0 ]
  pass "entry stopped: $done_count done, $refused not connected, 0 cut"
}

# Processes that start again bring an older configuration back.
case_all_entries_restarted() {
  local version i
  version=$(version_at 1)
  for i in 1 2 3; do end "entry-$i" KILL; done
  for i in 1 2 3; do start "entry-$i" rattanpond-entry; done
  for i in 1 2 3; do await 15 is_ready "$i"; done
  await 15 targets_known
  for i in 1 2 3; do
    expect "entry $i has the version" [ "$(version_at "$i")" = "$version" ]
  done
  await 15 has_holder
  pass "all entries restarted"
}

# A store outage together with the loss of the scheduler stops all starts for good.
case_store_down_and_scheduler_killed() {
  local first borrower owner
  borrower=$(submit borrower-2 routing 10 8 same_region 120000)
  await 15 has_runs "$borrower" 10
  first=$(holder)
  fault table "" down
  end "entry-$first" KILL
  await 25 has_holder
  # The owner calls while nothing can be written: its gang is committed on agents at once or refused.
  await 60 submit_accepted owner-2 re-rating 2 8 same_rack 15000
  owner=$(cat "$folder/accepted")
  await 40 has_runs "$owner" 2
  expect "the borrower left whole" has_runs "$borrower" 0
  end_fault table "" down
  start "entry-$first" rattanpond-entry
  await 15 is_ready "$first"
  await 30 job_is "$owner" finished
  ctl job cancel "$borrower" > /dev/null
  await 20 job_is "$borrower" cancelled
  pass "store down and scheduler killed"
}

submit_accepted() { submit "$@" > "$folder/accepted"; }

# An executor in graceful shutdown is given new requests, or a cut answer is handed over as whole.
case_executors() {
  local i code
  fault executor executor-1 drain
  sleep 3
  for i in {1..60}; do answers $((i % 3 + 1)) "d$i" body true "200 done 0"; done
  expect "the draining executor got nothing" [ "$(curl -sf -m 5 "http://$STANDIN/standin/executions" |
    jq '.executors[] | select(.executor == "executor-1") | .while_draining')" = 0 ]
  end_fault executor executor-1 drain
  for i in {1..10}; do fault executor "executor-$i" truncate; done
  code=$(request 1 t1 body false)
  [[ "$code" == 50[24]* && "$code" != *done* ]] || fail "a cut answer was answered with '$code'"
  for i in {1..10}; do end_fault executor "executor-$i" truncate; done
  # The second try with the same key must not run it again.
  request 2 t1 body false > /dev/null
  expect "t1 ran once" [ "$(executions_of t1)" = 1 ]
  # Executors that failed are tried again by and by.
  await 20 serves_again
  pass "draining and cut executors"
}

serves_again() { [ "$(request 1 "again-$RANDOM$RANDOM" body true)" = "200 done 0" ]; }

# A paused agent runs a request twice, or wakes up and runs tasks of a gang that moved on.
case_agent_paused() {
  local id victim others i
  id=$(submit paused-member re-rating 2 8 same_rack 9000)
  await 10 has_runs "$id" 2
  read -r victim others <<< "$(workers_of "$id" | tr '\n' ' ')"
  kill -STOP "${pids[worker-$victim]}" "${pids[executor-1]}"
  for i in {1..20}; do request $((i % 3 + 1)) "p$i" body false > /dev/null; done
  sleep 14
  kill -CONT "${pids[worker-$victim]}" "${pids[executor-1]}"
  await 40 job_is "$id" finished
  expect "nothing of it runs on" has_runs "$id" 0
  for i in {1..20}; do
    expect "p$i ran at most once" [ "$(executions_of "p$i")" -le 1 ]
  done
  pass "agent paused"
}

# Two operators change the same version and one change is lost.
case_operators_race() {
  local version i conflicts
  version=$(version_at 1)
  for i in {1..4}; do
    curl -s -m 8 -H "Authorization: Bearer $RATTANPOND_TOKEN" \
      -d "{\"base_version\":$version,\"contracts\":[{\"workspace\":\"race-$i\"}]}" \
      "http://$(entry_http $((i % 3 + 1)))/v1/configuration" > "$folder/race-$i" &
  done
  wait %% 2>/dev/null || true
  await 10 race_answered
  conflicts=$(cat "$folder"/race-? | grep -c version_conflict || true)
  expect "three of four conflict" [ "$conflicts" = 3 ]
  expect "one version more" [ "$(version_at 1)" = "$((version + 1))" ]
  await 7 same_version_everywhere "$((version + 1))"
  pass "operators race"
}

race_answered() { [ "$(cat "$folder"/race-? | grep -c '"')" -ge 4 ]; }
same_version_everywhere() {
  local i
  for i in 1 2 3; do [ "$(version_at "$i")" = "$1" ] || return 1; done
}

./scripts/generate-deployment tulay-kargada "$folder" "$port"
write_declarations
start_deployment
ctl apply "$folder/declarations" > /dev/null
await 15 has_holder

cases=(whole_path scheduler_killed scheduler_paused store_down reclaim_without_store lost_answers
  agent_killed agent_replaced domain_out entry_stopped all_entries_restarted
  store_down_and_scheduler_killed executors agent_paused operators_race)
for name in ${BLACK_BOX_CASES:-${cases[@]}}; do
  "case_$name"
done
echo "$passed passed, 0 failed"
