#pragma once

#include <absl/time/time.h>
#include <sys/types.h>

#include <map>
#include <string>
#include <vector>

namespace snipeferry::testing {

/** A child process of a test, killed at the latest with its owner. Its output goes to a file. */
class Process
{
public:
    /** @brief Starts a program of the build folder with arguments. */
    Process(const std::string &program, const std::vector<std::string> &arguments, std::string outputFile);
    ~Process();
    Process(Process &&other) noexcept;
    Process &operator=(Process &&other) = delete;
    Process(const Process &) = delete;
    Process &operator=(const Process &) = delete;

    /** @brief Waits until a line "NAME=VALUE" has been printed and gives the value; fails the test after a time. */
    std::string waitForValue(const std::string &name, absl::Duration limit = absl::Seconds(10)) const;

    /** @brief Everything printed so far. */
    std::string output() const;

    void signal(int number) const;

    /** @brief Waits for the end and gives the exit code, or minus the signal that ended it; -1000 when it did not end. */
    int wait(absl::Duration limit);

    bool isRunning();

    pid_t id() const;

private:
    pid_t m_pid = -1;
    std::string m_outputFile;
    bool m_hasEnded = false;
    int m_exitCode = 0;
};

/** A folder for a test's files, removed with its owner. */
class TemporaryFolder
{
public:
    TemporaryFolder();
    ~TemporaryFolder();
    TemporaryFolder(const TemporaryFolder &) = delete;
    TemporaryFolder &operator=(const TemporaryFolder &) = delete;

    /** @brief Writes a file and gives its path. */
    std::string write(const std::string &name, const std::string &text) const;
    std::string path(const std::string &name) const;

private:
    std::string m_path;
};

} // namespace snipeferry::testing
