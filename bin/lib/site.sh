# Functions that start a small site on this machine and stop it again. The sourcing script sets root (the project),
# dir (settings and logs), base (first TCP port), ENTRY_COUNT, AGENT_COUNT, SERVICE and DATA_CENTRES, and may set
# DELAY_MICROS to put a relay with that delay in front of the links of each entry.

readonly READY_SECONDS=60
readonly STOP_SECONDS=60
readonly SITE_PORTS=400

declare -A pids=()

# Further options of the endpoints, and the port of the agent that each announces itself to, if not its own agent's.
endpoint_options=()
declare -A announcement_ports=()

relay_control() { echo $((base + 10)); }
entry_link() { echo $((base + 100 + $1)); }
entry_relay() { echo $((base + 120 + $1)); }
entry_http() { echo $((base + 140 + $1)); }
entry_operators() { echo $((base + 160 + $1)); }
agent_http() { echo $((base + 200 + $1)); }
endpoint_http() { echo $((base + 300 + $1)); }

step() { printf '\n== %s\n' "$*"; }

fail() {
  printf '%s: %s\n' "$(basename "$0")" "$*" >&2
  printf '%s: logs are in %s\n' "$(basename "$0")" "$dir" >&2
  exit 1
}

# Succeeds if nothing was built yet or a source is newer than the build.
build_needed() {
  local jar="$root/standins/target/knapweedmount-standins-0.1.0-SNAPSHOT.jar"
  [[ -f $jar && -d $root/daemon/target/lib && -d $root/cli/target/lib ]] || return 0
  [[ -n $(find "$root"/*/src/main "$root"/pom.xml "$root"/*/pom.xml -newer "$jar" -print -quit) ]]
}

build() {
  build_needed || return 0
  step "building"
  (cd "$root" && mvn -B -q -ntp package -DskipTests)
}

data_centre() { echo "${DATA_CENTRES[($1 - 1) % ${#DATA_CENTRES[@]}]}"; }

# The port that other processes use for the links of an entry.
advertised_link() {
  if [[ ${DELAY_MICROS:-0} -gt 0 ]]; then entry_relay "$1"; else entry_link "$1"; fi
}

# Prints the link addresses of all entries but one as elements of a JSON list: entry_links [EXCEPT]
entry_links() {
  local number list=""
  for ((number = 1; number <= ENTRY_COUNT; number++)); do
    [[ $number -eq ${1:-0} ]] || list+="\"127.0.0.1:$(advertised_link "$number")\", "
  done
  echo "${list%, }"
}

# Prints the callers' addresses of all entries, separated by commas.
entry_callers() {
  local number list=""
  for ((number = 1; number <= ENTRY_COUNT; number++)); do
    list+="127.0.0.1:$(entry_http "$number"),"
  done
  echo "${list%,}"
}

write_entry_settings() {
  local number=$1
  cat >"$dir/entry-$number.json" <<JSON
{
  "role": "entry", "name": "entry-$number", "dataCentre": "$(data_centre "$number")", "logLevel": "info",
  "links": {"host": "127.0.0.1", "port": $(entry_link "$number"), "advertisedPort": $(advertised_link "$number")},
  "http": {"host": "127.0.0.1", "port": $(entry_http "$number"), "maxBodyBytes": 1048576, "maxConnections": 5000},
  "operators": {"host": "127.0.0.1", "port": $(entry_operators "$number"), "tokenFile": "$dir/operators.token"},
  "platform": {"host": "127.0.0.1", "port": $base},
  "peers": [$(entry_links "$number")],
  "drainMillis": 30000, "heartbeatMillis": 300
}
JSON
}

write_agent_settings() {
  local number=$1
  cat >"$dir/agent-$number.json" <<JSON
{
  "role": "agent", "name": "agent-$number", "dataCentre": "$(data_centre "$number")", "logLevel": "info",
  "http": {"host": "127.0.0.1", "port": $(agent_http "$number"), "maxBodyBytes": 1048576, "maxConnections": 100},
  "platform": {"host": "127.0.0.1", "port": $base},
  "peers": [$(entry_links)],
  "drainMillis": 30000, "heartbeatMillis": 300
}
JSON
}

write_token() {
  local token
  token=$(od -An -N16 -tx1 /dev/urandom | tr -d ' \n')
  (umask 077 && echo "operator $token" >"$dir/operators.token")
}

# Starts a process in the background: start NAME COMMAND...
start() {
  local name=$1
  shift
  "$@" >>"$dir/$name.log" 2>&1 &
  pids[$name]=$!
}

