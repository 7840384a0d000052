#!/usr/bin/env bash
# A node that was told to stop cuts statements of sessions whose transactions roll back.
# See claim.txt. Exit code: 1 the rule was broken, 0 it held, 2 the case could not run.
set -u
cd "$(dirname "$0")/../.."
case_dir=$PWD/review/13
trouble=${TROUBLE:-1}
consumer_count=12
grace_s=6
work=$(mktemp -d)
record=$case_dir/record.txt
: >"$record"
pids=()
started_at=$SECONDS

stop_all() {
  local it
  for it in "${pids[@]}"; do kill "$it" 2>/dev/null; done
  for it in "${pids[@]}"; do wait "$it" 2>/dev/null; done
  rm -rf "$work"
}
trap stop_all EXIT

now_ms() { local t=${EPOCHREALTIME/[.,]/}; echo "${t:0:-3}"; }
note() { printf '%s %s\n' "$(date +%H:%M:%S.%3N)" "$*" >>"$record"; }
give_up() {
  note "the case could not run: $*"
  echo "could not run: $*"
  exit 2
}
[ -x target/apps/node/magnoliareel-node ] || give_up "no build of the deploy file"
[ -x target/review-3/site ] || give_up "no build of review/build-3.sh"

# Every process has a loopback address of its own, so that all nodes have the same ports.
host() { echo "127.0.12.$1"; }
is_used() { (exec 3<>"/dev/tcp/$1/$2") 2>/dev/null; }
port=0
for _ in 1 2 3 4 5 6 7 8 9 10; do
  port=$((20000 + RANDOM % 10000))
  free=1
  for n in 1 2 3 9; do
    for p in $port $((port + 1)) $((port + 2)) $((port + 3)) $((port + 4)) 9464; do
      is_used "$(host $n)" "$p" && free=0
    done
  done
  [ $free = 1 ] && break
  port=0
done
[ $port != 0 ] || give_up "no free ports"
site="http://$(host 9):$port"

target/review-3/site "$(host 9)" $port --work-ms 28 >"$work/site.log" 2>&1 &
pids+=($!)

start_node() {
  cat >"$work/node-$1.json" <<EOF
{"node-name": "edge-$1", "role": "node", "machine-class": "edge", "serves": ["edge", "control"],
 "ip": "$(host "$1")", "zone": "site-$1", "region": "north",
 "zones": {"site-1": "north", "site-2": "north", "site-3": "north"},
 "bind-addrs": {"frontend": "$(host "$1"):$port", "ready": "$(host "$1"):$((port + 1))",
                "admin": "$(host "$1"):$((port + 2))"},
 "port-range": [$((port + 3)), $((port + 4))],
 "seed-nodes": ["$(host 1):$((port + 2))", "$(host 2):$((port + 2))", "$(host 3):$((port + 2))"],
 "bootstrap": true, "heartbeat-ms": 1200,
 "limits": {"cpu-quota": 0.25, "cpu-cores": 1, "memory-mb": 260, "max-fds": 4300},
 "bounds": {"stable-window-ms": 5000, "drain-ms": 7000, "grace-s": $grace_s, "config-apply-ms": 4000,
            "loss-slack-ms": 200},
 "platform": {"address": "$(host 9):$port", "form": "table"},
 "provider": {"address": "$(host 9):$port", "duties": ["failover"]}}
EOF
  MAGNOLIAREEL_BOOT="$work/node-$1.json" target/apps/node/magnoliareel-node --metrics-port 9464 \
    >"$work/node-$1.log" 2>&1 &
  pids+=($!)
  node_pid[$1]=$!
}

wait_until() {
  local n
  for ((n = 0; n < 150; ++n)); do
    eval "$1" >/dev/null 2>&1 && return 0
    sleep 0.1
  done
  return 1
}

