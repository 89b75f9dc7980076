#pragma once

#include <cstdint>
#include <istream>
#include <string>
#include <vector>

namespace snipeferry::observability {

/** One log line about a request. */
struct TraceLine
{
    /** Unix milliseconds of the instance that wrote it; instances' clocks differ a little. */
    std::int64_t timeMs = 0;
    /** Where it was read: the name of the file, and what a collector of logs put before the line. */
    std::string source;
    /** From the event's name on. */
    std::string text;
};

/** Collects the lines about one request from the logs of any instances. */
class RequestTrace
{
public:
    explicit RequestTrace(const std::string &request);

    /** @brief Reads one log to its end. */
    void read(std::istream &log, const std::string &name);

    /** @brief The lines found, oldest first; lines of equal time as they were read. */
    std::vector<TraceLine> lines() const;

private:
    std::string m_field;
    std::vector<TraceLine> m_lines;
};

} // namespace snipeferry::observability
