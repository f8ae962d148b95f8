#!/usr/bin/env bash
# A worker leaves with Deregister; then all daemons are killed and start again, and a check-in of before arrives late.
routes=
source "$(dirname "$0")/../lib.sh"
routes="$(route slot-list /slots/ idempotent 1200)"
workerOptions=(--late-ms 2500)
startDeployment 6
note "operator leave $(nowMs)"
kill -USR1 "${workerPid[0]}"
for _ in $(seq 100); do grep -q "^worker i-0 leave-acked" "$record" && break; sleep 0.01; done
grep -q "^worker i-0 leave-acked" "$record" || cannotRun "the worker's leaving was not acknowledged"
if [ "$trouble" != 0 ]; then
    # All at once, 0.3 s after the acknowledgement; the platform starts them again a second later.
    sleep 0.3
    note "operator SIGKILL $(nowMs)"
    kill -KILL "${daemonPid[@]}"
    wait "${daemonPid[@]}" 2>/dev/null
    sleep 1
    note "operator start $(nowMs)"
    for vm in 0 1 2; do
        sed -i 's/"first_start": true/"first_start": false/' "$folder/vm-$vm.json"
        startDaemon "$vm" &
        pids+=($!)
    done
else
    sleep 1.3
fi
callers=()
for vm in 1 2; do
    target/review/caller --to "$(outbound "$vm")" --host "$host" --path /slots/ --interval-ms 12 --seconds 12 --work 100 \
        --deadline 1200 --prefix "list-$vm-" --record "$record" &
    callers+=($!)
done
pids+=("${callers[@]}")
wait "${callers[@]}"
# DRAIN: a request reaches the worker later than drain_ms after the acknowledgement, taken and sent on by machines in touch:
# they have run for stable_window_ms, and half a second more for their start.
awk '
    $1 == "worker" && $3 == "leave-acked" { acked = $4 }
    $1 == "worker" && $3 == "check-in" && $5 == "arrived" { late = $6 }
    $1 == "operator" && $2 == "start" { started = $3 }
    $1 == "client" && $3 == "sent" { ++all; sent[$2] = $4 }
    $1 == "client" && $3 == "answered" && $5 == 200 { ++good }
    $1 == "worker" && $3 == "start" && $4 ~ /^list-/ { if ($2 == "i-0") at[$4] = $5; else ++others }
    END {
        from = acked + 2000
        if (started && started + 3500 > from) from = started + 3500
        for (id in at) {
            ++reached
            if (sent[id] > from && at[id] > from) { ++broken; if (!last || at[id] > last) last = at[id] }
        }
        printf "verdict: %d requests, %d good; late check-in %d ms after the acknowledgement; %d requests reached the worker that had left, %d of them too late from machines in touch (rule DRAIN), the last %d ms after the acknowledgement\n", \
            all, good, late - acked, reached, broken, last ? last - acked : 0
        if (all < 100 || good < 50 || !late) exit 2
        exit broken > 0 ? 1 : 0
    }' "$record" >"$folder/verdict"
code=$?
tee -a "$record" <"$folder/verdict"
exit $code
