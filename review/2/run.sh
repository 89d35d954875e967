#!/usr/bin/env bash
# Shows that a server gets requests later than drain_ms after its entry was removed, if the daemon that
# acts as the steward was cut off from the store shortly before. TROUBLE=0 leaves the partition out.
# Exit code: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
set -u
here=$(cd "$(dirname "$0")" && pwd)
top=$(cd "$here/../.." && pwd)
[ -x "$top/target/corianderhub" ] && [ -x "$top/target/review/standin" ] || { echo "build first" >&2; exit 2; }
dir=$(mktemp -d) || exit 2
trap 'rm -rf "$dir"' EXIT
timeout -k 5 110 "$top/target/review/standin" leaving "$top/target/corianderhub" "$dir" "$here/record.txt"
code=$?
cat "$here/record.txt"
case $code in 0 | 1) exit $code ;; esac
exit 2
