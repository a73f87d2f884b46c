#pragma once

#include "acaciagauge/detail/common/ids.hpp"

#include <map>
#include <set>

namespace acaciagauge {

/// @brief Which servers may hold which items: a superset of the truth.
class Holders {
public:
    /// @brief Notes that a server holds or may come to hold an item.
    void add(const ServerId& server, const Item& item);

    /// @brief Notes that a server does not hold an item and cannot come to hold it.
    void remove(const ServerId& server, const Item& item);

    /// @brief Notes that a server holds nothing.
    void clear(const ServerId& server);

    /// @brief Forgets everything.
    void reset();

    /// @brief Returns the items that a server may hold.
    [[nodiscard]] const std::set<Item>& itemsOf(const ServerId& server) const;

    /// @brief Returns true if a server other than `except` may hold an item.
    /// @complexity O(log n)
    [[nodiscard]] bool isHeldElsewhere(const Item& item, const ServerId& except) const;

private:
    std::map<ServerId, std::set<Item>> m_items;
    std::map<Item, std::size_t> m_counts; ///< Number of servers that may hold an item.
};

} // namespace acaciagauge
