# Functions that the scripts of review/6 to review/10 share. A script sets `record`, the path of its record.txt, and
# sources this file from the top of the repository. All else lies in $work and is removed at the end.
peer=build-review-2/peer
work=$(mktemp -d)
pids=
verdict=2 # the exit status, also where a command of the script fails unexpectedly
: > "$record"

note() { echo "$(date +%s%3N) $*" >> "$record"; }
cannot_run() { note "cannot run: $*"; verdict=2; exit; }
rule_broken() { note "the rule was broken"; verdict=1; exit; }
rule_held() { note "the rule held"; verdict=0; exit; }

# A process that has ended is taken off the list: its number may belong to another process by then.
forget() { pids=$(for _pid in $pids; do [ "$_pid" = "$1" ] || printf ' %s' "$_pid"; done); }

end_all() {
  trap - EXIT
  for _pid in $pids; do kill -CONT "$_pid" 2> /dev/null || true; kill -KILL "$_pid" 2> /dev/null || true; done
  wait 2> /dev/null || true
  rm -rf "$work"
  exit "$verdict"
}
trap end_all EXIT
trap exit INT TERM

[ -x build/granitegap ] && [ -x "$peer" ] || cannot_run "build the deploy file and run review/build-2.sh first"

# wait_for SECONDS COMMAND...: until the command succeeds.
wait_for() {
  _tries=$(($1 * 20)); shift
  while [ "$_tries" -gt 0 ]; do
    "$@" && return 0
    sleep 0.05
    _tries=$((_tries - 1))
  done
  return 1
}

# sleep_until UNIX_MS
sleep_until() {
  _left=$(($1 - $(date +%s%3N)))
  [ "$_left" -le 0 ] || sleep "$(printf '%d.%03d' $((_left / 1000)) $((_left % 1000)))"
}

start_sink() {
  "$peer" sink --port-file "$work/sink.port" & pids="$pids $!"
  wait_for 5 test -s "$work/sink.port" || cannot_run "the sink does not start"
}

# start_kernel LIFE [RUN_MS]: a kernel of its own for that life of the tile server. Sets kernel_pid.
start_kernel() {
  "$peer" kernel --port-file "$work/kernel-$1.port" --record "$record" --life "$1" --run-ms "${2:-50}" &
  kernel_pid=$!; pids="$pids $kernel_pid"
  wait_for 5 test -s "$work/kernel-$1.port" || cannot_run "the kernel does not start"
}

# The settings of one site with a class of reads and one of keyed requests; sh variables give the rest.
write_config() { # LIFE KERNEL_PORT LISTEN_PORT
  cat > "$work/config-$1.json" << JSON
{"name": "n1", "listen": "127.0.0.1:$3", "kernel": "127.0.0.1:$2", "announce": "127.0.0.1:$(cat "$work/sink.port")",
 "seed": "8c1f30d27a5be964", "stop_ms": 3200, "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
 "settings": {"servers": 1, "tick_ms": 2.0, "layer": 0, "worth_by": "work",
  "classes": [
   {"name": "tile", "effect": "retryable", "worth": 1.0, "aim_ms": 1900.0, "deadline_ms": 4900.0, "late_worth": 0.2},
   {"name": "trail-report", "effect": "dedup", "worth": 5.0, "aim_ms": 1200.0, "deadline_ms": 3000.0,
    "late_worth": 0.2, "repeat_window_ms": 8949.0}],
  "orgs": [{"name": "turistaterkep", "share": 1.0, "allowance_per_s": 54.0}],
  "limits": {"retry_after": true, "max_retry_after_ms": 1000.0},
  "rules": {"answer_slack_ms": 100.0, "cold_from": 0.2, "cold_ms": 18000.0, "drain_grace_ms": 2000.0,
            "fall_ms": 1500.0, "overload_factor": 8.0},
  "specifics": {"cpus": 2, "cold": false, "upstreams": 1, "memory_kb": 49134.0, "key_kb": 205.58, "run_factor": 8.0,
                "halt": "pause", "say": "tokens", "heeded_ms": 1000.0, "deep_checks": true, "list_follows": true,
                "passes_deadline": false, "tells_gone": false, "downstream": "none", "call_share": 0.0,
                "fresh_ms": 0.0, "gauges": ["core_use", "on_cores", "heap_share", "links"]}}}
JSON
}

log_has() { grep -q "$2" "$work/log-$1.txt" 2> /dev/null; }

# start_server LIFE OPERATOR_FILE: sets server_pid and server_port. The command is `run` of deploy/balancer.toml.
start_server() {
  write_config "$1" "$(cat "$work/kernel-$1.port")" 0
  EDGE_CONFIG="$work/config-$1.json" sh -c "exec build/granitegap serve --operator '$2'" 2> "$work/log-$1.txt" &
  server_pid=$!; pids="$pids $server_pid"
  wait_for 10 log_has "$1" 'connected to the kernel' || cannot_run "life $1 does not start"
  server_port=$(sed -n 's/.*listening on 127.0.0.1:\([0-9]*\).*/\1/p' "$work/log-$1.txt" | head -n 1)
  note "life $1 is up"
}

# end_server LIFE: SIGTERM, and waits for the orderly end.
end_server() {
  note "SIGTERM to life $1"
  kill -TERM "$server_pid"
  _status=0
  wait "$server_pid" || _status=$?
  forget "$server_pid"
  [ "$_status" = 0 ] || cannot_run "life $1 did not end in order: exit status $_status"
  kill -KILL "$kernel_pid"
  wait "$kernel_pid" 2> /dev/null || true
  forget "$kernel_pid"
  note "life $1 has ended: $(tail -n 1 "$work/log-$1.txt")"
}

# send_report PORT TOKEN NOTE: one try; the same token and body each time. Prints the outcome.
send_report() {
  "$peer" request --port "$1" --record "$record" --class trail-report --token "$2" --body "report $2" --note "$3"
}

# start_dependency NAME: answers each request at once. Sets dependency_pid.
start_dependency() {
  "$peer" dependency --port-file "$work/$1.port" --record "$record" & dependency_pid=$!; pids="$pids $dependency_pid"
  wait_for 5 test -s "$work/$1.port" || cannot_run "the dependency does not start"
}

# read_parts PORT BODY NOTE: sends one read and prints a line for each part of its answer: name, status, age, data.
read_parts() {
  "$peer" request --port "$1" --record "$record" --class tile --token '' --body "$2" --note "$3" \
    --answer "$work/answer" > /dev/null
  "$peer" parts --answer "$work/answer"
}
