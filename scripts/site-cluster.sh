# Functions that start a stand-in site with nodes before it, and talk to them
# over the session protocol. Sourced by run-demo and the node's tests.
# Expects: bin_dir, log_dir, base_port; platform_port if the store is reached
# through a proxy.

pids=()

start_process() {
  local log=$1
  shift
  "$@" >"$log_dir/$log.log" 2>&1 &
  pids+=($!)
}

# Ends every process that was started here, and waits for them.
stop_all() {
  local it
  for it in "${pids[@]}"; do kill "$it" 2>/dev/null || true; done
  for it in "${pids[@]}"; do wait "$it" 2>/dev/null || true; done
  pids=()
}

wait_until() {
  local n
  for ((n = 0; n < 300; ++n)); do
    if eval "$1" >/dev/null 2>&1; then return 0; fi
    sleep 0.1
  done
  echo "waited in vain for: $1" >&2
  return 1
}

# Ports: site at base_port..+3; node N at base_port + 10 * N: callers, probe +1,
# peers +2, metrics +3.
node_port() { echo $((base_port + 10 * $1)); }

start_site() {
  start_process site "$bin_dir/standins/site/standin-site" --base-port "$base_port"
  wait_until "curl -sf 'http://127.0.0.1:$base_port/v1/rows-get?table=op&part='"
}

write_settings() {
  local n=$1 port
  port=$(node_port "$n")
  cat >"$log_dir/node-$n.json" <<EOF
{"node-name": "node-$n", "zone": "site-$n",
 "zones": {"site-1": "north", "site-2": "north", "site-3": "north"},
 "ip": "127.0.0.1", "port-range": [$((port + 2)), $((port + 2))],
 "bind-addrs": {"frontend": "127.0.0.1:$port", "ready": "127.0.0.1:$((port + 1))"},
 "seed-nodes": ["127.0.0.1:1"], "bounds": {"grace-s": 4},
 "platform": {"address": "127.0.0.1:${platform_port:-$base_port}"},
 "provider": {"address": "127.0.0.1:${platform_port:-$base_port}"}}
EOF
}

start_node() {
  local n=$1
  write_settings "$n"
  start_process "node-$n" "$bin_dir/apps/node/magnoliareel-node" \
    --boot "$log_dir/node-$n.json" --metrics-port $(($(node_port "$n") + 3))
  eval "node_pid_$n=$!"
  wait_until "curl -sf http://127.0.0.1:$(($(node_port "$n") + 1))/v1/ready"
}

fault() { curl -sf -X POST "http://127.0.0.1:$base_port/fault/$1"; }

# Opens a session as descriptor FD: open_session FD NODE DATABASE
open_session() {
  eval "exec $1<>/dev/tcp/127.0.0.1/$(node_port "$2")"
  printf 'STARTUP %s tester\r\n' "$3" >&"$1"
  local line
  read -r -t 5 line <&"$1"
  [[ $line == READY* ]]
}

close_session() { eval "exec $1>&-"; }

# Runs a statement and prints its answer on one line: ask FD ID TEXT
ask() {
  local line out=""
  printf 'QUERY %s %s\r\n' "$2" "$3" >&"$1" || return 1
  while read -r -t 8 line <&"$1"; do
    line=${line%$'\r'}
    out+="$line | "
    if [[ $line == READY* ]]; then
      echo "${out% | }"
      return 0
    fi
  done
  echo "${out}no answer"
  return 1
}
