#!/usr/bin/env bash
# Runs one case: run-case.sh CLASS FOLDER. Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
# With TROUBLE=0 there is no disruption.
set -u
review=$(cd "$(dirname "${BASH_SOURCE[0]}")" && pwd)
folder=$(cd "$2" && pwd)
classes="$review/target/classes"
if [ ! -f "$review/../target/knapweedmount.jar" ] || [ ! -f "$classes/$1.class" ]; then
  echo "build the deploy file's build and review/build.sh first" >&2
  exit 2
fi
# A TERM lets the program end the processes that it started; its exit codes are 10 more than those of this script.
timeout -k 10 100 java -Xmx128m -XX:+UseSerialGC -Dsun.net.httpserver.nodelay=true -cp "$classes" "$1" \
  "$review/.." "$folder/record.txt" &
pid=$!
trap 'kill "$pid" 2>/dev/null' INT TERM
wait "$pid"
code=$?
trap - INT TERM
wait "$pid" 2>/dev/null
case "$code" in
  10) exit 0 ;;
  11) exit 1 ;;
  *) exit 2 ;;
esac
