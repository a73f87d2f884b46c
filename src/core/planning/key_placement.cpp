#include "acaciagauge/acaciagauge.hpp"

#include <algorithm>
#include <cmath>
#include <limits>
#include <set>

namespace acaciagauge {

namespace {

    /// Additional load, as a fraction of the measured load, that is spread evenly over all keys: a range's width counts
    /// even where no load was measured.
    constexpr double evenShare = 0.3;

    /// Lower bound of the load, in requests per second and server, that evenShare is a fraction of.
    constexpr double minLoadPerServer = 1.0;

    /// Least fraction of the load that should move that a window of keys must carry.
    constexpr double minWindowFill = 0.25;

    /// Load of the servers as it will be after the moves planned so far.
    class PlannedLoad {
    public:
        explicit PlannedLoad(const KeyPlacement::Input& input)
            : m_input(input)
        {
            for (const auto& it : input.servers) {
                m_capacity[it.id] = it.capacity;
                m_rate[it.id] = 0;
                if (it.maxRate)
                    m_maxRate[it.id] = *it.maxRate;
                if (it.isUsable)
                    m_usable.push_back(it.id);
            }
            double total = 0;
            for (const auto& it : input.load->rates())
                total += it.second;
            total = std::max(total, minLoadPerServer * static_cast<double>(m_usable.size()));
            m_evenPerKey = total * evenShare / (lastKey + 1.0);
            for (const auto& it : input.ranges)
                m_rate[it.owner] += weight(it.keys);
        }

        [[nodiscard]] double weight(const KeyRange& keys) const
        {
            return m_input.load->rate(keys) + m_evenPerKey * keys.width();
        }

        [[nodiscard]] double evenPerKey() const { return m_evenPerKey; }
        [[nodiscard]] const std::vector<ServerId>& usableServers() const { return m_usable; }
        [[nodiscard]] double capacity(const ServerId& id) const { return m_capacity.at(id); }
        [[nodiscard]] double rate(const ServerId& id) const { return m_rate.at(id); }
        [[nodiscard]] double relativeLoad(const ServerId& id) const { return rate(id) / capacity(id); }

        /// Returns how much weight may be moved to a server.
        [[nodiscard]] double room(const ServerId& id) const
        {
            auto limit = m_maxRate.find(id);
            return limit == m_maxRate.end() ? std::numeric_limits<double>::max() : limit->second - rate(id);
        }

        /// Returns the standard deviation of the rate that would be measured at a server with the mean load, whose
        /// requests arrive at random.
        [[nodiscard]] double rateNoise(const ServerId& id) const
        {
            auto seconds = std::chrono::duration<double>(m_input.load->timeConstant()).count();
            return std::sqrt(meanLoad() * capacity(id) / (2 * seconds));
        }

        void moveWeight(const ServerId& from, const ServerId& to, double weight)
        {
            m_rate[from] -= weight;
            m_rate[to] += weight;
        }

        [[nodiscard]] double meanLoad() const
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
        std::map<ServerId, double> m_maxRate;
        std::vector<ServerId> m_usable;
        double m_evenPerKey = 0;
    };

    /// Finds the window of keys in a range that has the most weight for its width and carries about `targetWeight`.
    std::optional<KeyRange> findDensestWindow(
        const PlannedLoad& planned, const KeyLoad& load, const KeyRange& keys, double targetWeight, KeyNumber maxWidth)
    {
        std::optional<KeyRange> best;
        double bestDensity = 0;
        auto begin = load.rates().lower_bound(keys.from);
        auto end = load.rates().upper_bound(keys.to);
        auto left = begin;
        double sum = 0;
        for (auto right = begin; right != end; ++right) {
            sum += right->second;
            while (left != right && (sum > targetWeight || right->first - left->first + 1 > maxWidth)) {
                sum -= left->second;
                ++left;
            }
            KeyRange window { left->first, right->first };
            auto weight = sum + planned.evenPerKey() * window.width();
            bool fits = sum <= targetWeight * 1.5 && weight >= targetWeight * minWindowFill;
            auto density = weight / (window.width() + 1.0);
            if (fits && (!best || density > bestDensity)) {
                best = window;
                bestDensity = density;
            }
        }
        return best;
    }

    /// Finds the key with the highest rate in a server's movable ranges.
    std::optional<KeyRange> findBusiestKey(const KeyPlacement::Input& input, const ServerId& owner)
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

