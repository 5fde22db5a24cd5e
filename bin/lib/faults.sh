# Faults that are put into a running site. The sourcing script has sourced site.sh.

# A fault is one line of words: what, on which process, and how long. All are drawn before the first one takes place, so
# that they depend on the seed alone.
faults=()

# Draws a number from 0 to BOUND - 1 into the variable drawn: draw BOUND. Not for use in $(...), where the shell starts
# RANDOM anew.
draw() { drawn=$((RANDOM % $1)); }

draw_entry() {
  draw "$ENTRY_COUNT"
  drawn="entry-$((drawn + 1))"
}

draw_agent() {
  draw "$AGENT_COUNT"
  drawn="agent-$((drawn + 1))"
}

draw_process() {
  draw 2
  if [[ $drawn -eq 0 ]]; then draw_entry; else draw_agent; fi
}

# Draws two processes that have a link, the one that opens it first, into the variables opener and listener. Of two
# entries the one with the lesser name opens the link.
draw_link() {
  draw_entry
  local first=$drawn
  draw_process
  while [[ $drawn == "$first" ]]; do draw_process; done
  if [[ $drawn == entry-* && $first < $drawn ]]; then
    opener=$first listener=$drawn
  else
    opener=$drawn listener=$first
  fi
}

draw_fault() {
  local kind fault store_modes=(down silent lose-answers)
  draw 6
  kind=$drawn
  case $kind in
    0) draw_process && fault="kill $drawn" ;;
    1) draw_process && fault="freeze $drawn" ;;
    2) draw_process && fault="replace $drawn" ;;
    3) draw 3 && fault="store ${store_modes[$drawn]}" ;;
    4) draw_link && fault="cut $opener $listener" ;;
    *) draw_entry && fault="stall $drawn" ;;
  esac
  draw 30
  faults+=("$fault $((drawn / 10 + 1)).$((drawn % 10))")
}

# Draws faults from a seed: draw_faults SEED COUNT
draw_faults() {
  local drawn opener listener number
  RANDOM=$1
  faults=()
  for ((number = 0; number < $2; number++)); do draw_fault; done
}

# Carries out a fault: strike WORDS...
strike() { "fault_$1" "${@:2}"; }

start_again() {
  if [[ $1 == entry-* ]]; then start_entry "${1#entry-}"; else start_agent "${1#agent-}"; fi
}

kill_process() {
  kill -KILL "${pids[$1]}"
  wait "${pids[$1]}" 2>/dev/null || true
}

fault_kill() {
  kill_process "$1"
  sleep "$2"
  start_again "$1"
}

fault_freeze() {
  kill -STOP "${pids[$1]}"
  sleep "$2"
  kill -CONT "${pids[$1]}"
}

fault_replace() {
  kill -TERM "${pids[$1]}"
  await_end "$1"
  start_again "$1"
}

set_store() { curl -fsS -X PUT -d "{\"mode\":\"$1\"}" -o "$dir/control.out" "http://127.0.0.1:$base/control"; }

fault_store() {
  set_store "$1"
  sleep "$2"
  set_store up
}

# Changes the relay before an entry: set_relay ENTRY FIELDS-OF-JSON
set_relay() {
  curl -fsS -X PUT -d "{\"port\":$(entry_relay "${1#entry-}"),$2}" -o "$dir/control.out" \
    "http://127.0.0.1:$(relay_control)/control"
}

# Resets the link from one process to another and lets none be opened: cut OPENER LISTENER SECONDS
fault_cut() {
  set_relay "$2" "\"cutOpeners\":[\"$1\"]"
  sleep "$3"
  set_relay "$2" '"cutOpeners":[]'
}

# Holds back what is under way on all links that others opened to an entry, to deliver it late.
fault_stall() {
  set_relay "$1" '"mode":"stall"'
  sleep "$2"
  set_relay "$1" '"mode":"pass"'
}

# Prints the processes of a data centre: processes_in DATA-CENTRE KIND COUNT
processes_in() {
  local number
  for ((number = 1; number <= $3; number++)); do
    [[ $(data_centre "$number") != "$1" ]] || echo "$2-$number"
  done
}

# Kills all processes of a data centre and starts them again: data_centre DATA-CENTRE SECONDS
fault_data_centre() {
  local name lost=()
  for name in $(processes_in "$1" entry "$ENTRY_COUNT") $(processes_in "$1" agent "$AGENT_COUNT") \
    $(processes_in "$1" endpoint "$AGENT_COUNT"); do
    kill_process "$name"
    lost+=("$name")
  done
  echo "killed ${lost[*]}"
  sleep "$2"
  for name in "${lost[@]}"; do
    if [[ $name == endpoint-* ]]; then start_endpoint "${name#endpoint-}"; else start_again "$name"; fi
  done
}

# Sets which links between a data centre and the others are cut: set_data_centre_links DATA-CENTRE true|false
set_data_centre_links() {
  local number others cut
  others=$(printf '"%s",' "${DATA_CENTRES[@]}" | sed "s/\"$1\",//; s/,\$//")
  for ((number = 1; number <= ENTRY_COUNT; number++)); do
    cut="\"$1\""
    [[ $(data_centre "$number") != "$1" ]] || cut=$others
    $2 || cut=""
    set_relay "entry-$number" "\"cutOpeners\":[$cut]"
  done
}

# Cuts the links between a data centre and the others, and heals them: data_centre_links DATA-CENTRE SECONDS
fault_data_centre_links() {
  set_data_centre_links "$1" true
  sleep "$2"
  set_data_centre_links "$1" false
}
