# Functions to start and stop a small site on 127.0.0.1: a log, entries, and agents with their upstreams.
# Source this file after setting `bin` (the directory of the binaries). Processes are stopped by id.

site="$(mktemp -d)"
declare -A process_ids=()

# start NAME COMMAND...: starts a process and redirects its output to $site/NAME.log.
start() {
  local name="$1"
  shift
  "$@" > "$site/$name.log" 2>&1 &
  process_ids[$name]=$!
}

# ports NAME: prints the ports that the process wrote to $site/NAME.ports.
ports() {
  for _ in $(seq 200); do
    [ -s "$site/$1.ports" ] && { cat "$site/$1.ports"; return 0; }
    sleep 0.05
  done
  echo "$1 did not start:" >&2
  cat "$site/$1.log" >&2
  return 1
}

start_log() {
  start log "$bin/standin-log" --port_file "$site/log.ports" "$@"
  log_address="127.0.0.1:$(ports log)"
}

# start_entry NUMBER COUNT [SETTINGS]: starts entry NUMBER of COUNT. SETTINGS are extra JSON members.
start_entry() {
  local name="entry-$1"
  cat > "$site/$name.json" <<JSON
{ "name": "$name", "region": "demo", "availability_zone": "zone-$1",
  "rpc_address": "127.0.0.1:0", "operations_address": "127.0.0.1:0",
  "entry_slot": $1, "entry_slots": $2, "seeds": [${entry_seeds:-}],
  "drain_notice_ms": 200, "callers": { "address": "127.0.0.1:0", "threads": 512 },
  "log": { "address": "$log_address" }, "traces": { "path": "$site/$name.spans" }${3:+, $3} }
JSON
  rm -f "$site/$name.ports"
  start "$name" "$bin/parsleylead-entry" --settings "$site/$name.json" --port_file "$site/$name.ports"
  local caller operations rpc
  read -r caller operations rpc < <(ports "$name")
  entry_callers[$1]="127.0.0.1:$caller"
  entry_operations[$1]="127.0.0.1:$operations"
  entry_seeds="${entry_seeds:+$entry_seeds, }\"127.0.0.1:$rpc\""
}

# start_worker NUMBER KINDS SPEED: starts an agent and its upstream.
start_worker() {
  local name="agent-$1"
  cat > "$site/$name.json" <<JSON
{ "name": "$name", "region": "demo", "availability_zone": "zone-$1",
  "rpc_address": "127.0.0.1:0", "operations_address": "127.0.0.1:0", "seeds": [$entry_seeds],
  "upstream": { "announce_address": "127.0.0.1:0", "slots": ${worker_slots:-8}, "connections": 64 },
  "traces": { "path": "$site/$name.spans" } }
JSON
  rm -f "$site/$name.ports"
  start "$name" "$bin/parsleylead-agent" --settings "$site/$name.json" --port_file "$site/$name.ports"
  local rpc operations announce
  read -r rpc operations announce < <(ports "$name")
  agent_operations[$1]="127.0.0.1:$operations"
  start "upstream-$1" "$bin/standin-upstream" --name "upstream-$1" --kinds "$2" --speed "$3" \
    --slots "${worker_slots:-8}" --announce "127.0.0.1:$announce" --port_file "$site/upstream-$1.ports"
  upstream_address[$1]="127.0.0.1:$(ports "upstream-$1")"
}

# wait_ready ADDRESS...: waits until /ready returns 200 at every operations address.
wait_ready() {
  local address
  for address in "$@"; do
    for _ in $(seq 200); do
      [ "$(curl -s -o "$site/ready.out" -w '%{http_code}' "http://$address/ready")" = 200 ] && continue 2
      sleep 0.05
    done
    echo "not ready: $address" >&2
    cat "$site/ready.out" >&2
    return 1
  done
}

# stop NAME: sends SIGTERM, waits for the process and returns its exit code.
stop() {
  local id="${process_ids[$1]:-}"
  [ -n "$id" ] || return 0
  unset "process_ids[$1]"
  kill -TERM "$id" 2>/dev/null || true
  wait "$id"
}

# stop_site: stops all processes gracefully; returns 1 if an entry or agent exits with an error.
stop_site() {
  local name code=0
  for name in $(printf '%s\n' "${!process_ids[@]}" | grep '^entry' | sort); do
    stop "$name" || { echo "$name exited with an error" >&2; code=1; }
  done
  for name in $(printf '%s\n' "${!process_ids[@]}" | grep '^agent' | sort); do
    stop "$name" || { echo "$name exited with an error" >&2; code=1; }
  done
  for name in "${!process_ids[@]}"; do
    stop "$name" || true
  done
  return "$code"
}

declare -A entry_callers=() entry_operations=() agent_operations=() upstream_address=()
trap 'for id in "${process_ids[@]}"; do kill -KILL "$id" 2>/dev/null || true; done; rm -rf "$site"' EXIT

# wait_workers COUNT: waits until every entry has sessions to COUNT workers.
wait_workers() {
  local address open
  for address in "${entry_operations[@]}"; do
    for _ in $(seq 200); do
      open="$(curl -s "http://$address/metrics" | awk '$1 == "parsleylead_entry_open_sessions" { print $2 }')"
      [ "${open:-0}" = "$1" ] && continue 2
      sleep 0.05
    done
    echo "$address has ${open:-no} sessions instead of $1" >&2
    return 1
  done
}
