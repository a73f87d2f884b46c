#include "acaciagauge/acaciagauge.hpp"

namespace acaciagauge {

void Holders::add(const ServerId& server, const Item& item)
{
    if (m_items[server].insert(item).second)
        ++m_counts[item];
}

void Holders::remove(const ServerId& server, const Item& item)
{
    auto it = m_items.find(server);
    if (it == m_items.end() || it->second.erase(item) == 0)
        return;
    if (--m_counts[item] == 0)
        m_counts.erase(item);
}

void Holders::clear(const ServerId& server)
{
    auto items = itemsOf(server);
    for (const auto& it : items)
        remove(server, it);
}

void Holders::reset()
{
    m_items.clear();
    m_counts.clear();
}

const std::set<Item>& Holders::itemsOf(const ServerId& server) const
{
    static const std::set<Item> none;
    auto it = m_items.find(server);
    return it == m_items.end() ? none : it->second;
}

bool Holders::isHeldElsewhere(const Item& item, const ServerId& except) const
{
    auto count = m_counts.find(item);
    if (count == m_counts.end())
        return false;
    return count->second > (itemsOf(except).contains(item) ? 1U : 0U);
}

} // namespace acaciagauge
