#!/usr/bin/env bash
# Demonstrates the system on loopback: filing a ticket, ownership, requests, a server failure, a graceful shutdown.
set -u
cd "$(dirname "$0")/.."
BUILD=${BUILD:-build}
RUN=$(mktemp -d)
. scripts/cluster.sh
trap stopAll EXIT

say() { printf '\n# %s\n' "$*"; }

say "Start the platform's stand-in (a test double), six servers and three daemons in two failure domains."
startAll
sleep 1.5
say "File ticket 1: it creates the service \"lots\" with its six servers."
writeTicket 1 "$RUN/ticket1.json"
ctl ticket file "$RUN/ticket1.json" || exit 1
waitServing || exit 1
say "Show the ticket in force in each domain, and how many items each server owns."
ctl status
ctl servers
say "Send requests to daemon e1; some owners are in the other domain. Each response names its server."
for key in block-17 block-18 block-19 block-20; do
    curl -s "http://127.0.0.1:$((BASE_PORT + 101))/lots/$key"
    echo
done
ctl owner lots block-17
say "File ticket 2: server s2 is leaving. Its keys move to other servers; the diff shows what the ticket changes."
writeTicket 2 "$RUN/ticket2.json" s2
ctl ticket file "$RUN/ticket2.json" || exit 1
sleep 1
ctl servers
ctl ticket diff 2
say "Kill server s5. Other servers take over its keys."
kill -KILL "$PID_server5"
sleep 1
waitServing || exit 1
ctl servers
say "Stop daemon e2 with SIGTERM: it hands over its role, completes requests in flight and exits with code 0."
kill -TERM "$PID_e2"
wait "$PID_e2"
code=$?
echo "exit code of e2: $code"
tail -n 2 "$RUN/e2.log"
waitServing || exit 1
say "Show trace spans of requests (OTLP/JSON, truncated)."
curl -s "http://127.0.0.1:$((BASE_PORT + 201))/traces" | head -c 400
echo
say "Done. All processes are stopped now; logs are in $RUN."
exit "$code"
