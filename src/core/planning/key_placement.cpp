#include "acaciagauge/acaciagauge.hpp"

#include <algorithm>
#include <cmath>

namespace acaciagauge {

namespace {

    /// Share of the total load that is spread evenly over all keys, so that width counts where load is unknown.
    constexpr double evenShare = 0.3;

    /// Least load, in requests a second for a server, that the even share is taken of.
    constexpr double leastLoadPerServer = 1.0;

    /// A window must carry this fraction of the load that should move.
    constexpr double leastFill = 0.25;

    /// Load of servers while moves are planned on paper.
    class Paper {
    public:
        explicit Paper(const KeyPlacement::Input& input)
            : m_input(input)
        {
            for (const auto& it : input.servers) {
                m_capacity[it.id] = it.capacity;
                m_rate[it.id] = 0;
                if (it.isUsable)
                    m_usable.push_back(it.id);
            }
            double total = 0;
            for (const auto& it : input.load->rates())
                total += it.second;
            total = std::max(total, leastLoadPerServer * static_cast<double>(m_usable.size()));
            m_evenPerKey = total * evenShare / (lastKey + 1.0);
            for (const auto& it : input.ranges)
                m_rate[it.owner] += weight(it.keys);
        }

        [[nodiscard]] double weight(const KeyRange& keys) const
        {
            return m_input.load->rate(keys) + m_evenPerKey * keys.width();
        }

        [[nodiscard]] double evenPerKey() const { return m_evenPerKey; }
        [[nodiscard]] const std::vector<ServerId>& usable() const { return m_usable; }
        [[nodiscard]] double capacity(const ServerId& id) const { return m_capacity.at(id); }
        [[nodiscard]] double rate(const ServerId& id) const { return m_rate.at(id); }
        [[nodiscard]] double relative(const ServerId& id) const { return rate(id) / capacity(id); }

        void shift(const ServerId& from, const ServerId& to, double weight)
        {
            m_rate[from] -= weight;
            m_rate[to] += weight;
        }

        [[nodiscard]] double mean() const
        {
            double rates = 0;
            double capacities = 0;
            for (const auto& it : m_usable) {
                rates += rate(it);
                capacities += capacity(it);
            }
            return capacities > 0 ? rates / capacities : 0;
        }

    private:
        const KeyPlacement::Input& m_input;
        std::map<ServerId, double> m_capacity;
        std::map<ServerId, double> m_rate;
        std::vector<ServerId> m_usable;
        double m_evenPerKey = 0;
    };

    /// Finds the narrowest run of busy keys of a range that carries about the wanted weight.
    std::optional<KeyRange> narrowest(
        const Paper& paper, const KeyLoad& load, const KeyRange& keys, double wanted, KeyNumber maxWidth)
    {
        std::optional<KeyRange> best;
        double bestDensity = 0;
        auto begin = load.rates().lower_bound(keys.from);
        auto end = load.rates().upper_bound(keys.to);
        auto left = begin;
        double sum = 0;
        for (auto right = begin; right != end; ++right) {
            sum += right->second;
            while (left != right && (sum > wanted || right->first - left->first + 1 > maxWidth)) {
                sum -= left->second;
                ++left;
            }
            KeyRange window { left->first, right->first };
            auto weight = sum + paper.evenPerKey() * window.width();
            bool fits = sum <= wanted * 1.5 && weight >= wanted * leastFill;
            auto density = weight / (window.width() + 1.0);
            if (fits && (!best || density > bestDensity)) {
                best = window;
                bestDensity = density;
            }
        }
        return best;
    }

    /// Finds the busiest key of a server's movable ranges.
    std::optional<KeyRange> busiestKey(const KeyPlacement::Input& input, const ServerId& owner)
    {
        std::optional<KeyRange> best;
        double bestRate = 0;
        for (const auto& it : input.ranges) {
            if (it.owner != owner || !it.isMovable)
                continue;
            auto end = input.load->rates().upper_bound(it.keys.to);
            for (auto key = input.load->rates().lower_bound(it.keys.from); key != end; ++key) {
                if (key->second > bestRate) {
                    bestRate = key->second;
                    best = KeyRange { key->first, key->first };
                }
            }
        }
        return best;
    }

