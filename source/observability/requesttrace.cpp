#include "snipeferry/observability/requesttrace.h"

#include <absl/strings/ascii.h>
#include <absl/strings/match.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>

#include <algorithm>

namespace snipeferry::observability {

namespace {

/** First field of every log line that an instance writes. */
constexpr const char *TIME_FIELD = "time_ms=";

} // namespace

RequestTrace::RequestTrace(const std::string &request)
    : m_requestField(absl::StrCat("request=", request))
{
}

void RequestTrace::read(std::istream &log, const std::string &name)
{
    std::string line;
    while (std::getline(log, line)) {
        const std::vector<std::string> words = absl::StrSplit(line, ' ');
        const std::size_t begin = line.find(TIME_FIELD);
        if (begin == std::string::npos || std::find(words.begin(), words.end(), m_requestField) == words.end()) {
            continue;
        }
        const std::size_t timeEnd = line.find(' ', begin);
        TraceLine traceLine;
        const std::string timeText = line.substr(begin + std::string(TIME_FIELD).size(), timeEnd - begin - std::string(TIME_FIELD).size());
        if (timeEnd == std::string::npos || !absl::SimpleAtoi(timeText, &traceLine.timeMs)) {
            continue;
        }
        const std::string prefix(absl::StripAsciiWhitespace(line.substr(0, begin)));
        traceLine.source = prefix.empty() ? name : absl::StrCat(name, " ", prefix);
        traceLine.text = line.substr(timeEnd + 1);
        m_lines.push_back(std::move(traceLine));
    }
}

std::vector<TraceLine> RequestTrace::lines() const
{
    std::vector<TraceLine> sorted = m_lines;
    std::stable_sort(sorted.begin(), sorted.end(), [](const TraceLine &left, const TraceLine &right) { return left.timeMs < right.timeMs; });
    return sorted;
}

} // namespace snipeferry::observability