# consumer NUMBER: one session at edge-1. Its transactions look something up and roll
# back, one after the other. Ends when the session ends; then records the statement, if
# there is one, that got no complete answer.
consumer() {
  local number=$1 n=0 id line text sent_ms
  exec 3<>"/dev/tcp/$(host 1)/$port" || return
  printf 'STARTUP entries-1 crew-%s\r\n' "$number" >&3
  read -r -t 2 line <&3
  [[ $line == READY* ]] || return
  while [ ! -e "$work/end" ]; do
    for text in BEGIN "READ entry-$number" "READ entry-$number" "READ entry-$number" "READ entry-$number" ROLLBACK; do
      printf -v id 'c%02x%013x' "$number" $((++n))
      sent_ms=$(now_ms)
      printf 'QUERY %s %s\r\n' "$id" "$text" >&3 2>/dev/null || {
        echo "closed $sent_ms $id $text" >"$work/consumer-$number"
        return
      }
      line=
      while read -r -t 8 line <&3; do
        [[ $line == READY* ]] && break
      done
      if [[ $line != READY* ]]; then
        echo "cut $sent_ms $(now_ms) $id $text" >"$work/consumer-$number"
        return
      fi
      # The answer to a statement in a transaction that was ended.
      [[ $line == "READY E"* ]] && break
    done
    if [[ $line == "READY E"* ]]; then
      printf -v id 'c%02x%013x' "$number" $((++n))
      printf 'QUERY %s ROLLBACK\r\n' "$id" >&3 2>/dev/null
      read -r -t 8 line <&3 && read -r -t 8 line <&3
    fi
  done
  echo "end" >"$work/consumer-$number"
}

declare -a node_pid
wait_until "curl -sf '$site/v1/rows-get?table=op&part='" || give_up "the site did not start"
for n in 1 2 3; do start_node $n; done
for n in 1 2 3; do
  wait_until "curl -sf http://$(host $n):$((port + 1))/v1/ready" || give_up "edge-$n is not ready"
done
sleep 6 # stable-window-ms, and a second

consumers=()
for ((n = 1; n <= consumer_count; ++n)); do
  consumer $n &
  consumers+=($!)
  pids+=($!)
done
sleep 2
term_ms=$(now_ms)
if [ "$trouble" != 0 ]; then
  kill -TERM "${node_pid[1]}"
  note "SIGTERM to edge-1"
fi
sleep 7
touch "$work/end"
ended_ms=$(now_ms)
for it in "${consumers[@]}"; do wait "$it"; done

awk '$2 == "arrived" {print $5, $3}' "$work/site.log" | sort >"$work/arrived"
broken=0
for ((n = 1; n <= consumer_count; ++n)); do
  read -r what sent_ms cut_ms id text <"$work/consumer-$n" || give_up "consumer $n recorded nothing"
  if [ "$what" != cut ]; then
    note "consumer $n: $what, no statement was cut"
    continue
  fi
  database=$(awk -v id="$id" '$1 == id {print $2}' "$work/arrived")
  sent=$((sent_ms - term_ms))
  cut=$((cut_ms - term_ms))
  verdict="not counted"
  # Planned work lasts until 1 s after grace-s. Statements that were sent in the first
  # 3 s may be excused.
  if [ "$trouble" != 0 ] && [ -n "$database" ] && [ $cut -le $(((grace_s + 1) * 1000)) ] && [ $sent -gt 3000 ]; then
    broken=$((broken + 1))
    verdict="LOST"
  fi
  note "consumer $n: $id $text, sent $sent ms after SIGTERM, connection ended after $cut ms without a complete answer; arrived at: ${database:-no database}; $verdict"
done
statements=$(wc -l <"$work/arrived")
note "$statements statements arrived at databases, $broken of $consumer_count consumers lost an answer; $((SECONDS - started_at)) s"
tail -n 1 "$record"
[ "$statements" -gt 0 ] || give_up "no statement arrived"
[ $broken = 0 ]