    /// Finds the server that would be least loaded with some more weight.
    ServerId bestTarget(const Paper& paper, const ServerId& except, double weight)
    {
        ServerId best;
        double bestLoad = 0;
        for (const auto& it : paper.usable()) {
            auto load = (paper.rate(it) + weight) / paper.capacity(it);
            if (it != except && (best.empty() || load < bestLoad)) {
                best = it;
                bestLoad = load;
            }
        }
        return best;
    }

    /// Returns the taker's relative load after a move, over the giver's present one. The giver's own does not count: a
    /// small part that moves is better than none.
    double effect(const Paper& paper, const ServerId& from, const ServerId& to, double weight)
    {
        return (paper.rate(to) + weight) / paper.capacity(to) / paper.relative(from);
    }

    /// Finds the best move of load away from a server.
    std::optional<KeyPlacement::Move> moveFrom(const KeyPlacement::Options& options, const KeyPlacement::Input& input,
        const Paper& paper, const ServerId& from)
    {
        auto to = bestTarget(paper, from, 0);
        auto common = (paper.rate(from) + paper.rate(to)) / (paper.capacity(from) + paper.capacity(to));
        auto wanted = paper.rate(from) - common * paper.capacity(from);
        std::optional<KeyPlacement::Move> best;
        double bestDensity = 0;
        for (const auto& it : input.ranges) {
            if (it.owner != from || !it.isMovable)
                continue;
            auto window = narrowest(paper, *input.load, it.keys, wanted, options.maxWidth);
            if (!window || effect(paper, from, to, paper.weight(*window)) > options.leastEffect)
                continue;
            auto density = paper.weight(*window) / window->width();
            if (!best || density > bestDensity) {
                best = KeyPlacement::Move { *window, to };
                bestDensity = density;
            }
        }
        if (best)
            return best;
        // One key that is too much for this server may be less so for a faster one.
        auto key = busiestKey(input, from);
        if (!key)
            return std::nullopt;
        auto weight = paper.weight(*key);
        auto faster = bestTarget(paper, from, weight);
        if (effect(paper, from, faster, weight) > options.leastEffect)
            return std::nullopt;
        return KeyPlacement::Move { *key, faster };
    }

