#!/usr/bin/env bash
# Plays a case: play.sh NAME FOLDER. Exit 1 if the rule was broken, 0 if it held, 2 if it could not run. TROUBLE=0 leaves the
# disruption out.
set -u
name=$1 folder=$(cd "$2" && pwd) || exit 2
cd "$(dirname "$0")/.." || exit 2
# Clients and stream servers are all in one process.
ulimit -S -n "$(ulimit -H -n)" 2>/dev/null
CASE_TMP=$(mktemp -d) || exit 2
export CASE_TMP
finish() {
  # The stand-in ends its processes itself; this is for a stand-in that was ended from outside.
  [ -n "${case_pid:-}" ] && kill -KILL "$case_pid" 2>/dev/null
  [ -f "$CASE_TMP/pids" ] && while read -r pid; do kill -KILL "$pid" 2>/dev/null; done < "$CASE_TMP/pids"
  rm -rf "$CASE_TMP"
}
trap finish EXIT
trap 'exit 2' INT TERM
[ -x review/.built/case ] && [ -x target/release/spanspur ] || { echo "build first: the deploy file's build, review/build.sh" >&2; exit 2; }
review/.built/case "$name" "$folder" &
case_pid=$!
for _ in $(seq 1100); do kill -0 "$case_pid" 2>/dev/null || break; sleep 0.1; done
kill -0 "$case_pid" 2>/dev/null && { echo "not done within 110 s" >&2; exit 2; }
wait "$case_pid"
code=$?
case_pid=
case $code in 0|1) exit $code;; *) exit 2;; esac
