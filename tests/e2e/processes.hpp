#pragma once

#include <filesystem>
#include <map>
#include <optional>
#include <string>
#include <sys/types.h>
#include <vector>

namespace acaciagauge::e2e {

/// @brief Processes of the build folder, by name. All that still run are killed at the end.
class Processes {
public:
    /// @param folder gets each process's output as NAME.log
    explicit Processes(std::filesystem::path folder);
    ~Processes();
    Processes(const Processes&) = delete;
    Processes& operator=(const Processes&) = delete;

    /// @brief Starts a program.
    /// @param arguments the first is the program's name in the build folder
    void spawn(const std::string& name, std::vector<std::string> arguments);

    void signal(const std::string& name, int number) const;

    /// @brief Waits for a process's end.
    /// @return its exit code, or -1 if a signal ended it
    int wait(const std::string& name);

    /// @brief Looks whether a process has ended.
    /// @return as wait() if it has; nothing if it runs
    std::optional<int> poll(const std::string& name);

    [[nodiscard]] bool isKnown(const std::string& name) const { return m_ids.contains(name); }
    [[nodiscard]] const std::filesystem::path& folder() const { return m_folder; }

private:
    int forget(const std::string& name, int status);

    std::filesystem::path m_folder;
    std::map<std::string, pid_t> m_ids;
};

} // namespace acaciagauge::e2e
