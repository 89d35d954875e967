#!/usr/bin/env bash
# Starts an emulated platform and three daemons as separate processes on
# loopback, with logs in DIR, and leaves them running until this script is told
# to stop. With a command after DIR it runs that against them and stops.
set -euo pipefail
dir=$1
shift
subnet=${CORIANDERHUB_SUBNET:-9}
mkdir -p "$dir/bin"
rm -f "$dir"/daemon-*.json
go build -o "$dir/bin/" ./cmd/corianderhub ./cmd/emulator ./cmd/platform-demo

# shellcheck source=scripts/processes.sh
source "$(dirname "$0")/processes.sh"

"$dir/bin/emulator" --dir "$dir" --subnet "$subnet" >"$dir/emulator.log" 2>&1 &
pids+=($!)
for _ in $(seq 100); do
  [ -s "$dir/daemon-3.json" ] && break
  sleep 0.05
done
for i in 1 2 3; do
  CORIANDERHUB_SETTINGS=$dir/daemon-$i.json "$dir/bin/corianderhub" front >"$dir/daemon-$i.log" 2>&1 &
  pids+=($!)
done

if [ $# -gt 0 ]; then
  "$@"
  exit
fi
cat <<TEXT
Three daemons run before an emulated platform. Logs are in $dir. Try:
  curl 'http://127.0.$subnet.1:18083/-/resolve?name=models.example&zone=hall-a'
  curl -X POST -H 'Host: models.example' -H 'Authorization: Token key-nursery' -H 'X-Request-Id: one' http://127.0.$subnet.1:18080/slot/x
  curl -N -X POST -H 'Host: models.example' -H 'Authorization: Token key-nursery' -H 'X-Request-Id: two' \\
       -H 'X-Model: large' -H 'X-Token-Counts: 100,140' http://127.0.$subnet.1:18080/draft/x
  curl http://127.0.$subnet.1:9464/metrics
Stop them with Ctrl-C.
TEXT
wait
