#pragma once

#include <string>
#include <utility>
#include <vector>

namespace snipeferry::core {

/** One key and value of a log line. Values must not contain prompts or the API keys of callers. */
struct LogField
{
    std::string key;
    std::string value;
};

/** An event or decision that is logged as one line of key=value pairs. */
struct LogEvent
{
    std::string name;
    std::vector<LogField> fields;

    LogEvent &with(std::string key, std::string value)
    {
        fields.push_back({std::move(key), std::move(value)});
        return *this;
    }
};

/** @brief Formats the event as one line. Values with spaces, quotes or control characters are quoted and escaped. */
std::string formatLogLine(const LogEvent &event);

} // namespace snipeferry::core
