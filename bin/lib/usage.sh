# Functions that read what processes of a site use. The sourcing script has sourced site.sh.

# Prints the processor time of a process so far, in ms: cpu_millis NAME
cpu_millis() {
  awk -v hertz="$(getconf CLK_TCK)" '{printf "%d", ($14 + $15) * 1000 / hertz}' "/proc/${pids[$1]}/stat"
}

# Prints a line of a process' status in kB: status_kilobytes NAME FIELD
status_kilobytes() {
  awk -v field="$2:" '$1 == field {print $2}' "/proc/${pids[$1]}/status"
}

# Prints the private resident memory of a process in kB: private_kilobytes NAME
private_kilobytes() {
  awk '/^Private_(Clean|Dirty):/ {sum += $2} END {print sum}' "/proc/${pids[$1]}/smaps_rollup"
}

# Sums the lines of a process' metrics whose name begins with a prefix: metric URL PREFIX
metric() {
  curl -fsS "$1/metrics" | awk -v prefix="$2" 'index($1, prefix) == 1 {sum += $2} END {printf "%.0f", sum}'
}
