#!/usr/bin/env bash
# Runs one case: run-case.sh FOLDER PROGRAM. Exit code: 0 the rule held, 1 it was broken, 2 it could not run.
set -u
here="$(cd "$(dirname "$0")" && pwd)"
case="$here/$1" program="$here/stand-ins/target/release/$2"
export ROOT="$(dirname "$here")" RECORD="$case/record.txt"
for needed in "$program" "$ROOT/target/release/violetgate"; do
  test -x "$needed" || { echo "not built: ${needed#"$ROOT"/}" >&2; exit 2; }
done
WORK="$(mktemp -d)" || exit 2
export WORK
# Ends what the program may have left, by its id, and removes the temporary folder.
clean() {
  if [ -f "$WORK/pids" ]; then
    while read -r pid; do
      if grep -q violetgate "/proc/$pid/cmdline" 2>/dev/null; then kill -KILL "$pid" 2>/dev/null; fi
    done <"$WORK/pids"
  fi
  rm -rf "$WORK"
}
trap clean EXIT
timeout --signal=KILL 115 "$program"
code=$?
case $code in 0 | 1) exit $code ;; *) exit 2 ;; esac
