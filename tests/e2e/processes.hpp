#pragma once

#include <filesystem>
#include <map>
#include <optional>
#include <string>
#include <sys/types.h>
#include <vector>

namespace acaciagauge::e2e {

/// @brief Child processes that run programs of the build folder, addressed by name. The destructor kills all that still
/// run.
class ChildProcesses {
public:
    /// @param folder emptied first; receives each process's standard output and error as NAME.log
    explicit ChildProcesses(std::filesystem::path folder);
    ~ChildProcesses();
    ChildProcesses(const ChildProcesses&) = delete;
    ChildProcesses& operator=(const ChildProcesses&) = delete;

    /// @brief Starts a program.
    /// @param arguments the first one is the program's file name in the build folder
    void spawn(const std::string& name, std::vector<std::string> arguments);

    void signal(const std::string& name, int number) const;

    /// @brief Waits until a process exits.
    /// @return its exit code, or -1 if a signal ended it
    int wait(const std::string& name);

    /// @brief Checks without blocking whether a process has exited.
    /// @return the same as wait() if it has; nothing while it runs
    std::optional<int> poll(const std::string& name);

    /// @brief Returns true if a process was started and neither wait() nor poll() has returned its exit code.
    [[nodiscard]] bool isTracked(const std::string& name) const { return m_pids.contains(name); }
    /// @brief Returns the folder of a tracked process in /proc.
    [[nodiscard]] std::filesystem::path procFolder(const std::string& name) const;
    [[nodiscard]] const std::filesystem::path& folder() const { return m_folder; }

private:
    /// @brief Removes an exited process. @return its exit code, or -1 if a signal ended it
    int removeEnded(const std::string& name, int status);

    std::filesystem::path m_folder;
    std::map<std::string, pid_t> m_pids;
};

} // namespace acaciagauge::e2e
