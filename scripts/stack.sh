#!/usr/bin/env bash
# Starts test doubles and three daemons as separate processes on loopback, in DIR,
# and leaves them running until this script is told to stop. With a command
# after DIR it runs that against the stack and stops.
set -euo pipefail
dir=$1
shift
bin=$dir/bin
base=${CORIANDERHUB_PORT:-7000}
mkdir -p "$bin"
go build -o "$bin/" ./cmd/...

# shellcheck source=scripts/processes.sh
source "$(dirname "$0")/processes.sh"

port() { echo $((base + $1)); }
start() {
  local name=$1
  shift
  "$@" >"$dir/$name.log" 2>&1 &
  pids+=($!)
  echo "$!" >"$dir/$name.pid"
}

vms=()
for i in 1 2 3 4 5 6; do
  vms+=(--vm "vm-$i,127.0.0.1:$(port $((20 + i))),gent,domain-a")
done
start platform "$bin/standin" platform --listen "127.0.0.1:$(port 10)" "${vms[@]}"
for i in 1 2 3 4 5 6; do
  start "vm-$i" "$bin/standin" engine --vm "vm-$i" --listen "127.0.0.1:$(port $((20 + i)))" --platform "127.0.0.1:$(port 10)"
done
start orders "$bin/standin" service --listen "127.0.0.1:$(port 30)"

rm -rf "$dir/keys"
digest=$("$bin/corianderhub" keys "$dir/keys" | sed -n 's/token-sha256 = "\(.*\)"/\1/p')
secret=$("$bin/corianderhub" keys --secret)
sed -n 's/^key = "\(.*\)"/\1/p' <<<"$secret" >"$dir/keys/workspace"
workspace_digest=$(sed -n 's/key-sha256 = "\(.*\)"/\1/p' <<<"$secret")

for i in 1 2 3; do
  cat >"$dir/daemon-$i.toml" <<TOML
name = "gent-$i"
data-center = "gent"
region = "flanders"
platform = "127.0.0.1:$(port 10)"
seeds = ["127.0.0.1:$(port 13)", "127.0.0.1:$(port 16)", "127.0.0.1:$(port 19)"]
[listen]
caller = "127.0.0.1:$(port "$i")"
operator = "127.0.0.1:$(port $((3 + i)))"
peer = "127.0.0.1:$(port $((10 + 3 * i)))"
metrics = "127.0.0.1:$(port $((6 + i)))"
[tls]
ca = "$dir/keys/ca.pem"
cert = "$dir/keys/daemon.pem"
key = "$dir/keys/daemon-key.pem"
[operator]
token-sha256 = "$digest"
[timing]
entries = "2s"
TOML
  start "daemon-$i" "$bin/corianderhub" serve "$dir/daemon-$i.toml"
done

cat >"$dir/intent.toml" <<TOML
[policy]
downtime-weight = 4.0
stranded-weight = 1.0

[[model]]
name = "linden"
version = "1"
vms = 2
load-time = "500ms"
checks-fencing = true
capacity-tokens = 100000

[[group]]
name = "linden-gent"
model = "linden"
data-center = "gent"
replicas = 2

[[workspace]]
name = "nursery"
share = 1
key-sha256 = "$workspace_digest"

[[endpoint]]
name = "orders"
route = "/orders/"
addresses = ["127.0.0.1:$(port 30)"]
not-repeatable = ["POST /orders/confirm"]
TOML

export CORIANDERHUB_ADDRESS=127.0.0.1:$(port 4)
export CORIANDERHUB_TOKEN_FILE=$dir/keys/token
for _ in $(seq 100); do
  if "$bin/corianderhub" apply "$dir/intent.toml" >"$dir/apply.log" 2>&1; then break; fi
  sleep 0.1
done
cat "$dir/apply.log"

if [ $# -gt 0 ]; then
  "$@"
  exit
fi
cat <<TEXT

Three daemons serve callers at 127.0.0.1:$(port 1), :$(port 2) and :$(port 3). Try, in another shell:

  curl -s 127.0.0.1:$(port 1)/v1/entries
  curl -sN 127.0.0.1:$(port 1)/v1/chat/completions -H "Authorization: Bearer \$(cat $dir/keys/workspace)" \\
    -d '{"model":"linden","stream":true,"messages":[{"role":"user","content":"A substitute for a linden?"}]}'
  CORIANDERHUB_ADDRESS=$CORIANDERHUB_ADDRESS CORIANDERHUB_TOKEN_FILE=$CORIANDERHUB_TOKEN_FILE $bin/corianderhub status

Logs and process identifiers are in $dir. Stop with Ctrl-C.
TEXT
wait
