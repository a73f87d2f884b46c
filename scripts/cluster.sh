# Functions that start and stop a small cluster on loopback; to be sourced. Needs BUILD (build directory) and RUN
# (directory for settings, tickets and logs).
#
# The cluster of startAll: three daemons in two failure domains, the platform's stand-in (a test double), and six servers
# of one service.

PIDS=()
BASE_PORT=${BASE_PORT:-18000}
TOKEN=demo-token

startProcess()
{
    local name=$1
    shift
    "$@" >"$RUN/$name.out" 2>"$RUN/$name.log" &
    PIDS+=($!)
    eval "PID_$name=$!"
}

writeSettings()
{
    local id=$1 domain=$2 n=$3
    sed -e "s/@ID@/$id/" -e "s/@DOMAIN@/$domain/" -e "s/@CALLERS@/127.0.0.1:$((BASE_PORT + 100 + n))/" \
        -e "s/@ADMIN@/127.0.0.1:$((BASE_PORT + 200 + n))/" -e "s/@RPC@/127.0.0.1:$((BASE_PORT + 300 + n))/" \
        -e "s/@PLATFORM@/127.0.0.1:$BASE_PORT/" -e "s/@TOKEN@/$TOKEN/" config/demo.ini.in >"$RUN/$id.ini"
}

instanceOption()
{
    local id=$1 domain=$2 n=$3
    echo "$id,$domain,127.0.0.1:$((BASE_PORT + 100 + n)),127.0.0.1:$((BASE_PORT + 200 + n)),127.0.0.1:$((BASE_PORT + 300 + n))"
}

startPlatform()
{
    startProcess platform "$BUILD/standin_platform" --listen "127.0.0.1:$BASE_PORT" \
        --instance "$(instanceOption e1 north 1)" --instance "$(instanceOption e2 north 2)" \
        --instance "$(instanceOption e3 south 3)"
}

startServer()
{
    local n=$1
    startProcess "server$n" "$BUILD/standin_server" --listen "127.0.0.1:$((BASE_PORT + 400 + n))" --name "s$n" --slots 2 \
        --service-time-us "${SERVICE_TIME_US:-500}"
}

startDaemon()
{
    startProcess "$1" "$BUILD/acaciagauged" --settings "$RUN/$1.ini"
}

writeTicket()
{
    local number=$1 path=$2 leaving=${3:-}
    {
        printf '{"number": %s, "services": {"lots": {"partitions": 64, "churnWeight": 0.3, "servers": [\n' "$number"
        for n in 1 2 3 4 5 6; do
            local domain=north gone=false
            [ "$n" -gt 3 ] && domain=south
            [ "s$n" = "$leaving" ] && gone=true
            printf '  {"id": "s%s", "domain": "%s", "address": "127.0.0.1:%s", "slots": 2, "leaving": %s}' \
                "$n" "$domain" "$((BASE_PORT + 400 + n))" "$gone"
            [ "$n" -lt 6 ] && printf ','
            printf '\n'
        done
        printf ']}}}\n'
    } >"$path"
}

startAll()
{
    mkdir -p "$RUN"
    writeSettings e1 north 1
    writeSettings e2 north 2
    writeSettings e3 south 3
    startPlatform
    for n in 1 2 3 4 5 6; do startServer "$n"; done
    for id in e1 e2 e3; do startDaemon "$id"; done
}

ctl()
{
    "$BUILD/acaciagaugectl" --admin "127.0.0.1:$((BASE_PORT + 201))" --token "$TOKEN" "$@"
}

# Waits until daemon e1 answers requests for eight keys successfully, which means that their partitions have owners.
waitServing()
{
    for _ in $(seq 100); do
        local free=0
        for key in a b c d e f g h; do
            curl -s -f -o /dev/null -H 'X-Deadline-Ms: 500' "http://127.0.0.1:$((BASE_PORT + 101))/lots/$key" || free=1
        done
        [ "$free" = 0 ] && return 0
        sleep 0.1
    done
    echo "timed out: the cluster does not answer all requests; see the logs in $RUN" >&2
    return 1
}

stopAll()
{
    for pid in "${PIDS[@]}"; do kill -CONT "$pid" 2>/dev/null; kill "$pid" 2>/dev/null; done
    wait 2>/dev/null
    PIDS=()
}
