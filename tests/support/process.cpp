#include "support/process.h"

#include <absl/strings/str_split.h>
#include <absl/time/clock.h>
#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <stdexcept>

namespace snipeferry::testing {

namespace {

constexpr absl::Duration POLL_INTERVAL = absl::Milliseconds(10);
constexpr int NOT_ENDED = -1000;

} // namespace

Process::Process(const std::string &program, const std::vector<std::string> &arguments, std::string outputFile)
    : m_outputFile(std::move(outputFile))
{
    std::vector<char *> argv;
    argv.push_back(const_cast<char *>(program.c_str()));
    for (const std::string &argument : arguments) {
        argv.push_back(const_cast<char *>(argument.c_str()));
    }
    argv.push_back(nullptr);

    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, m_outputFile.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
    posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
    const int result = posix_spawn(&m_pid, program.c_str(), &actions, nullptr, argv.data(), environ);
    posix_spawn_file_actions_destroy(&actions);
    if (result != 0) {
        throw std::runtime_error("cannot start " + program);
    }
}

Process::~Process()
{
    if (isRunning()) {
        kill(m_pid, SIGKILL);
        waitpid(m_pid, nullptr, 0);
    }
}

Process::Process(Process &&other) noexcept
    : m_pid(std::exchange(other.m_pid, -1)),
      m_outputFile(std::move(other.m_outputFile)),
      m_hasEnded(other.m_hasEnded),
      m_exitCode(other.m_exitCode)
{
}

std::string Process::waitForValue(const std::string &name, absl::Duration limit) const
{
    const absl::Time end = absl::Now() + limit;
    while (absl::Now() < end) {
        for (const std::string &line : std::vector<std::string>(absl::StrSplit(output(), '\n'))) {
            if (line.compare(0, name.size() + 1, name + "=") == 0) {
                return line.substr(name.size() + 1);
            }
        }
        absl::SleepFor(POLL_INTERVAL);
    }
    throw std::runtime_error("no line " + name + "= in the output:\n" + output());
}

std::string Process::output() const
{
    std::ifstream file(m_outputFile);
    std::stringstream text;
    text << file.rdbuf();
    return text.str();
}

void Process::signal(int number) const
{
    if (m_pid > 0 && !m_hasEnded) {
        kill(m_pid, number);
    }
}

pid_t Process::id() const
{
    return m_pid;
}

bool Process::isRunning()
{
    if (m_pid <= 0 || m_hasEnded) {
        return false;
    }
    int status = 0;
    if (waitpid(m_pid, &status, WNOHANG) != m_pid) {
        return true;
    }
    m_hasEnded = true;
    m_exitCode = WIFEXITED(status) ? WEXITSTATUS(status) : -WTERMSIG(status);
    return false;
}

int Process::wait(absl::Duration limit)
{
    const absl::Time end = absl::Now() + limit;
    while (isRunning()) {
        if (absl::Now() >= end) {
            return NOT_ENDED;
        }
        absl::SleepFor(POLL_INTERVAL);
    }
    return m_exitCode;
}

TemporaryFolder::TemporaryFolder()
{
    std::string pattern = (std::filesystem::temp_directory_path() / "snipeferry-test-XXXXXX").string();
    if (mkdtemp(pattern.data()) == nullptr) {
        throw std::runtime_error("cannot make a temporary folder");
    }
    m_path = pattern;
}

TemporaryFolder::~TemporaryFolder()
{
    std::error_code ignored;
    std::filesystem::remove_all(m_path, ignored);
}

std::string TemporaryFolder::write(const std::string &name, const std::string &text) const
{
    std::ofstream file(path(name));
    file << text;
    return path(name);
}

std::string TemporaryFolder::path(const std::string &name) const
{
    return m_path + "/" + name;
}

} // namespace snipeferry::testing
