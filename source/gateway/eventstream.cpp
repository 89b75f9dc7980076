#include "snipeferry/gateway/eventstream.h"

#include <absl/strings/ascii.h>
#include <absl/strings/match.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_split.h>
#include <absl/strings/string_view.h>

#include <algorithm>

namespace snipeferry::gateway {

namespace {

/** Longest event that is passed on. Events of a stream hold some tokens each. */
constexpr std::size_t MAX_EVENT_BYTES = 1U << 20U;
/** Bytes of the longest mark between two events, less one: so much of it may have arrived already. */
constexpr std::size_t MARK_OVERLAP = 3;

/** Offset after the first complete event, or npos if there is none. */
std::size_t eventEnd(const std::string &text, std::size_t from)
{
    const std::size_t plain = text.find("\n\n", from);
    // The other mark is looked for only before the first one found, so that no byte is searched again for each event.
    const absl::string_view before = absl::string_view(text).substr(0, plain == std::string::npos ? text.size() : plain + 1);
    const std::size_t found = before.find("\r\n\r\n", from);
    const std::size_t withReturns = found == absl::string_view::npos ? std::string::npos : found;
    if (plain == std::string::npos && withReturns == std::string::npos) {
        return std::string::npos;
    }
    return plain < withReturns ? plain + 2 : withReturns + 4;
}

std::string eventId(absl::string_view event)
{
    for (const absl::string_view line : absl::StrSplit(event, '\n')) {
        if (absl::StartsWith(line, "id:")) {
            return std::string(absl::StripAsciiWhitespace(line.substr(3)));
        }
    }
    return {};
}

} // namespace

EventStream::EventStream(std::string lastEventId)
    : m_lastEventId(std::move(lastEventId))
{
}

std::string EventStream::feed(const std::string &data)
{
    m_partial += data;
    std::string whole;
    std::size_t begin = 0;
    std::size_t end = eventEnd(m_partial, m_searchedBytes);
    while (end != std::string::npos) {
        const std::string event = m_partial.substr(begin, end - begin);
        if (acceptIfNew(event)) {
            whole += event;
            ++m_eventCount;
        }
        begin = end;
        end = eventEnd(m_partial, begin);
    }
    m_partial.erase(0, begin);
    m_searchedBytes = m_partial.size() - std::min(m_partial.size(), MARK_OVERLAP);
    return whole;
}

bool EventStream::acceptIfNew(const std::string &event)
{
    const std::string id = eventId(event);
    if (id.empty()) {
        return true;
    }
    std::int64_t number = 0;
    std::int64_t last = 0;
    const bool isRepeated = absl::SimpleAtoi(id, &number) && absl::SimpleAtoi(m_lastEventId, &last) && number <= last;
    if (isRepeated) {
        return false;
    }
    m_lastEventId = id;
    return true;
}

void EventStream::dropPartial()
{
    m_partial.clear();
    m_searchedBytes = 0;
}

bool EventStream::isPartialTooLong() const
{
    return m_partial.size() > MAX_EVENT_BYTES;
}

const std::string &EventStream::partial() const
{
    return m_partial;
}

const std::string &EventStream::lastEventId() const
{
    return m_lastEventId;
}

int EventStream::eventCount() const
{
    return m_eventCount;
}

} // namespace snipeferry::gateway