    /// Gives a server without keys a share of the busiest server's, even if none is overloaded.
    std::optional<KeyPlacement::Move> moveToNew(const KeyPlacement::Options& options, const KeyPlacement::Input& input,
        const Paper& paper, const ServerId& from, const ServerId& to)
    {
        auto wanted = std::min(paper.rate(from) / 2, paper.mean() * paper.capacity(to));
        const KeyPlacement::Range* widest = nullptr;
        std::optional<KeyRange> best;
        for (const auto& it : input.ranges) {
            if (it.owner != from || !it.isMovable)
                continue;
            if (!widest || it.keys.width() > widest->keys.width())
                widest = &it;
            auto window = narrowest(paper, *input.load, it.keys, wanted, options.maxWidth);
            if (window && (!best || paper.weight(*window) > paper.weight(*best)))
                best = window;
        }
        if (!best && widest) {
            auto width = std::min(widest->keys.width(), options.maxWidth);
            best = KeyRange { widest->keys.from, widest->keys.from + width - 1 };
        }
        return best ? std::optional(KeyPlacement::Move { *best, to }) : std::nullopt;
    }

} // namespace

std::vector<KeyPlacement::Range> KeyPlacement::divide(std::vector<Server> servers)
{
    std::erase_if(servers, [](const auto& it) { return !it.isUsable; });
    std::sort(servers.begin(), servers.end(),
        [](const auto& a, const auto& b) { return hashOf("divide", a.id) < hashOf("divide", b.id); });
    double total = 0;
    for (const auto& it : servers)
        total += it.capacity;
    std::vector<Range> ranges;
    double reached = 0;
    KeyNumber next = 0;
    for (const auto& it : servers) {
        reached += it.capacity;
        auto end = static_cast<KeyNumber>(std::lround(reached / total * (lastKey + 1.0)));
        if (&it == &servers.back())
            end = lastKey + 1;
        while (next < end) {
            auto chunkEnd = (next / keysPerChunk + 1) * keysPerChunk;
            auto to = std::min(end, chunkEnd) - 1;
            ranges.push_back({ { next, to }, it.id, true });
            next = to + 1;
        }
    }
    return ranges;
}

std::optional<ServerId> KeyPlacement::pick(const Input& input, const KeyRange& keys)
{
    Paper paper(input);
    auto weight = paper.weight(keys);
    std::optional<ServerId> best;
    double bestLoad = 0;
    for (const auto& it : paper.usable()) {
        auto load = (paper.rate(it) + weight) / paper.capacity(it);
        if (!best || load < bestLoad) {
            best = it;
            bestLoad = load;
        }
    }
    return best;
}

std::vector<KeyPlacement::Move> KeyPlacement::plan(const Options& options, Input input)
{
    Paper paper(input);
    std::vector<Move> moves;
    if (paper.usable().size() < 2)
        return moves;
    auto mayMove = [&] { return input.movesInProgress + moves.size() < options.maxMoves; };
    auto take = [&](Move move, const ServerId& from) {
        paper.shift(from, move.to, paper.weight(move.keys));
        // A range takes part in one move at a time.
        for (auto& it : input.ranges) {
            if (it.keys.contains(move.keys.from))
                it.isMovable = false;
        }
        moves.push_back(std::move(move));
    };
    auto busiestFirst = [&] {
        auto order = paper.usable();
        std::sort(order.begin(), order.end(),
            [&](const auto& a, const auto& b) { return paper.relative(a) > paper.relative(b); });
        return order;
    };
    for (const auto& it : input.servers) {
        if (!it.isUsable || !it.isNew || !mayMove())
            continue;
        auto from = busiestFirst().front();
        auto move = from == it.id ? std::nullopt : moveToNew(options, input, paper, from, it.id);
        if (move)
            take(std::move(*move), from);
    }
    for (const auto& from : busiestFirst()) {
        while (mayMove()) {
            auto mean = paper.mean();
            bool isOverloaded
                = paper.relative(from) > mean * options.overload && paper.relative(from) - mean > options.leastExcess;
            auto move = isOverloaded ? moveFrom(options, input, paper, from) : std::nullopt;
            if (!move)
                break;
            take(std::move(*move), from);
        }
    }
    return moves;
}

std::vector<KeyRange> KeyPlacement::split(const KeyLoad& load, const KeyRange& keys, std::size_t parts)
{
    auto total = std::max(load.rate(keys), leastLoadPerServer);
    auto evenPerKey = total / keys.width();
    std::map<KeyNumber, double> busy(load.rates().lower_bound(keys.from), load.rates().upper_bound(keys.to));
    auto weight = load.rate(keys) + evenPerKey * keys.width();
    std::vector<KeyRange> pieces;
    double reached = 0;
    auto from = keys.from;
    for (auto key = keys.from; key <= keys.to; ++key) {
        auto found = busy.find(key);
        reached += evenPerKey + (found == busy.end() ? 0 : found->second);
        bool isFull = reached >= weight * static_cast<double>(pieces.size() + 1) / static_cast<double>(parts);
        if (key == keys.to || (isFull && pieces.size() + 1 < parts)) {
            pieces.push_back({ from, key });
            from = key + 1;
        }
    }
    return pieces;
}

} // namespace acaciagauge
