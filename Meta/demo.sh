#!/usr/bin/env bash
# From a fresh machine to the main job: installs, builds, and for each of the two deployments starts the stand-ins and
# nine daemons in three availability zones, submits its questionnaires, makes bookings, revises one service, drains a
# target under load, prints what is in force, and stops every process that it started.
set -euo pipefail
cd "$(dirname "$0")/.."
bash Meta/install.sh
[ -n "${MERLINPIER_NO_BUILD:-}" ] || bash Meta/build.sh build | tail -1

bin="$PWD/build/bin"
folder=$(mktemp -d)
pids=()
declare -A targetPid targetAddress

stopAll() {
    for pid in "${pids[@]}"; do kill -TERM "$pid" 2>/dev/null || true; done
    for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null || true; done
    pids=()
}
trap 'stopAll; rm -rf "$folder"' EXIT

start() { # log name, program, arguments...
    local log="$folder/$1.log"
    : >"$log"
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
 "platform": "$platform", "seeds": ["$network.1:7000", "$network.2:7000", "$network.3:7000"], "distribution": "$distribution", "drain_timeout_ms": 5000, "log_level": "warning"}
JSON
    start "vm-$1" merlinpier-daemon --settings "$folder/vm-$1.json"
}

startTarget() { # VM, service, licence, port
    start "$3" merlinpier-target --daemon "$(http "$1")" --id "$3" --service "$2" --licence "$3" \
        --listen "$network.$(($1 + 1)):$4" --work-ms 3
    targetPid[$3]=${pids[-1]}
    targetAddress[$3]="$network.$(($1 + 1)):$4"
}

cli() { "$bin/merlinpier" --daemon "$(http 0)" "$@"; }
service() { python3 -c 'import json,sys; print(json.load(open(sys.argv[1]))["service"])' "$1"; }
licences() { python3 -c 'import json,sys; print(*json.load(open(sys.argv[1]))["licences"])' "$1"; }

load() { # seconds, file of answers; the targets' ledgers are compared with what callers were told
    local ledgers=()
    for licence in $(licences "$2"); do ledgers+=(--ledger "${targetAddress[$licence]}"); done
    "$bin/merlinpier-load" --daemon "$(http 0)" --daemon "$(http 4)" --daemon "$(http 8)" --rate 100 --seconds "$1" \
        --mix "$2" --json "${ledgers[@]}" "${@:3}"
}

summary() { # name, JSON result of a load
    python3 - "$1" "$2" <<'PY'
import json, sys
figures = json.loads(sys.argv[2].strip().splitlines()[-1])
keys = ("calls", "answered", "not_run", "unknown", "cut", "wrong_answer", "doubled", "false_not_run")
print(f"{sys.argv[1]}:", ", ".join(f"{key} {figures[key]}" for key in keys if key in figures))
PY
}

runDeployment() { # folder of answers, distribution, files in the order of their dependencies
    local answers="examples/$1" files=("${@:3}") version=0 vm port=9000 drained revised
    distribution="$2"
    network="127.$((RANDOM % 200 + 10)).$((RANDOM % 250 + 1))"
    platform="$network.250:8000"
    targetPid=()
    targetAddress=()

    echo "==== $1 ($2): the platform and nine daemons in three availability zones"
    start "platform-$1" merlinpier-platform --listen "$platform"
    for vm in 0 1 2 3 4 5 6 7 8; do startDaemon "$vm" "zone-$((vm % 3))"; done

    echo "== questionnaires"
    for file in "${files[@]}"; do
        cli submit "$answers/$file.json"
        version=$((version + 1))
    done
    cli status --wait "$version"

    echo "== targets announce themselves to the daemons of their VMs"
    vm=0
    for file in "${files[@]}"; do
        for licence in $(licences "$answers/$file.json"); do
            startTarget "$((vm % 9))" "$(service "$answers/$file.json")" "$licence" "$port"
            vm=$((vm + 1))
            port=$((port + 1))
        done
    done

    echo "== bookings through three daemons"
    # The first calls of a fleet that has just started may come before its routes.
    load 1 "$answers/bookings.json" >/dev/null || true
    summary bookings "$(load 3 "$answers/bookings.json")"

    echo "== one service revised"
    revised="$folder/revised.json"
    python3 -c '
import json, sys
answers = json.load(open(sys.argv[1]))
answers["drain_time_ms"] += 1000
json.dump(answers, open(sys.argv[2], "w"))' "$answers/${files[1]}.json" "$revised"
    cli revise "$revised" --base 1
    version=$((version + 1))
    cli status --wait "$version"

    echo "== a target is drained under load"
    drained=$(licences "$answers/bookings.json" | cut -d' ' -f1)
    load 3 "$answers/bookings.json" >"$folder/drain.json" &
    local loadPid=$!
    sleep 1
    kill -TERM "${targetPid[$drained]}"
    wait "${targetPid[$drained]}" && echo "$drained drained and ended with 0"
    wait "$loadPid"
    summary "calls during the drain" "$(cat "$folder/drain.json")"

    echo "== in force"
    cli show
    cli history
    cli status
    stopAll
    results+=("$1: version $version in force, bookings made, one service revised, $drained drained")
}

results=()
runDeployment targowisko push zones slots bookings
runDeployment steadyhand announce schedules bookings jobdesk
echo "==== demo done"
printf '%s\n' "${results[@]}"
