# Checks of what a load was answered against what the endpoints really started. The sourcing script sets dir, with the
# files starts-*.log of the endpoints and trace*.csv of the loads.

# Prints the rows of all traces without their headers.
trace_rows() { grep -hv '^flow,' "$dir"/trace*.csv; }

# Prints the submissions that were answered not-run although a task of them was started.
untrue_refusals() {
  awk '
    FNR == NR { split($3, parts, "#"); started[parts[1]] = 1; next }
    { split($0, columns, ","); if (columns[6] == "not-run" && columns[7] in started) print columns[7] }
  ' <(cat "$dir"/starts-*.log) <(trace_rows)
}

# Prints the tasks that were started more than once, but for those of checks, which are repeatable. A submission whose
# answer was lost is not in a trace and counts as not repeatable.
second_starts() {
  awk '
    FNR == NR { split($0, columns, ","); if (columns[1] == "checks") repeatable[columns[7]] = 1; next }
    { split($3, parts, "#"); if (!(parts[1] in repeatable) && ++starts[$3] == 2) print $3 }
  ' <(trace_rows) <(cat "$dir"/starts-*.log)
}

# Prints which share of the requests had which ending.
ending_shares() {
  trace_rows | awk -F, '
    { endings[$6]++ }
    END {
      printf "%d requests", NR
      count = split("complete failed not-run unknown unreached lost wrong", names, " ")
      for (i = 1; i <= count; i++) printf ", %s %.1f%%", names[i], 100 * endings[names[i]] / NR
      print ""
    }
  '
}

# Fails if a promise was broken: check_starts SEED
check_starts() {
  local untrue second
  untrue=$(untrue_refusals | wc -l)
  second=$(second_starts | wc -l)
  ending_shares
  echo "$(cat "$dir"/starts-*.log | wc -l) starts; refusals that were not true: $untrue; second starts: $second"
  [[ $untrue -eq 0 && $second -eq 0 ]] || fail "a promise was broken with seed $1"
  ! grep -h "invariant" "$dir"/entry-*.log "$dir"/agent-*.log || fail "an invariant was violated with seed $1"
  echo "no promise was broken"
}