# Waits until an address answers 2xx: await_ready NAME URL
await_ready() {
  local name=$1 url=$2
  local end=$((SECONDS + READY_SECONDS))
  until curl -fsS -m 2 -o "$dir/ready.out" "$url" 2>"$dir/ready.err"; do
    kill -0 "${pids[$name]}" 2>/dev/null || fail "$name ended; see $dir/$name.log"
    ((SECONDS < end)) || fail "$name is not ready after $READY_SECONDS s; see $dir/$name.log"
    sleep 0.1
  done
}

start_platform() {
  start platform "$root/bin/standin" platform --port "$base"
  await_ready platform "http://127.0.0.1:$base/control"
}

start_relay() {
  [[ ${DELAY_MICROS:-0} -gt 0 ]] || return 0
  local number relays=()
  for ((number = 1; number <= ENTRY_COUNT; number++)); do
    relays+=(--relay "$(entry_relay "$number")=127.0.0.1:$(entry_link "$number")")
  done
  start relay "$root/bin/standin" relay --delay-micros "$DELAY_MICROS" --control-port "$(relay_control)" "${relays[@]}"
  await_ready relay "http://127.0.0.1:$(relay_control)/control"
}

start_entry() { start "entry-$1" "$root/bin/knapweedmountd" "$dir/entry-$1.json"; }

start_agent() { start "agent-$1" "$root/bin/knapweedmountd" "$dir/agent-$1.json"; }

start_daemons() {
  local number
  for ((number = 1; number <= ENTRY_COUNT; number++)); do
    write_entry_settings "$number"
    start_entry "$number"
  done
  for ((number = 1; number <= AGENT_COUNT; number++)); do
    write_agent_settings "$number"
    start_agent "$number"
  done
}

start_endpoint() {
  start "endpoint-$1" "$root/bin/standin" executor --id "executor-$1" --service "$SERVICE" \
    --port "$(endpoint_http "$1")" --slots 8 --connections 64 \
    --agent "127.0.0.1:${announcement_ports[$1]:-$(agent_http "$1")}" --start-log "$dir/starts-$1.log" \
    "${endpoint_options[@]}"
}

start_endpoints() {
  local number
  for ((number = 1; number <= AGENT_COUNT; number++)); do
    start_endpoint "$number"
  done
}

await_system() {
  local number
  for ((number = 1; number <= AGENT_COUNT; number++)); do
    await_ready "agent-$number" "http://127.0.0.1:$(agent_http "$number")/healthz"
    await_ready "endpoint-$number" "http://127.0.0.1:$(endpoint_http "$number")/stats"
  done
  for ((number = 1; number <= ENTRY_COUNT; number++)); do
    await_ready "entry-$number" "http://127.0.0.1:$(entry_http "$number")/readyz"
  done
}

start_site() {
  dir=$(mktemp -d "${TMPDIR:-/tmp}/knapweedmount.XXXXXX")
  trap stop_all EXIT
  write_token
  step "starting $ENTRY_COUNT entries, $AGENT_COUNT agents with an endpoint each, and the platform; logs in $dir"
  start_platform
  start_relay
  start_daemons
  start_endpoints
  await_system
}

# Runs the command-line tool against one entry: knapweedmount ENTRY-NUMBER COMMAND...
knapweedmount() {
  local number=$1
  shift
  "$root/bin/knapweedmount" "$@" --entry "127.0.0.1:$(entry_http "$number")" \
    --operators "127.0.0.1:$(entry_operators "$number")" --token-file "$dir/operators.token"
}

# Waits for a process to end and checks that it ended as planned: await_end NAME
await_end() {
  local name=$1 code=0
  local end=$((SECONDS + STOP_SECONDS))
  while kill -0 "${pids[$name]}" 2>/dev/null; do
    ((SECONDS < end)) || fail "$name has not ended after $STOP_SECONDS s"
    sleep 0.1
  done
  wait "${pids[$name]}" || code=$?
  unset "pids[$name]"
  [[ $code -eq 0 || $code -eq 143 ]] || fail "$name ended with code $code"
  echo "$name ended with code $code"
}

stop_all() {
  local code=$?
  trap - EXIT
  local name
  for name in "${!pids[@]}"; do
    kill -CONT "${pids[$name]}" 2>/dev/null || true
    kill -TERM "${pids[$name]}" 2>/dev/null || true
  done
  wait || true
  [[ $code -ne 0 ]] || rm -rf "$dir"
  exit "$code"
}

# Lets the processes compile what they need before a measurement: a young process spends more time on compiling than on
# requests. Sends 400 requests a second for WARMING_SECONDS: warm_up FLOW...
warm_up() {
  local flow options=()
  for flow in "$@"; do
    options+=(--flow "$flow")
  done
  step "warming up for ${WARMING_SECONDS:-40} s"
  "$root/bin/standin" load --entries "$(entry_callers)" "${options[@]}" --rate 400 \
    --seconds "${WARMING_SECONDS:-40}" --connections 1000 --seed 2 >"$dir/warming.log" \
    || fail "the load found wrong answers"
}
