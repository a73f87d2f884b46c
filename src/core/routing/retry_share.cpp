#include "acaciagauge/acaciagauge.hpp"

#include <algorithm>
#include <numeric>

namespace acaciagauge {

RetryShare::Counts& RetryShare::countsAt(const ServiceName& service, TimePoint now)
{
    auto& counts = m_counts[service];
    auto width = std::max<Duration::rep>(1, m_options.window.count() / static_cast<Duration::rep>(sliceCount));
    auto slice = now.time_since_epoch().count() / width;
    auto passed = std::min<std::int64_t>(slice - counts.slice, sliceCount);
    for (std::int64_t n = 1; n <= passed; ++n) {
        auto index = static_cast<std::size_t>((counts.slice + n) % static_cast<std::int64_t>(sliceCount));
        counts.requests[index] = 0;
        counts.retries[index] = 0;
    }
    if (passed > 0)
        counts.slice = slice;
    return counts;
}

void RetryShare::countRequest(const ServiceName& service, TimePoint now)
{
    auto& counts = countsAt(service, now);
    ++counts.requests[static_cast<std::size_t>(counts.slice) % sliceCount];
}

bool RetryShare::take(const ServiceName& service, std::size_t instances, TimePoint now)
{
    auto& counts = countsAt(service, now);
    auto requests = std::accumulate(counts.requests.begin(), counts.requests.end(), 0.0);
    auto retries = std::accumulate(counts.retries.begin(), counts.retries.end(), 0.0);
    auto allowance = m_options.allowance / static_cast<double>(std::max<std::size_t>(instances, 1));
    auto budget = m_options.safety * (m_options.ratio * requests + allowance);
    if (retries + 1 > budget)
        return false;
    ++counts.retries[static_cast<std::size_t>(counts.slice) % sliceCount];
    return true;
}

} // namespace acaciagauge
