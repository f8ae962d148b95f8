#!/usr/bin/env bash
# From a fresh machine to the main job: installs, builds, starts the stand-ins and three availability zones, submits the
# questionnaires of both deployments, makes bookings, revises one service, drains a target, prints what is in force, and
# stops every process that it started.
set -euo pipefail
cd "$(dirname "$0")/.."
bash Meta/install.sh
bash Meta/build.sh build | tail -1

bin="$PWD/build/bin"
folder=$(mktemp -d)
network="127.$((RANDOM % 200 + 10)).$((RANDOM % 250 + 1))"
platform="$network.250:8000"
pids=()
declare -A targetPid

stopAll() {
    for pid in "${pids[@]}"; do kill -TERM "$pid" 2>/dev/null || true; done
    for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null || true; done
    rm -rf "$folder"
}
trap stopAll EXIT

start() { # log name, program, arguments...
    local log="$folder/$1.log"
    "$bin/$2" "${@:3}" >"$log" 2>&1 &
    pids+=($!)
    until grep -q '^listening ' "$log"; do
        kill -0 "${pids[-1]}" 2>/dev/null || { cat "$log" >&2; exit 1; }
        sleep 0.02
    done
}

http() { echo "$network.$(($1 + 1)):8000"; }

startDaemon() { # VM, zone
    cat >"$folder/vm-$1.json" <<JSON
{"vm": "vm-$1", "zone": "$2", "peer_address": "$network.$(($1 + 1)):7000", "http_address": "$(http "$1")",
 "platform": "$platform", "seeds": ["$network.1:7000", "$network.2:7000", "$network.3:7000"], "log_level": "warning"}
JSON
    start "vm-$1" merlinpier-daemon --settings "$folder/vm-$1.json"
}

startTarget() { # VM, service, licence, port
    start "$3" merlinpier-target --daemon "$(http "$1")" --id "$3" --service "$2" --licence "$3" \
        --listen "$network.$(($1 + 1)):$4" --work-ms 3
    targetPid[$3]=${pids[-1]}
}

cli() { "$bin/merlinpier" --daemon "$(http 0)" "$@"; }
licences() { python3 -c 'import json,sys; print(*json.load(open(sys.argv[1]))["licences"])' "$1"; }

echo "== the platform and nine daemons in three availability zones"
start platform merlinpier-platform --listen "$platform"
zones=(zone-a zone-b zone-c)
for vm in 0 1 2 3 4 5 6 7 8; do startDaemon "$vm" "${zones[$((vm % 3))]}"; done

echo "== questionnaires of both deployments"
version=0
for file in examples/targowisko/{zones,slots,bookings}.json examples/steadyhand/{schedules,bookings,jobdesk}.json; do
    cli submit "$file"
    version=$((version + 1))
done
cli status --wait "$version"

echo "== targets announce themselves to the daemons of their VMs"
vm=0
port=9000
for file in examples/targowisko/*.json examples/steadyhand/*.json; do
    service=$(python3 -c 'import json,sys; print(json.load(open(sys.argv[1]))["service"])' "$file")
    for licence in $(licences "$file"); do
        startTarget "$((vm % 9))" "$service" "$licence" "$port"
        vm=$((vm + 1))
        port=$((port + 1))
    done
done

echo "== bookings through every daemon"
"$bin/merlinpier-load" --daemon "$(http 0)" --daemon "$(http 4)" --daemon "$(http 8)" --rate 100 --seconds 3 \
    --mix examples/targowisko/bookings.json $(for id in "${!targetPid[@]}"; do :; done)

echo "== one service revised"
python3 - "$folder/revised.json" <<'PY'
import json, sys
answers = json.load(open("examples/targowisko/slots.json"))
answers["drain_time_ms"] = answers["drain_time_ms"] + 1000
json.dump(answers, open(sys.argv[1], "w"))
PY
cli revise "$folder/revised.json"
version=$((version + 1))
cli status --wait "$version"

echo "== a target is drained under load"
drained=$(licences examples/targowisko/bookings.json | cut -d' ' -f1)
"$bin/merlinpier-load" --daemon "$(http 0)" --daemon "$(http 4)" --rate 100 --seconds 3 \
    --mix examples/targowisko/bookings.json >"$folder/drain.txt" 2>&1 &
load=$!
sleep 1
kill -TERM "${targetPid[$drained]}"
wait "${targetPid[$drained]}" && echo "$drained drained and ended"
wait "$load"
tail -1 "$folder/drain.txt"

echo "== in force"
cli show
cli history
cli status
echo "demo done: version $version in force, bookings made, $drained drained"