    /// Finds the usable server that would be least loaded if `weight` were added to it; empty if none can take it.
    ServerId findLeastLoaded(const PlannedLoad& planned, const ServerId& excluded, double weight)
    {
        ServerId best;
        double bestLoad = 0;
        for (const auto& it : planned.usableServers()) {
            auto load = (planned.rate(it) + weight) / planned.capacity(it);
            if (it != excluded && planned.room(it) > weight && (best.empty() || load < bestLoad)) {
                best = it;
                bestLoad = load;
            }
        }
        return best;
    }

    /// Returns the target's relative load after a move divided by the source's relative load before it. The source's
    /// load after the move is not considered: moving a small part is better than moving nothing.
    double targetLoadRatio(const PlannedLoad& planned, const ServerId& from, const ServerId& to, double weight)
    {
        return (planned.rate(to) + weight) / planned.capacity(to) / planned.relativeLoad(from);
    }

    /// Finds the best move off an overloaded server.
    std::optional<KeyPlacement::Move> planMoveFrom(const KeyPlacement::Options& options,
        const KeyPlacement::Input& input, const PlannedLoad& planned, const ServerId& from)
    {
        auto to = findLeastLoaded(planned, from, 0);
        if (to.empty())
            return std::nullopt;
        auto commonLoad = (planned.rate(from) + planned.rate(to)) / (planned.capacity(from) + planned.capacity(to));
        auto targetWeight = std::min(planned.rate(from) - commonLoad * planned.capacity(from), planned.room(to));
        std::optional<KeyPlacement::Move> best;
        double bestDensity = 0;
        for (const auto& it : input.ranges) {
            if (it.owner != from || !it.isMovable)
                continue;
            auto window = findDensestWindow(planned, *input.load, it.keys, targetWeight, options.maxWidth);
            if (!window || planned.weight(*window) > planned.room(to)
                || targetLoadRatio(planned, from, to, planned.weight(*window)) > options.maxTargetLoadRatio)
                continue;
            auto density = planned.weight(*window) / window->width();
            if (!best || density > bestDensity) {
                best = KeyPlacement::Move { *window, to };
                bestDensity = density;
            }
        }
        if (best)
            return best;
        // A single key that overloads this server may load a faster one less.
        auto key = findBusiestKey(input, from);
        if (!key)
            return std::nullopt;
        auto weight = planned.weight(*key);
        auto faster = findLeastLoaded(planned, from, weight);
        if (faster.empty() || targetLoadRatio(planned, from, faster, weight) > options.maxTargetLoadRatio)
            return std::nullopt;
        return KeyPlacement::Move { *key, faster };
    }

    /// Moves keys of the most loaded server to one that has none, even if no server is overloaded.
    std::optional<KeyPlacement::Move> planMoveToNew(const KeyPlacement::Options& options,
        const KeyPlacement::Input& input, const PlannedLoad& planned, const ServerId& from, const ServerId& to)
    {
        auto targetWeight
            = std::min({ planned.rate(from) / 2, planned.meanLoad() * planned.capacity(to), planned.room(to) });
        const KeyPlacement::Range* widest = nullptr;
        std::optional<KeyRange> best;
        for (const auto& it : input.ranges) {
            if (it.owner != from || !it.isMovable)
                continue;
            if (!widest || it.keys.width() > widest->keys.width())
                widest = &it;
            auto window = findDensestWindow(planned, *input.load, it.keys, targetWeight, options.maxWidth);
            if (window && (!best || planned.weight(*window) > planned.weight(*best)))
                best = window;
        }
        if (!best && widest) {
            auto width = std::min(widest->keys.width(), options.maxWidth);
            best = KeyRange { widest->keys.from, widest->keys.from + width - 1 };
        }
        bool fits = best && planned.weight(*best) <= planned.room(to);
        return fits ? std::optional(KeyPlacement::Move { *best, to }) : std::nullopt;
    }

    bool areNeighbours(const KeyPlacement::Range& left, const KeyPlacement::Range& right)
    {
        return left.keys.to + 1 == right.keys.from && left.keys.from / keysPerChunk == right.keys.from / keysPerChunk;
    }

    /// A range that could join a neighbour by moving to its owner.
    struct Merge {
        KeyPlacement::Move move;
        ServerId from;
        std::size_t neighbour = 0; ///< Index of the range that it joins.
        double weight = 0;
    };

