#pragma once

#include "acaciagauge/detail/common/result.hpp"

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace acaciagauge {

/// @brief A state machine read from a chart file: its states, its events, and the effect of each event in each state.
///
/// The first state is the initial one. States and events are numbered in the order of the file.
class Chart {
public:
    /// @brief Parses and checks a chart.
    /// @param file file name for error messages
    /// @return the chart; invalidChart with file and line for a syntax error, an unknown or repeated state or event, a
    /// state that does not mention every event, or a state that cannot be reached
    static Result<Chart> parse(const std::string& file, std::string_view text);

    /// @brief Returns the state after an event.
    /// @return the same state if the event is ignored; nothing if the chart declares it impossible
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

/// @brief Applies an event to a state. The enumerators of both types are numbered like the chart's states and events.
/// @return false if the chart declares the event impossible; the state is then unchanged
template <typename State, typename Event> bool advance(const Chart& chart, State& state, Event event)
{
    auto next = chart.next(static_cast<std::size_t>(state), static_cast<std::size_t>(event));
    if (!next)
        return false;
    state = static_cast<State>(*next);
    return true;
}

/// @brief Parses all charts that are compiled into the program.
/// @return invalidChart for the first one that is invalid
Result<bool> checkBuiltInCharts();

/// @brief Returns a chart that is compiled into the program; checkBuiltInCharts() must have succeeded.
const Chart& builtInChart(std::string_view name);

} // namespace acaciagauge
