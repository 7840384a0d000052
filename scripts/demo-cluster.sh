# Functions that start a small deployment of entries, poolers and stand-ins on the
# loopback address and send requests to it. Sourced by other scripts.
#
# Expects the variables bin_dir and log_dir. endpoint_options may hold further
# options of the stand-in endpoints.

platform=127.0.0.1:7100
environment=demo
token_key=000102030405060708090a0b0c0d0e0f101112131415161718191a1b1c1d1e1f
sites=(sava-krsko drava-ptuj mura-lendava)
endpoints=(groyne-a-1 groyne-a-2 groyne-a-3)
endpoint_flag=groyne-a-1=127.0.0.1:7201,groyne-a-2=127.0.0.1:7202,groyne-a-3=127.0.0.1:7203
pids=()
declare -A pid_of=()
endpoint_options=()

# start_process NAME COMMAND...: runs a command in the background and logs its
# output to NAME.log. pid_of[NAME] is its process id.
start_process() {
  local name=$1
  shift
  "$@" >"$log_dir/$name.log" 2>&1 &
  pids+=("$!")
  pid_of[$name]=$!
}

start_platform() {
  start_process platform "$bin_dir/standins/platform/standin-platform" --listen "$platform"
  wait_until "curl -sf http://$platform/vms"
  local vms
  vms=$(jq -nc --args '{vms: [$ARGS.positional | to_entries[] | {
      vm: "vm-\(.key + 1)", site: .value, entry: "127.0.0.1:\(7401 + .key)",
      pooler: "127.0.0.1:\(7301 + .key)", state: "live"}]}' "${sites[@]:0:2}")
  curl -sf -d "$vms" "http://$platform/vms" >/dev/null
}

start_endpoints() {
  for n in 1 2 3; do
    start_process "endpoint-$n" "$bin_dir/standins/endpoint/standin-endpoint" \
      --listen "127.0.0.1:$((7200 + n))" --lag-ms 30 "${endpoint_options[@]}"
  done
}

start_poolers() {
  for n in 1 2; do
    start_process "pooler-$n" "$bin_dir/apps/pooler/magnoliareel-pooler" \
      --listen "127.0.0.1:$((7300 + n))" --platform "$platform" \
      --environment "$environment" --vm "vm-$n" --endpoints "$endpoint_flag"
  done
}

start_entries() {
  for n in 1 2; do
    start_process "entry-$n" "$bin_dir/apps/entry/magnoliareel-entry" \
      --listen "127.0.0.1:$((7400 + n))" --platform "$platform" \
      --environment "$environment" --vm "vm-$n" --site "${sites[$((n - 1))]}" \
      --token-keys "$token_key"
  done
}

# publish_config FILE: stores a configuration document at the platform and makes it
# the current version.
publish_config() {
  local hash head
  hash=$(sha256sum "$1" | cut -d' ' -f1)
  curl -sf --data-binary "@$1" "http://$platform/objects/$hash" >/dev/null
  head=$(jq -nc --arg hash "$hash" \
    '{version: 1, hash: $hash, changed_by: "demo", operation: "demo-1"} | tojson')
  curl -sf -d "{\"key\": \"$environment/head\", \"expected_version\": 0, \"value\": $head}" \
    "http://$platform/table" >/dev/null
}

# wait_until COMMAND: repeats a command until it succeeds, for at most 20 s.
wait_until() {
  for _ in $(seq 400); do
    if eval "$1" >/dev/null 2>&1; then
      return 0
    fi
    sleep 0.05
  done
  echo "timed out: $1" >&2
  return 1
}

# send_request ENTRY PATH BODY: sends a request of the caller crew-7 to an entry
# and prints the answer.
send_request() {
  curl -s -H 'X-Magnoliareel-Caller: crew-7' -H 'X-Magnoliareel-Key: key-of-crew-7' \
    -d "$3" "http://127.0.0.1:$((7400 + $1))$2"
}

# Terminates all processes that start_process started, and waits for them.
stop_all() {
  for it in "${pids[@]}"; do
    kill "$it" 2>/dev/null || true
  done
  for it in "${pids[@]}"; do
    wait "$it" 2>/dev/null || true
  done
  pids=()
}

# Succeeds if pooler 1 knows the primary of its first group.
has_primary() {
  curl -sf -d '{"jsonrpc":"2.0","id":1,"method":"status","params":{}}' \
    http://127.0.0.1:7301/rpc | jq -e '.result.groups[0].primary != ""'
}
