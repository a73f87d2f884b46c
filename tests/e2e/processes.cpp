#include "e2e/processes.hpp"

#include <csignal>
#include <fcntl.h>
#include <spawn.h>
#include <stdexcept>
#include <sys/wait.h>

extern char** environ;

namespace acaciagauge::e2e {

ChildProcesses::ChildProcesses(std::filesystem::path folder)
    : m_folder(std::move(folder))
{
    std::filesystem::remove_all(m_folder);
    std::filesystem::create_directories(m_folder);
}

ChildProcesses::~ChildProcesses()
{
    for (const auto& it : m_pids)
        ::kill(it.second, SIGKILL);
    for (const auto& it : m_pids)
        ::waitpid(it.second, nullptr, 0);
}

void ChildProcesses::spawn(const std::string& name, std::vector<std::string> arguments)
{
    arguments[0] = std::string(BUILD_FOLDER) + "/" + arguments[0];
    std::vector<char*> argv;
    for (auto& it : arguments)
        argv.push_back(it.data());
    argv.push_back(nullptr);
    posix_spawn_file_actions_t actions;
    ::posix_spawn_file_actions_init(&actions);
    auto log = (m_folder / (name + ".log")).string();
    ::posix_spawn_file_actions_addopen(&actions, 1, log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    ::posix_spawn_file_actions_adddup2(&actions, 1, 2);
    pid_t pid = -1;
    if (::posix_spawn(&pid, argv[0], &actions, nullptr, argv.data(), environ) != 0)
        throw std::runtime_error("cannot start the process " + arguments[0]);
    ::posix_spawn_file_actions_destroy(&actions);
    m_pids[name] = pid;
}

void ChildProcesses::signal(const std::string& name, int number) const
{
    ::kill(m_pids.at(name), number);
}

int ChildProcesses::wait(const std::string& name)
{
    int status = 0;
    ::waitpid(m_pids.at(name), &status, 0);
    return removeEnded(name, status);
}

std::optional<int> ChildProcesses::poll(const std::string& name)
{
    int status = 0;
    bool hasEnded = ::waitpid(m_pids.at(name), &status, WNOHANG) == m_pids.at(name);
    return hasEnded ? std::optional(removeEnded(name, status)) : std::nullopt;
}

std::filesystem::path ChildProcesses::procFolder(const std::string& name) const
{
    return std::filesystem::path("/proc") / std::to_string(m_pids.at(name));
}

int ChildProcesses::removeEnded(const std::string& name, int status)
{
    m_pids.erase(name);
    return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
}

} // namespace acaciagauge::e2e