    /// Finds the merge that moves the least load, among those that do not overload the neighbour's owner.
    std::optional<Merge> findLightestMerge(
        const KeyPlacement::Options& options, const KeyPlacement::Input& input, const PlannedLoad& planned)
    {
        std::set<ServerId> usable(planned.usableServers().begin(), planned.usableServers().end());
        auto maxLoad = std::max(planned.meanLoad() * options.overloadRatio, planned.meanLoad() + options.minExcess);
        std::map<ServerId, std::size_t> rangeCounts;
        for (const auto& it : input.ranges)
            ++rangeCounts[it.owner];
        std::optional<Merge> best;
        auto consider = [&](const KeyPlacement::Range& range, std::size_t neighbour, double weight) {
            const auto& to = input.ranges[neighbour].owner;
            bool isPossible = to != range.owner && usable.contains(to) && (!best || weight < best->weight);
            if (isPossible && weight <= planned.room(to)
                && (planned.rate(to) + weight) / planned.capacity(to) <= maxLoad)
                best = Merge { { range.keys, to }, range.owner, neighbour, weight };
        };
        for (std::size_t n = 0; n < input.ranges.size(); ++n) {
            const auto& range = input.ranges[n];
            // A server without keys would be given some again.
            bool isLast = rangeCounts[range.owner] == 1;
            if (!range.isMovable || isLast || range.keys.width() > options.maxWidth)
                continue;
            auto weight = planned.weight(range.keys);
            if (n > 0 && areNeighbours(input.ranges[n - 1], range))
                consider(range, n - 1, weight);
            if (n + 1 < input.ranges.size() && areNeighbours(range, input.ranges[n + 1]))
                consider(range, n + 1, weight);
        }
        return best;
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
    PlannedLoad planned(input);
    auto weight = planned.weight(keys);
    std::optional<ServerId> best;
    bool isBestWithinRate = false;
    double bestLoad = 0;
    for (const auto& it : planned.usableServers()) {
        auto load = (planned.rate(it) + weight) / planned.capacity(it);
        bool isWithinRate = weight <= planned.room(it);
        bool isBetter = isWithinRate != isBestWithinRate ? isWithinRate : load < bestLoad;
        if (!best || isBetter) {
            best = it;
            isBestWithinRate = isWithinRate;
            bestLoad = load;
        }
    }
    return best;
}

std::vector<KeyPlacement::Move> KeyPlacement::plan(const Options& options, Input input)
{
    PlannedLoad planned(input);
    std::vector<Move> moves;
    if (planned.usableServers().size() < 2)
        return moves;
    auto mayPlanMove = [&] { return input.movesInProgress + moves.size() < options.maxMoves; };
    auto mayPlanMerge = [&] { return input.movesInProgress + moves.size() < options.maxMoves + options.maxMerges; };
    auto addMove = [&](Move move, const ServerId& from) {
        planned.moveWeight(from, move.to, planned.weight(move.keys));
        // Only one move of a range is planned at a time.
        for (auto& it : input.ranges) {
            if (it.keys.contains(move.keys.from))
                it.isMovable = false;
        }
        moves.push_back(std::move(move));
    };
    auto busiestFirst = [&] {
        auto order = planned.usableServers();
        std::sort(order.begin(), order.end(),
            [&](const auto& a, const auto& b) { return planned.relativeLoad(a) > planned.relativeLoad(b); });
        return order;
    };
    for (const auto& it : input.servers) {
        if (!it.isUsable || !it.isNew || !mayPlanMove())
            continue;
        auto from = busiestFirst().front();
        auto move = from == it.id ? std::nullopt : planMoveToNew(options, input, planned, from, it.id);
        if (move)
            addMove(std::move(*move), from);
    }
    for (const auto& from : busiestFirst()) {
        while (mayPlanMove()) {
            auto mean = planned.meanLoad();
            auto excess = planned.relativeLoad(from) - mean;
            bool isOverloaded = planned.relativeLoad(from) > mean * options.overloadRatio && excess > options.minExcess
                && excess * planned.capacity(from) > options.noiseMargin * planned.rateNoise(from);
            auto move = isOverloaded ? planMoveFrom(options, input, planned, from) : std::nullopt;
            if (!move)
                break;
            addMove(std::move(*move), from);
        }
    }
    auto rangeLimit = planned.usableServers().size() * options.rangesPerServer;
    while (input.ranges.size() > rangeLimit && mayPlanMerge()) {
        auto merge = findLightestMerge(options, input, planned);
        if (!merge)
            break;
        // Otherwise the two could exchange their owners.
        input.ranges[merge->neighbour].isMovable = false;
        addMove(std::move(merge->move), merge->from);
        for (auto& it : input.ranges) {
            if (it.keys == moves.back().keys)
                it.owner = moves.back().to;
        }
    }
    return moves;
}

std::vector<KeyRange> KeyPlacement::split(const KeyLoad& load, const KeyRange& keys, std::size_t parts)
{
    auto total = std::max(load.rate(keys), minLoadPerServer);
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
