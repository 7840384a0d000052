# Functions that start a stand-in site and nodes in front of it, and send
# statements over the session protocol. Sourced by run-demo, run-soak and the
# scripts in tests/node.
#
# Expects the variables bin_dir, log_dir and base_port, platform_port if the store is
# reached through a proxy, and NODE_LIMITS (JSON) if the nodes have other limits than
# the default.

pids=()

# start_process NAME COMMAND...: runs a command in the background and logs its
# output to NAME.log. Appends its process id to pids.
start_process() {
  local name=$1
  shift
  "$@" >"$log_dir/$name.log" 2>&1 &
  pids+=($!)
}

# Fails unless the text $2 matches the pattern $3; $1 says what was expected.
expect() {
  if [[ $2 != $3 ]]; then
    echo "FAILED: $1: got '$2', expected '$3'"
    tail -n 20 "$log_dir"/node-*.log
    exit 1
  fi
  echo "ok: $1"
}

# Terminates all processes that start_process started, and waits for them.
stop_all() {
  local it
  for it in "${pids[@]}"; do kill "$it" 2>/dev/null || true; done
  for it in "${pids[@]}"; do wait "$it" 2>/dev/null || true; done
  pids=()
}

# wait_until COMMAND: repeats a command until it succeeds, for about 30 s.
wait_until() {
  local n
  for ((n = 0; n < 300; ++n)); do
    if eval "$1" >/dev/null 2>&1; then return 0; fi
    sleep 0.1
  done
  echo "timed out: $1" >&2
  return 1
}

# Prints the first port of a node. The site has base_port to base_port + 3. Node N
# has base_port + 10 * N for callers and the next five for the readiness probe,
# metrics, and, from the fourth on, peers and forwarded statements.
node_port() { echo $((base_port + 10 * $1)); }

# start_site [FLAG...]: starts the stand-in site with further flags.
start_site() {
  start_process site "$bin_dir/standins/site/standin-site" --base-port "$base_port" "$@"
  wait_until "curl -sf 'http://127.0.0.1:$base_port/v1/rows-get?table=op&part='"
}

# Writes the settings file of a node.
write_settings() {
  local n=$1 port
  port=$(node_port "$n")
  cat >"$log_dir/node-$n.json" <<EOF
{"node-name": "node-$n", "zone": "site-$(((n - 1) % 3 + 1))",
 "zones": {"site-1": "north", "site-2": "north", "site-3": "north"},
 "ip": "127.0.0.1", "port-range": [$((port + 4)), $((port + 5))],
 "bind-addrs": {"frontend": "127.0.0.1:$port", "ready": "127.0.0.1:$((port + 1))"},
 "seed-nodes": ["127.0.0.1:1"], "bounds": {"grace-s": 4},
 "platform": {"address": "127.0.0.1:${platform_port:-$base_port}"},
 "limits": ${NODE_LIMITS:-{\}},
 "provider": {"address": "127.0.0.1:${platform_port:-$base_port}"}}
EOF
}

# Starts a node, waits until it is ready and sets node_pid_N.
start_node() {
  local n=$1
  write_settings "$n"
  start_process "node-$n" "$bin_dir/apps/node/magnoliareel-node" \
    --boot "$log_dir/node-$n.json" --metrics-port $(($(node_port "$n") + 3))
  eval "node_pid_$n=$!"
  wait_until "curl -sf http://127.0.0.1:$(($(node_port "$n") + 1))/v1/ready"
}

# inject_fault NAME: injects a fault of the stand-in site or ends it; see
# standins/site/site_server.h.
inject_fault() { curl -sf -X POST "http://127.0.0.1:$base_port/fault/$1"; }

# print_runs ID: prints the text, and the kind and shape of the prepared statement if
# there is one, of each run of the request ID by a database.
print_runs() {
  curl -sf "http://127.0.0.1:$base_port/executed" |
    jq -r --arg id "$1" '.statements[] | select(.id == $id) | "\(.text) | \(.shape)"'
}

# open_session FD NODE DATABASE: opens a session with a node on file descriptor FD.
# Succeeds if the node accepts it.
open_session() {
  eval "exec $1<>/dev/tcp/127.0.0.1/$(node_port "$2")"
  printf 'STARTUP %s tester\r\n' "$3" >&"$1"
  local line
  read -r -t 5 line <&"$1"
  [[ $line == READY* ]]
}

close_session() { eval "exec $1>&-"; }

# run_statement FD ID TEXT: runs a statement with request id ID in the session on FD
# and prints the answer on one line. Fails if the answer is incomplete.
run_statement() {
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
