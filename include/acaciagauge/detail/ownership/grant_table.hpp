#pragma once

#include "acaciagauge/detail/ownership/orders.hpp"

#include <functional>
#include <set>

namespace acaciagauge {

/// @brief The server's side of fenced grants: which items it may serve, and until when.
class GrantTable {
public:
    /// @brief Behaviour that differs between servers.
    struct Options {
        Incarnation incarnation = 1;
        bool checksFences = true; ///< False: takes orders of any epoch and fence.
        std::function<bool(const Item&)> isBusy; ///< Tells whether work runs on an item. May be empty.
    };

    /// @brief Creates an empty table; `now` is the server's own clock throughout.
    static GrantTable create(Options options);

    /// @brief Carries out an order.
    /// @return the answer; code is staleFence, lateOrder or wrongIncarnation for a refused order
    /// @complexity O(items of the order), plus O(items held) for inventory
    ServerAnswer handle(const ServerOrder& order, TimePoint now);

    /// @brief Returns true if work on an item may run at `now`.
    [[nodiscard]] bool mayRun(const Item& item, TimePoint now) const;

    /// @brief Returns the fence under which an item is held, or a zero fence.
    [[nodiscard]] Fence fenceOf(const Item& item) const;

    /// @brief Returns true if nothing is held at `now`.
    [[nodiscard]] bool isEmpty(TimePoint now) const { return m_held.empty() || now >= m_expiry; }

    /// @brief Returns when all grants end.
    [[nodiscard]] TimePoint expiry() const { return m_expiry; }

private:
    explicit GrantTable(Options options);
    ServerAnswer answer(ResultCode code, TimePoint now) const;
    ResultCode checkTiming(const ServerOrder& order, TimePoint now) const;
    void dropExpired(TimePoint now);
    std::vector<Item> grant(const ServerOrder& order);
    bool revoke(const ServerOrder& order);

    Options m_options;
    Epoch m_highestEpoch = 0;
    TimePoint m_expiry {};
    std::map<Item, Fence> m_held;
    std::map<Item, Fence> m_highestFences;
    std::set<Item> m_closing;
};

} // namespace acaciagauge
