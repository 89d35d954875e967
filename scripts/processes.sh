# Sourced by scripts that start processes: ends those in pids, and no others, when
# the script ends.
pids=()
stop() {
  kill -TERM "${pids[@]}" 2>/dev/null || true
  wait 2>/dev/null || true
}
trap stop EXIT
trap 'exit 0' INT TERM
