#!/usr/bin/env bash
# Shows the whole path on loopback: a ticket, owners, answered requests, a lost server, a graceful shutdown.
set -u
cd "$(dirname "$0")/.."
BUILD=${BUILD:-build}
RUN=$(mktemp -d)
. scripts/cluster.sh
trap stopAll EXIT

say() { printf '\n# %s\n' "$*"; }

say "Start the platform's stand-in, six servers and three daemons in two failure domains."
startAll
sleep 1.5
say "File ticket 1: it creates the service \"lots\" with its six servers."
writeTicket 1 "$RUN/ticket1.json"
ctl ticket file "$RUN/ticket1.json" || exit 1
waitServing || exit 1
say "What is in force, domain by domain, and what each server owns."
ctl status
ctl servers
say "Ask daemon e1 for keys; some owners are in the other domain. Each answer names its server."
for key in block-17 block-18 block-19 block-20; do
    curl -s "http://127.0.0.1:$((BASE_PORT + 101))/lots/$key"
    echo
done
ctl owner lots block-17
say "File ticket 2: server s2 is leaving. Its keys move; nobody needs to remember what came before."
writeTicket 2 "$RUN/ticket2.json" s2
ctl ticket file "$RUN/ticket2.json" || exit 1
sleep 1
ctl servers
ctl ticket diff 2
say "Kill server s5. Its keys are served by others at once."
kill -KILL "$PID_server5"
sleep 1
waitServing || exit 1
ctl servers
say "Stop daemon e2 with SIGTERM: it hands over, finishes what is in flight and exits with code 0."
kill -TERM "$PID_e2"
wait "$PID_e2"
code=$?
echo "exit code of e2: $code"
tail -n 2 "$RUN/e2.log"
waitServing || exit 1
say "Spans of one request, hop by hop (OTLP/JSON, shortened)."
curl -s "http://127.0.0.1:$((BASE_PORT + 201))/traces" | head -c 400
echo
say "Done. Everything is stopped now; logs are in $RUN."
exit "$code"
