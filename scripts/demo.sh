#!/usr/bin/env bash
# Runs the whole path on this machine: builds, starts the stand-ins and two
# routers, publishes a configuration, sends requests, shows budget and bills,
# and stops what it started. Exits 0 if every step worked. With the argument
# `load` it also sends a load of 64 callers for 10 s, first straight to the
# engines and then through the routers, and prints the report.
set -euo pipefail
cd "$(dirname "$0")/.."

cargo build --quiet --workspace --bins
bin="${CARGO_TARGET_DIR:-target}/debug"
work=$(mktemp -d)
pids=()

cleanup() {
    for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done
    wait 2>/dev/null || true
    rm -rf "$work"
}
trap cleanup EXIT

start() {
    "$@" 2>>"$work/log.jsonl" &
    pids+=($!)
}

export MAGNOLIA_LOG_ADDRESS=127.0.0.1:7400
export MAGNOLIA_LOG=warn
ctl="$bin/magnolia-ctl"

start "$bin/magnolia-standin-log" --listen 127.0.0.1:7400
for n in 1 2 3 4; do
    start "$bin/magnolia-standin-engine" --listen "127.0.0.1:751$n" \
        --vm "assistant-$n" --limit 32
done
start "$bin/magnolia-standin-engine" --listen 127.0.0.1:7520 --vm booking-1

for n in 1 2; do
    cat >"$work/router-$n.yaml" <<YAML
vm: router-$n
region: altiplano
domain: domain-$n
listen:
  callers: 127.0.0.1:710$n
  operators: 127.0.0.1:720$n
  peers: 127.0.0.1:730$n
log: {address: "127.0.0.1:7400"}
budgets: {settle_interval: 500ms}
entry_lifetime: 1s
YAML
    start "$bin/magnolia-router" --settings "$work/router-$n.yaml"
done

for _ in $(seq 50); do
    "$ctl" vms >/dev/null 2>&1 && break
    sleep 0.1
done

vms='{"set":{'
for n in 1 2; do
    vms+="\"router-$n\":{\"role\":\"entry\",\"state\":\"live\","
    vms+="\"region\":\"altiplano\",\"domain\":\"domain-$n\","
    vms+="\"address\":\"127.0.0.1:710$n\","
    vms+="\"operator_address\":\"127.0.0.1:720$n\","
    vms+="\"peer_address\":\"127.0.0.1:730$n\"},"
done
for n in 1 2 3 4; do
    vms+="\"assistant-$n\":{\"role\":\"worker\",\"state\":\"live\","
    vms+="\"region\":\"altiplano\",\"domain\":\"domain-1\","
    vms+="\"address\":\"127.0.0.1:751$n\",\"service\":\"assistant\","
    vms+="\"version\":\"v1\"},"
done
vms+='"booking-1":{"role":"worker","state":"live","region":"altiplano",'
vms+='"domain":"domain-1","address":"127.0.0.1:7520",'
vms+='"service":"booking","version":"v1"}}}'
curl -sf -X POST --data "$vms" http://127.0.0.1:7400/admin/vms >/dev/null
sleep 0.5

echo "== check, diff and apply the declaration"
"$ctl" check demo/declaration.yaml
"$ctl" diff demo/declaration.yaml | cut -c1-76
"$ctl" --who demo apply demo/declaration.yaml --why "first configuration"

echo "== pay for budgets"
"$ctl" top-up dairy/nurses 1000000 --id demo-1
"$ctl" top-up yards/planners 1000000 --id demo-2

echo "== ask for an address"
entry=$(curl -sf -H 'Authorization: Bearer demo-nurse' \
    http://127.0.0.1:7101/v1/entry)
echo "$entry"
address=$(echo "$entry" | sed 's/.*"address":"\([^"]*\)".*/\1/')

ask() {
    curl -sfN "http://$address/v1/chat/completions" \
        -H 'Authorization: Bearer demo-nurse' --data "$1"
    echo
}

echo "== a whole answer"
ask '{"model":"assistant","max_tokens":8,
    "messages":[{"role":"user","content":"order of family 12"}]}'
echo "== a stream"
ask '{"model":"assistant","max_tokens":4,"stream":true,
    "messages":[{"role":"user","content":"round of corral 3"}]}'
echo "== a booking, sent twice with one key"
for _ in 1 2; do
    curl -sf "http://$address/v1/services/booking/screens" \
        -H 'Authorization: Bearer demo-nurse' \
        -H 'Idempotency-Key: booking-77' --data '{"screens":4}'
    echo
done
echo "== a refusal"
curl -s "http://$address/v1/chat/completions" \
    -H 'Authorization: Bearer nobody' --data '{}'
echo

sleep 1.5
echo "== status"
"$ctl" status
echo "== budgets"
"$ctl" budgets
echo "== bills"
"$ctl" bills
if [ "${1:-}" = load ]; then
    echo "== load"
    "$bin/magnolia-load" --callers 64 --duration-s 10 \
        --keys demo-nurse,demo-planner \
        --routers 127.0.0.1:7101,127.0.0.1:7102 \
        --engines "$(echo 127.0.0.1:751{1,2,3,4} | tr ' ' ,)"
fi
echo "== the shared screen"
"$bin/magnolia-board" --once
echo "== leave"
"$ctl" leave router-1
"$ctl" leave router-2
# The routers are the two processes that were started last.
for pid in "${pids[@]: -2}"; do
    wait "$pid"
done
"$ctl" budgets dairy
echo "demo finished"
