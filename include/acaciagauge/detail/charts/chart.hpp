#pragma once

#include "acaciagauge/detail/common/result.hpp"

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace acaciagauge {

/// @brief A state chart read from a file: states, events, and what each event does in each state.
///
/// The first state is the initial one. States and events are numbered in the file's order.
class Chart {
public:
    /// @brief Reads and checks a chart.
    /// @param file name for messages
    /// @return the chart, or invalidChart with file and line for an unknown word, an unknown state or event, an event
    /// that a
    ///         state does not mention, a state that is named twice or cannot be reached
    static Result<Chart> parse(const std::string& file, std::string_view text);

    /// @brief Returns the state after an event.
    /// @return the same state if the event is ignored; nothing if the chart calls it impossible
    /// @complexity O(1)
    [[nodiscard]] std::optional<std::size_t> next(std::size_t state, std::size_t event) const;

    [[nodiscard]] const std::string& name() const { return m_name; }
    [[nodiscard]] const std::vector<std::string>& states() const { return m_states; }
    [[nodiscard]] const std::vector<std::string>& events() const { return m_events; }

private:
    friend class ChartReader;

    std::string m_name;
    std::vector<std::string> m_states;
    std::vector<std::string> m_events;
    std::vector<std::vector<std::optional<std::size_t>>> m_next; ///< By state, then event.
};

/// @brief Moves a state, kept as an enumerator numbered like the chart's states, by an event numbered like its events.
/// @return false if the chart calls the event impossible; the state is then unchanged
template <typename State, typename Event> bool advance(const Chart& chart, State& state, Event event)
{
    auto next = chart.next(static_cast<std::size_t>(state), static_cast<std::size_t>(event));
    if (!next)
        return false;
    state = static_cast<State>(*next);
    return true;
}

/// @brief Reads all charts that the program is built with.
/// @return invalidChart for the first one that is damaged
Result<bool> checkBuiltInCharts();

/// @brief Returns a chart that the program is built with; checkBuiltInCharts() must have succeeded.
const Chart& builtInChart(std::string_view name);

} // namespace acaciagauge
