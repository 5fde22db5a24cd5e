# Watches the numbers of change tickets in force and checks them afterwards. The sourcing script has sourced site.sh and
# sets dir.

now_millis() { date +%s%3N; }

# Asks an entry's operators' port: operators ENTRY-NUMBER PATH
operators() {
  curl -fsS -m 10 -H "@$dir/operators.header" "http://127.0.0.1:$(entry_operators "$1")$2"
}

write_operators_header() {
  (umask 077 && sed 's/^operator /Authorization: Bearer /' "$dir/operators.token" >"$dir/operators.header")
}

# Appends the status of each entry with the time to a file until the process is ended: watch_statuses
watch_statuses() {
  local number status
  while true; do
    for ((number = 1; number <= ENTRY_COUNT; number++)); do
      status=$(operators "$number" /v1/status) || continue
      printf '{"entry":%d,"at":%s,"status":%s}\n' "$number" "$(now_millis)" "$status"
    done
    sleep 0.02
  done >"$dir/statuses.json" 2>"$dir/watch.err"
}

# Prints a line "OBSERVER PROCESS AT NUMBER" for each number that an entry told of itself or of a linked process.
observed_numbers() {
  jq -r '
    . as $seen
    | [.status.incarnation, .status.configNumber],
      (.status.entries[], .status.agents[] | [.incarnation, .configNumber])
    | "\($seen.entry) \(.[0]) \($seen.at) \(.[1])"
  ' "$dir/statuses.json"
}

# Prints the observations in which a process' number was lower than the same observer had seen before.
reverted_numbers() {
  observed_numbers | awk '{ if ($4 < highest[$1, $2]) print; else highest[$1, $2] = $4 }'
}

# Prints the time in ms at which an entry was first seen to know that a ticket is in force at itself and all linked
# processes, the latest over all entries, or nothing if one never was: in_force_millis NUMBER
in_force_millis() {
  jq -r --argjson number "$1" '
    select([.status.configNumber, (.status.entries[], .status.agents[] | .configNumber)] | min >= $number)
    | "\(.entry) \(.at)"
  ' "$dir/statuses.json" | awk -v entries="$ENTRY_COUNT" '
    !($1 in first) { first[$1] = $2; count++; if ($2 > latest) latest = $2 }
    END { if (count == entries) print latest }
  '
}

# Prints "NUMBER AUTHOR" of the highest accepted ticket.
highest_ticket() { operators 1 "/v1/tickets?limit=1" | jq -er '.tickets[0] | "\(.number) \(.author)"'; }

# Writes the events of all entries, and the trail of accepted tickets, to files.
collect_audit() {
  local number
  operators 1 "/v1/audit?limit=500" | jq -c '.trail[]' >"$dir/trail.json"
  for ((number = 1; number <= ENTRY_COUNT; number++)); do
    operators "$number" "/v1/audit?limit=500" | jq -c ".events[] + {at: $number}"
  done >"$dir/events.json"
}

# Prints "NUMBER AUTHOR" for each ticket of the audit trail.
trail_authors() { jq -r '"\(.number) \(.author)"' "$dir/trail.json" | sort -n; }

# Prints "NUMBER AUTHOR" for each content that some entry put in force.
applied_authors() { jq -r 'select(.action == "applied") | "\(.number) \(.who)"' "$dir/events.json" | sort -n -u; }

# Prints the time in ms at which an entry first noted a ticket as accepted: accepted_millis NUMBER
accepted_millis() {
  local when
  when=$(jq -r --argjson number "$1" 'select(.action == "accepted" and .number == $number) | .when' \
    "$dir/events.json" | sort | head -n 1)
  [[ -z $when ]] || date -d "$when" +%s%3N
}
