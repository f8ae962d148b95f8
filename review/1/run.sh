#!/usr/bin/env bash
# A daemon gets SIGTERM while a client keeps a connection on which it sends each request before the last is answered.
routes=
source "$(dirname "$0")/../lib.sh"
routes="$(route slot-list /slots/ idempotent 1200)"
startDeployment 6
target/review/pipeliner --to "$(outbound 0)" --ready "$(readiness 0)" --host "$host" --path /slots/ --count 300 --interval-ms 40 \
    --work 150 --deadline 1200 --prefix list- --record "$record" &
client=$!
pids+=("$client")
sleep 4
if [ "$trouble" != 0 ]; then
    note "operator SIGTERM $(nowMs)"
    kill -TERM "${daemonPid[0]}"
fi
wait "$client"
# LOST: passed on to a worker, and the connection ends without a complete answer, up to 1 s after grace_s.
awk '
    $1 == "operator" { stopped = $3 }
    $1 == "worker" && $3 == "start" { ran[$4] = 1 }
    $1 == "worker" && ($3 == "end" || $3 == "dropped") { ended[$4] = $5 }
    $1 == "client" && $3 == "sent" { sent[$2] = $4; ++all }
    $1 == "client" && $3 == "answered" { ++answered; wrong += / FOREIGN/ }
    $1 == "client" && $3 == "expired" { ++expired }
    $1 == "client" && $3 == "cut" { cut[$2] = $4 }
    END {
        for (id in cut) {
            inTime = cut[id] - sent[id] < 1200 && (!stopped || cut[id] <= stopped + 7000)
            atWork = stopped && (!(id in ended) || ended[id] >= stopped + 5000) && sent[id] <= stopped + 3000
            lost += ran[id] && inTime && !atWork
        }
        printf "verdict: %d requests, %d answered, %d cut, %d of them passed on to a worker and lost (rule LOST), %d expired, %d foreign\n", \
            all, answered, length(cut), lost, expired, wrong
        if (all < 50) exit 2
        exit (lost > 0 || wrong > 0) ? 1 : 0
    }' "$record" >"$folder/verdict"
code=$?
tee -a "$record" <"$folder/verdict"
exit $code
