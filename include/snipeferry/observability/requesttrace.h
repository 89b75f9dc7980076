#pragma once

#include <cstdint>
#include <istream>
#include <string>
#include <vector>

namespace snipeferry::observability {

/** One log line about the traced request. */
struct TraceLine
{
    /** When the line was written, in Unix milliseconds by the clock of the instance that wrote it. Clocks of instances differ slightly. */
    std::int64_t timeMs = 0;
    /** Name of the log file, followed by any prefix that a log collector put before the line. */
    std::string source;
    /** The rest of the line, after the time_ms field. */
    std::string text;
};

/** Collects the log lines about one request from the logs of several instances. */
class RequestTrace
{
public:
    explicit RequestTrace(const std::string &request);

    /** @brief Reads one log to its end and adds the lines about the request. */
    void read(std::istream &log, const std::string &name);

    /** @brief Returns the lines found, oldest first. Lines with the same time keep the order in which they were read. */
    std::vector<TraceLine> lines() const;

private:
    std::string m_requestField;
    std::vector<TraceLine> m_lines;
};

} // namespace snipeferry::observability
