#!/usr/bin/env bash
# Mutation testing: applies each mutant to a scratch copy of the sources; its test has to fail.
set -u
cd "$(dirname "$0")/.."
SCRATCH=$(mktemp -d)
trap 'rm -rf "$SCRATCH"' EXIT
git ls-files -co --exclude-standard | xargs -I{} cp --parents {} "$SCRATCH"
cmake -S "$SCRATCH" -B "$SCRATCH/build" >/dev/null || exit 1
make -C "$SCRATCH/build" -j"$(nproc)" test_homes test_key_ownership test_ownership test_rate_permits test_requests \
    test_server_directory test_store_freshness test_store_sources test_tickets >/dev/null 2>&1 || exit 1
status=0
count=0

# mutant NAME TEST FILE SED_SCRIPT [CASES]: changes FILE with SED_SCRIPT and runs TEST with CASES random cases.
mutant()
{
    local name=$1 test=$2 file=$3 script=$4 cases=${5:-600}
    cp "$SCRATCH/$file" "$SCRATCH/original"
    sed -i "$script" "$SCRATCH/$file"
    if cmp -s "$SCRATCH/original" "$SCRATCH/$file"; then
        echo "NOT APPLIED  $name"
        status=1
    elif ! make -C "$SCRATCH/build" "$test" >"$SCRATCH/log" 2>&1; then
        echo "NOT BUILT    $name"
        status=1
    elif RC_PARAMS="seed=7 max_success=$cases noshrink=1" "$SCRATCH/build/tests/$test" >"$SCRATCH/log" 2>&1; then
        echo "SURVIVED     $name"
        status=1
    else
        echo "caught       $name ($test)"
    fi
    count=$((count + 1))
    cp "$SCRATCH/original" "$SCRATCH/$file"
}

table=src/core/ownership/grant_table.cpp
mutant "skip the fence check" test_ownership $table 's/order.fence < highest/false/; s/order.epoch < m_highestEpoch/false/'
mutant "start a grant's duration at its arrival" test_ownership $table 's/TimePoint(Duration(order.stamp.ticks)) + order.duration/now + order.duration/'
mutant "revive expired grants" test_ownership $table 's/^    dropExpired(now);$/    static_cast<void>(0);/'
mutant "skip the other renewers' confirmation that they stopped" test_ownership src/core/ownership/agent_servers.cpp 's/            return std::nullopt;/            continue;/'
mutant "skip the members' agreement while the store is unavailable" test_ownership src/core/ownership/agent_reconcile.cpp 's/        if (!m_agreed.contains(it))$/        if (m_agreed.contains(it))/'
mutant "renew without authority" test_ownership src/core/ownership/agent.cpp 's/    return now < newest + .*/    return now != TimePoint::max() || newest == oldest;/'
mutant "retry an unknown outcome" test_requests src/core/routing/retry.cpp 's/attempt.idempotent \&\& budget.take()/budget.take()/'
mutant "accept a truncated response" test_requests src/net/http_client.cpp '/body_limit(m_options.bodyLimit)/,/co_return ec;/s/if (ec)$/if (ec = parser.is_header_done() ? beast::error_code() : ec; ec)/'
mutant "accept an outdated ticket" test_tickets src/core/tickets/ticket.cpp 's/candidate.number <= current.number/candidate.number == current.number/'
mutant "accept a ticket number twice" test_tickets src/core/tickets/ticket.cpp 's/ticket.number <= current.number)/ticket.number < current.number)/'
homes=src/core/assignment/home_assigner.cpp
mutant "hand over a partition before its domain is settled" test_homes $homes 's/isConfirmed \&\& state.isSettled/isConfirmed/' 20000
mutant "hand over a partition without confirming the epoch" test_homes $homes 's/bool isConfirmed = .*/bool isConfirmed = known != nullptr;/' 20000
mutant "count a partition that is being handed over as own" test_homes $homes 's/\&\& !isTransferred/\&\& (!isTransferred || isTransferred)/' 20000
keys=src/core/ownership/key_assigner.cpp
mutant "grant before the owner is recorded" test_key_ownership $keys 's/bool isRecorded = .*/bool isRecorded = true;/'
mutant "wait for half of a grant's duration" test_key_ownership $keys 's/withMargin(duration, m_options.clockMargin)/duration \/ 2/'
mutant "forget an order without a response" test_key_ownership $keys 's/range.hasUnresolvedGrant = true;/range.hasUnresolvedGrant = false;/'
mutant "renew under the old fence" test_key_ownership $keys '/outdates every late order/{n;s/assignNewFence(range);/static_cast<void>(0);/}'
mutant "take over without the former controller's grants" test_key_ownership $keys 's/assigner.extendHeldUntil(range, .*/static_cast<void>(0);/'
mutant "leave a rate limit out of a server's capacity" test_key_ownership $keys 's/if (limit != m_rateLimits.end() .*/if (limit == m_rateLimits.end() \&\& serviceTime < 0)/'
mutant "save up all unused permits" test_rate_permits src/core/admission/rate_permits.cpp 's/auto due = std::max(nextDue, now - burst);/auto due = nextDue - 0 * burst;/'
mutant "follow an instance that follows this one" test_store_sources src/core/relay/store_sources.cpp 's/return sourceOfPeer != m_self \&\& /return /'
mutant "wait for a peer whatever the mirror's age" test_store_freshness src/core/relay/store_freshness.cpp 's/return waitWithin(freshFor(now));/return m_options.maxWait;/'
mutant "believe the entry of a server that says it is leaving" test_server_directory src/core/membership/server_directory.cpp 's/entry.draining || server.hasSaidLeaving ?/entry.draining ?/'
echo "$count mutants"
exit $status
