#!/usr/bin/env bash
# Three nodes before three databases. The primary reports that it is draining while the
# platform's promotion call is down, so that it has no successor. One node is stopped and
# started meanwhile, as planned work; a caller writes through it all the while.
# TROUBLE=0: the node is not restarted.
set -uo pipefail
cd "$(dirname "$0")/../.."
case_dir=review/9
work=$(mktemp -d)
pids=()
stop_all() {
  local it
  for it in "${pids[@]}"; do kill "$it" 2>/dev/null; done
  for it in "${pids[@]}"; do wait "$it" 2>/dev/null; done
  rm -rf "$work"
}
trap stop_all EXIT

base=$((20000 + RANDOM % 8000))
site_port=$base
promotion_port=$((base + 8))
frontend=$((base + 10))
ready=$((base + 11))
first_peer=$((base + 20))
net=127.$((1 + RANDOM % 200)).$((1 + RANDOM % 200))
drain_ms=10000
touch_ms=6000

target/standins/site/standin-site --base-port "$site_port" >"$work/site.log" 2>&1 &
pids+=($!)
is_open() { (exec 3<>"/dev/tcp/$1/$2") 2>/dev/null; }
wait_for() {
  local n
  for ((n = 0; n < 200; ++n)); do
    if "$@"; then return 0; fi
    sleep 0.1
  done
  echo "timed out: $*"
  exit 2
}
wait_for is_open 127.0.0.1 "$site_port"

start_node() {
  local n=$1 ip=$net.$1
  cat >"$work/node-$n.json" <<SETTINGS
{"node-name": "edge-$n", "role": "node", "machine-class": "edge", "serves": ["edge", "control"],
 "ip": "$ip", "zone": "site-$n", "region": "north",
 "zones": {"site-1": "north", "site-2": "north", "site-3": "north"},
 "bind-addrs": {"frontend": "$ip:$frontend", "ready": "$ip:$ready", "admin": "$ip:$((base + 12))"},
 "port-range": [$first_peer, $((first_peer + 15))],
 "seed-nodes": ["$net.1:$((base + 12))", "$net.2:$((base + 12))", "$net.3:$((base + 12))"],
 "bootstrap": true, "fault-counted": false,
 "limits": {"cpu-quota": 0.25, "cpu-cores": 1, "memory-mb": 260, "max-fds": 4300, "bandwidth-mbps": 200.0, "disk-mb": 0},
 "data-dir": null, "discovery": "platform", "entry": "vip", "heartbeat-ms": 1200,
 "contracts": ["base", "drain", "config", "cost", "recover", "sql", "platform"],
 "fault-tolerance": {"machines": 2, "zones": 0, "regions": 0},
 "bounds": {"stable-window-ms": $touch_ms, "drain-ms": $drain_ms, "grace-s": 6, "config-apply-ms": 6000, "recovery-s": 15, "fencing-required": true},
 "platform": {"address": "127.0.0.1:$site_port", "form": "table", "writes-per-s": 1200, "reads-per-s": 6000},
 "provider": {"address": "127.0.0.1:$promotion_port", "rate-per-s": 50.0, "duties": ["failover"], "duty-per-s": 50.0}}
SETTINGS
  date +%s.%N >"$work/started-$n"
  MAGNOLIAREEL_BOOT="$work/node-$n.json" target/apps/node/magnoliareel-node --metrics-port 9464 \
    >>"$work/node-$n.log" 2>&1 &
  pids+=($!)
  node_pid=$!
}
is_ready() {
  local line
  exec 3<>"/dev/tcp/$1/$ready" || return 1
  printf 'GET /v1/ready HTTP/1.1\r\nHost: node\r\nConnection: close\r\n\r\n' >&3
  read -r -t 2 line <&3
  exec 3>&-
  [[ $line == *" 200 "* ]]
} 2>/dev/null
start_node 2
start_node 3
start_node 1
first_pid=$node_pid
for n in 1 2 3; do wait_for is_ready "$net.$n"; done
sleep 8

timeout 60 target/drain-writer "$site_port" "$promotion_port" "$frontend" "$net.1" "$drain_ms" \
  "$touch_ms" "$work/started-1" >"$case_dir/record.txt" &
writer=$!
pids+=("$writer")
wait_for grep -q draining "$case_dir/record.txt"
if [ "${TROUBLE:-1}" != 0 ]; then
  sleep 2
  kill -TERM "$first_pid"
  wait "$first_pid"
  start_node 1
fi
wait "$writer"
status=$?
if [ "$status" -gt 1 ]; then status=2; fi
if [ -n "${KEEP_LOGS:-}" ]; then cp "$work"/*.log "$KEEP_LOGS/"; fi
exit "$status"
