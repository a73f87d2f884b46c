#include "acaciagauge/acaciagauge.hpp"
#include "built_in_charts.hpp"

#include <algorithm>
#include <map>
#include <sstream>

namespace acaciagauge {

/// Parses a chart line by line.
class ChartReader {
public:
    ChartReader(std::string file, std::string_view text)
        : m_file(std::move(file))
        , m_in(std::string(text))
    {
    }

    Result<Chart> read()
    {
        std::string line;
        while (std::getline(m_in, line)) {
            ++m_line;
            auto words = split(line);
            if (words.empty())
                continue;
            if (auto problem = readLine(words); !problem.empty())
                return fail(m_line, problem);
        }
        if (auto problem = resolve(); problem)
            return tl::make_unexpected(*problem);
        return m_chart;
    }

private:
    struct Transition {
        std::size_t state;
        std::size_t event;
        std::string target;
        int line;
    };

    tl::unexpected<Error> fail(int line, const std::string& problem) const
    {
        return failure(ResultCode::invalidChart, m_file + ":" + std::to_string(line) + ": " + problem);
    }

    static std::vector<std::string> split(const std::string& line)
    {
        std::istringstream in(line.substr(0, line.find('#')));
        std::vector<std::string> words;
        std::string word;
        while (in >> word)
            words.push_back(word);
        return words;
    }

    static std::optional<std::size_t> indexOf(const std::vector<std::string>& names, const std::string& name)
    {
        auto it = std::find(names.begin(), names.end(), name);
        return it == names.end() ? std::nullopt : std::optional(static_cast<std::size_t>(it - names.begin()));
    }

    /// Returns the error in a line, or an empty string.
    std::string readLine(const std::vector<std::string>& words)
    {
        if (words[0] == "chart" && words.size() == 2) {
            m_chart.m_name = words[1];
            return {};
        }
        if (words[0] == "events" && words.size() > 1) {
            m_chart.m_events.assign(words.begin() + 1, words.end());
            return {};
        }
        if (words[0] == "state" && words.size() == 2) {
            if (indexOf(m_chart.m_states, words[1]))
                return "state " + words[1] + " is named twice";
            m_chart.m_states.push_back(words[1]);
            m_stateLines.push_back(m_line);
            m_chart.m_next.emplace_back(m_chart.m_events.size());
            return {};
        }
        return readTransition(words);
    }

    std::string readTransition(const std::vector<std::string>& words)
    {
        auto event = indexOf(m_chart.m_events, words[0]);
        if (!event)
            return "unknown event " + words[0];
        if (m_chart.m_states.empty())
            return "event " + words[0] + " appears before the first state";
        auto state = m_chart.m_states.size() - 1;
        if (!m_definedPairs.insert({ state, *event }).second)
            return "event " + words[0] + " appears twice in state " + m_chart.m_states.back();
        bool isTransition = words.size() == 3 && words[1] == "->";
        bool isKeyword = words.size() == 2 && (words[1] == "ignored" || words[1] == "impossible");
        if (isTransition)
            m_transitions.push_back({ state, *event, words[2], m_line });
        else if (!isKeyword)
            return "expected \"-> STATE\", \"ignored\" or \"impossible\" after " + words[0];
        else if (words[1] == "ignored")
            m_chart.m_next[state][*event] = state;
        return {};
    }

    std::optional<Error> resolve()
    {
        for (const auto& it : m_transitions) {
            auto target = indexOf(m_chart.m_states, it.target);
            if (!target)
                return fail(it.line, "unknown state " + it.target).value();
            m_chart.m_next[it.state][it.event] = target;
        }
        for (std::size_t state = 0; state < m_chart.m_states.size(); ++state) {
            for (std::size_t event = 0; event < m_chart.m_events.size(); ++event) {
                if (!m_definedPairs.contains({ state, event }))
                    return fail(m_stateLines[state],
                        "state " + m_chart.m_states[state] + " does not mention event " + m_chart.m_events[event])
                        .value();
            }
        }
        return findUnreachable();
    }

    std::optional<Error> findUnreachable() const
    {
        if (m_chart.m_states.empty())
            return fail(m_line, "the chart has no state").value();
        std::vector<std::size_t> pending { 0 };
        std::set<std::size_t> reached { 0 };
        while (!pending.empty()) {
            auto state = pending.back();
            pending.pop_back();
            for (const auto& it : m_chart.m_next[state]) {
                if (it && reached.insert(*it).second)
                    pending.push_back(*it);
            }
        }
        for (std::size_t n = 0; n < m_chart.m_states.size(); ++n) {
            if (!reached.contains(n))
                return fail(m_stateLines[n], "state " + m_chart.m_states[n] + " cannot be reached").value();
        }
        return std::nullopt;
    }

    std::string m_file;
    std::istringstream m_in;
    int m_line = 0;
    Chart m_chart;
    std::vector<int> m_stateLines;
    std::vector<Transition> m_transitions;
    std::set<std::pair<std::size_t, std::size_t>> m_definedPairs;
};

Result<Chart> Chart::parse(const std::string& file, std::string_view text)
{
    return ChartReader(file, text).read();
}

std::optional<std::size_t> Chart::next(std::size_t state, std::size_t event) const
{
    return m_next[state][event];
}

namespace {

    using Charts = std::map<std::string, Chart, std::less<>>;

    Result<Charts> readBuiltInCharts()
    {
        Charts charts;
        for (const auto& it : builtInChartTexts) {
            auto chart = Chart::parse(it.file, it.text);
            if (!chart)
                return tl::make_unexpected(chart.error());
            charts[chart->name()] = std::move(*chart);
        }
        return charts;
    }

    const Result<Charts>& builtInCharts()
    {
        static const Result<Charts> charts = readBuiltInCharts();
        return charts;
    }

} // namespace

Result<bool> checkBuiltInCharts()
{
    if (!builtInCharts())
        return tl::make_unexpected(builtInCharts().error());
    return true;
}

const Chart& builtInChart(std::string_view name)
{
    return builtInCharts()->find(name)->second;
}

} // namespace acaciagauge
