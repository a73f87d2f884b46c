#!/usr/bin/env bash
# Measures latency, throughput and CPU time of the request path: direct to the servers, through a minimal Beast relay,
# through one daemon, and through two daemons.
set -u
cd "$(dirname "$0")/.."
BUILD=${BUILD:-build}
RUN=$(mktemp -d)
BASE_PORT=${BASE_PORT:-19000}
RATE=${RATE:-11400}
DURATION=${DURATION:-6}
. scripts/cluster.sh
trap stopAll EXIT

cpuTicks() { awk '{print $14 + $15}' "/proc/$1/stat"; }

measure()
{
    local label=$1 pid=$2
    shift 2
    local before=0 after=0
    [ "$pid" != - ] && before=$(cpuTicks "$pid")
    local result
    result=$("$BUILD/acaciagauge_load" --rate "$RATE" --seconds "$DURATION" --connections 64 "$@")
    [ "$pid" != - ] && after=$(cpuTicks "$pid")
    echo "$label $(((after - before) * 100 / (DURATION * 100)))%core $result"
}

for n in 1 2 3 4; do
    startProcess "owner$n" "$BUILD/standin_server" --listen "127.0.0.1:$((BASE_PORT + 600 + n))" --name "o$n" --slots 64 --owns-all
    startProcess "server$n" "$BUILD/standin_server" --listen "127.0.0.1:$((BASE_PORT + 400 + n))" --name "s$n" --slots 64
done
owners=()
for n in 1 2 3 4; do owners+=("127.0.0.1:$((BASE_PORT + 600 + n))"); done
startProcess relay "$BUILD/acaciagauge_relay" --listen "127.0.0.1:$((BASE_PORT + 500))" \
    --server "${owners[0]}" --server "${owners[1]}" --server "${owners[2]}" --server "${owners[3]}"
mkdir -p "$RUN"
writeSettings e1 north 1
writeSettings e2 south 2
sed -i 's/percent = 100/percent = 0/' "$RUN"/*.ini
startProcess platform "$BUILD/standin_platform" --listen "127.0.0.1:$BASE_PORT" \
    --instance "$(instanceOption e1 north 1)" --instance "$(instanceOption e2 south 2)"
startDaemon e1
startDaemon e2
{
    printf '{"number": 1, "services": {"lots": {"partitions": 256, "servers": ['
    for n in 1 2 3 4; do
        printf '{"id": "s%s", "domain": "north", "address": "127.0.0.1:%s", "slots": 64, "maxConnections": 128}' "$n" "$((BASE_PORT + 400 + n))"
        [ "$n" -lt 4 ] && printf ','
    done
    printf ']}}}'
} >"$RUN/ticket.json"
sleep 2
ctl ticket file "$RUN/ticket.json" >&2 || exit 1
waitServing || exit 1
echo "idle resident memory of acaciagauged: $(awk '/VmRSS/ {print $2, $3}' "/proc/$PID_e1/status")"
measure direct - --direct --target "${owners[0]}" --target "${owners[1]}" --target "${owners[2]}" --target "${owners[3]}"
measure relay "$PID_relay" --target "127.0.0.1:$((BASE_PORT + 500))"
measure daemon "$PID_e1" --target "127.0.0.1:$((BASE_PORT + 101))"
measure twoDaemons "$PID_e2" --target "127.0.0.1:$((BASE_PORT + 102))"
