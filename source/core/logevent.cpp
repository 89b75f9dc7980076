#include "snipeferry/core/logevent.h"

#include <algorithm>
#include <cstdio>

namespace snipeferry::core {

namespace {

bool needsQuotes(const std::string &value)
{
    return value.empty() || std::any_of(value.begin(), value.end(), [](unsigned char c) { return c <= ' ' || c == '"' || c == '=' || c == '\\' || c >= 0x7f; });
}

void appendEscaped(std::string &line, unsigned char c)
{
    if (c == '"' || c == '\\') {
        line += '\\';
        line += static_cast<char>(c);
        return;
    }
    if (c < ' ' || c >= 0x7f) {
        char buffer[8];
        std::snprintf(buffer, sizeof(buffer), "\\x%02x", c);
        line += buffer;
        return;
    }
    line += static_cast<char>(c);
}

} // namespace

std::string formatLogLine(const LogEvent &event)
{
    std::string line = "event=" + event.name;
    for (const LogField &field : event.fields) {
        line += ' ' + field.key + '=';
        if (!needsQuotes(field.value)) {
            line += field.value;
            continue;
        }
        line += '"';
        for (const char c : field.value) {
            appendEscaped(line, static_cast<unsigned char>(c));
        }
        line += '"';
    }
    return line;
}

} // namespace snipeferry::core
