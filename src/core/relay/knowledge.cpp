#include "acaciagauge/acaciagauge.hpp"

namespace acaciagauge {

namespace {

    std::pair<Epoch, std::uint64_t> versionOf(const DomainRecord& record)
    {
        return { record.epoch(), record.version };
    }

} // namespace

News Knowledge::adopt(const News& news)
{
    News applied;
    if (news.configuration && adoptIfNewer(m_configuration, *news.configuration))
        applied.configuration = news.configuration;
    for (const auto& it : news.records) {
        auto known = m_records.find(it.domain);
        if (known != m_records.end() && versionOf(it) <= versionOf(known->second))
            continue;
        m_records[it.domain] = it;
        applied.records.push_back(it);
    }
    for (const auto& it : news.homes) {
        auto known = m_homes.find(it.service);
        if (known != m_homes.end() && it.version <= known->second.version)
            continue;
        m_homes[it.service] = it;
        applied.homes.push_back(it);
    }
    return applied;
}

News Knowledge::newsFor(const Digest& digest) const
{
    News news;
    if (m_configuration.number > digest.ticket)
        news.configuration = m_configuration;
    for (const auto& it : m_records) {
        auto known = digest.domains.find(it.first);
        if (known == digest.domains.end() || versionOf(it.second) > known->second)
            news.records.push_back(it.second);
    }
    for (const auto& it : m_homes) {
        auto known = digest.homes.find(it.first);
        if (known == digest.homes.end() || it.second.version > known->second)
            news.homes.push_back(it.second);
    }
    return news;
}

Digest Knowledge::digest() const
{
    Digest digest;
    digest.ticket = m_configuration.number;
    for (const auto& it : m_records)
        digest.domains[it.first] = versionOf(it.second);
    for (const auto& it : m_homes)
        digest.homes[it.first] = it.second.version;
    return digest;
}

} // namespace acaciagauge
