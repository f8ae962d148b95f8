# Shared by the scripts: a small deployment of three machines in three zones, one worker each, as on the users' pages.
# A script sets "routes" (JSON) before startDeployment. Everything listens on loopback addresses drawn at random.
set -u
here="$(cd "$(dirname "${BASH_SOURCE[1]}")" && pwd)"
cd "$here/../.."
trouble="${TROUBLE:-1}"
record="$here/record.txt"
: >"$record"
folder=$(mktemp -d)
pids=()
declare -A daemonPid workerPid
workerOptions=()
network="127.$((RANDOM % 200 + 20)).$((RANDOM % 250 + 1))"
port=$((RANDOM % 10000 + 20000))
store="$network.200:$port"
host=requests.example
zones=(wlkp-a wlkp-b wlkp-c)

finish() {
    [ -n "${KEEP_LOGS:-}" ] && cp -r "$folder" "$KEEP_LOGS"
    for pid in "${pids[@]}"; do kill -KILL "$pid" 2>/dev/null; done
    for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null; done
    rm -rf "$folder"
}
trap finish EXIT
trap 'exit 2' INT TERM

cannotRun() { echo "the case cannot run: $*" | tee -a "$record"; exit 2; }
nowMs() { date +%s%3N; }
note() { echo "$*" >>"$record"; }

for program in bin/merlinpier-sidecar review/store review/worker review/relay review/pipeliner review/downloader \
    review/crowd review/caller; do
    [ -x "target/$program" ] || cannotRun "target/$program is missing: run the build line of deploy/system.toml and review/build.sh"
done

address() { echo "$network.$((10 * ($1 + 1)))"; }
outbound() { echo "$(address "$1"):$((port + 4))"; }
readiness() { echo "$(address "$1"):$((port + 2))"; }

startListening() { # log name, program, arguments...
    local log="$folder/$1.log"
    "target/review/$2" "${@:3}" >"$log" 2>&1 &
    pids+=($!)
    for _ in $(seq 100); do
        grep -q '^listening ' "$log" 2>/dev/null && return
        sleep 0.05
    done
    cannotRun "$1 does not listen: $(cat "$log")"
}

writeSettings() { # VM
    local ip; ip=$(address "$1")
    cat >"$folder/vm-$1.json" <<JSON
{"node": "sidecar-${zones[$1]}-1", "role": "daemon", "machine_class": "sidecar", "serves": ["sidecar"], "ip": "$ip",
 "zone": "${zones[$1]}", "region": "wlkp", "zones": {"wlkp-a": "wlkp", "wlkp-b": "wlkp", "wlkp-c": "wlkp"},
 "listen": {"inbound": "$ip:$port", "outbound": "$ip:$((port + 4))", "ready_address": "$ip:$((port + 2))", "control": "$ip:$((port + 6))"},
 "port_range": [$((port + 20)), $((port + 35))], "seeds": [], "first_start": true, "loss_counted": false,
 "limits": {"cpu_share": 0.2, "cores": 1, "memory_mb": 260, "max_fds": 4100, "link_mbps": 1000.0, "disk_mb": 0},
 "data_dir": null, "discovery": "static", "entry": "static", "beat_interval_ms": 1500,
 "contracts": ["base", "drain", "config", "cost", "retry", "recover", "platform"],
 "fault_tolerance": {"machines": 2, "zones": 1, "regions": 0},
 "bounds": ["seed_lag_s=3", "reuse_after_s=2", "stable_window_ms=3000", "ack_ms=4000", "catch_up_s=4", "drain_ms=2000",
  "grace_s=6", "loss_slack_ms=200", "config_apply_ms=2000", "rollback_slack_ms=250", "max_stretch_ms=5000",
  "retry_budget_ratio=0.2", "budget_window_s=10", "budget_min_retries=56", "recover_s=15"],
 "app_addr": "$ip:$((port + 1))", "service": "slots",
 "platform": {"address": "$store", "form": "objects", "writes_per_s": 400, "reads_per_s": 2000, "history_s": 20,
  "value_bytes": 1048576, "ttl_min_ms": 1000}}
JSON
}

startDaemon() { # VM; with the command of the deploy file
    local run; run=$(sed -n 's/^run = "\(.*\)"$/\1/p' deploy/system.toml)
    # shellcheck disable=SC2086
    ulimit -n "${descriptors:-4100}"
    exec env -i PATH="$PATH" HOME=/tmp LANG=C MERLINPIER_CONFIG="$folder/vm-$1.json" $run >"$folder/vm-$1.log" 2>&1
}

startDeployment() { # slots of a worker, connections that a worker takes
    cat >"$folder/config.json" <<JSON
{"version": "0000000c", "routes": [$routes],
 "services": [{"name": "slots", "health_path": "/health", "max_connections": ${2:-110}}],
 "limits": {"max_header_bytes": 16384, "max_body_bytes": 1048576, "header_timeout_ms": 5000, "idle_timeout_ms": ${idleTimeoutMs:-20000}}}
JSON
    startListening store store --listen "$store" --config "$folder/config.json"
    local vm
    for vm in 0 1 2; do
        writeSettings "$vm"
        startDaemon "$vm" &
        pids+=($!)
        daemonPid[$vm]=$!
    done
    for vm in 0 1 2; do
        startListening "worker-$vm" worker --listen "$(address "$vm"):$((port + 1))" --id "i-$vm" --service slots \
            --zone "${zones[$vm]}" --control "$(address "$vm"):$((port + 6))" --slots "${1:-6}" --record "$record" "${workerOptions[@]}"
        workerPid[$vm]=${pids[-1]}
    done
    # Every daemon is ready and answers, before the case begins.
    local tries
    for vm in 0 1 2; do
        for tries in $(seq 60); do
            [ "$tries" = 60 ] && cannotRun "the daemon of VM $vm does not serve: $(tail -3 "$folder/vm-$vm.log")"
            target/review/pipeliner --to "$(outbound "$vm")" --host "$host" --path /slots/ --count 1 --work 5 --deadline 1000 \
                --prefix "start-$vm-$tries-" --record "$folder/start.txt" >/dev/null 2>&1 \
                && grep -q "^client start-$vm-$tries-0 answered [0-9]* 200" "$folder/start.txt" && break
            sleep 0.25
        done
    done
    # A machine that has run undisturbed for stable_window_ms is in touch.
    sleep 4
}

route() { # name, path prefix, kind, timeout
    echo "{\"name\": \"$1\", \"host\": \"$host\", \"path_prefix\": \"$2\", \"service\": \"slots\", \"kind\": \"$3\", \"timeout_ms\": $4, \"target_latency_ms\": 500, \"max_attempts\": 3, \"priority\": 1}"
}
