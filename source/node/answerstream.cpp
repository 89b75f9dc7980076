#include "answerstream.h"

#include <absl/strings/match.h>
#include <nlohmann/json.hpp>

#include <algorithm>

namespace snipeferry::node {

namespace {

constexpr std::size_t MAX_KEPT_BODY_BYTES = std::size_t{512} << 10;
constexpr const char EVENT_SEPARATOR[] = "\n\n";
constexpr std::size_t EVENT_SEPARATOR_BYTES = 2;

bool isEventStreamHeader(const Header &header)
{
    return absl::EqualsIgnoreCase(header.name, "content-type") && absl::StartsWithIgnoreCase(header.value, "text/event-stream");
}

} // namespace

void AnswerStream::begin(const std::vector<Header> &headers, bool keepBody)
{
    m_isEventStream = std::any_of(headers.begin(), headers.end(), isEventStreamHeader);
    m_keepsBody = keepBody;
    m_incompleteEvent.clear();
}

std::string AnswerStream::append(const std::string &data)
{
    if (m_keepsBody && !m_isBodyTooLarge) {
        m_isBodyTooLarge = m_body.size() + data.size() > MAX_KEPT_BODY_BYTES;
        m_body = m_isBodyTooLarge ? std::string() : m_body + data;
    }
    if (!m_isEventStream) {
        return data;
    }

    // Pass on complete events only, so that a resumed stream continues at an event boundary.
    m_incompleteEvent += data;
    const std::size_t end = m_incompleteEvent.rfind(EVENT_SEPARATOR);
    if (end == std::string::npos) {
        return {};
    }
    std::string completeEvents = m_incompleteEvent.substr(0, end + EVENT_SEPARATOR_BYTES);
    m_incompleteEvent.erase(0, end + EVENT_SEPARATOR_BYTES);
    countEvents(completeEvents);
    return completeEvents;
}

std::string AnswerStream::takeIncompleteEvent()
{
    return std::exchange(m_incompleteEvent, {});
}

bool AnswerStream::isEventStream() const
{
    return m_isEventStream;
}

bool AnswerStream::hasDoneEvent() const
{
    return m_hasDoneEvent;
}

std::int64_t AnswerStream::tokenEventCount() const
{
    return m_tokenEventCount;
}

std::optional<std::string> AnswerStream::body() const
{
    if (!m_keepsBody || m_isBodyTooLarge) {
        return std::nullopt;
    }
    return m_body;
}

std::optional<core::Tokens> AnswerStream::reportedUsage() const
{
    if (!m_keepsBody || m_isBodyTooLarge || m_isEventStream) {
        return std::nullopt;
    }
    const nlohmann::json answer = nlohmann::json::parse(m_body, nullptr, false);
    if (!answer.is_object() || !answer.contains("usage") || !answer["usage"].is_object()) {
        return std::nullopt;
    }
    const nlohmann::json total = answer["usage"].value("total_tokens", nlohmann::json());
    return total.is_number_integer() ? std::optional<core::Tokens>(total.get<core::Tokens>()) : std::nullopt;
}

void AnswerStream::countEvents(const std::string &events)
{
    std::size_t begin = 0;
    while (begin < events.size()) {
        const std::size_t end = events.find(EVENT_SEPARATOR, begin);
        const std::string event = events.substr(begin, end - begin);
        begin = end + EVENT_SEPARATOR_BYTES;
        if (!absl::StartsWith(event, "data:")) {
            continue;
        }
        if (absl::StrContains(event, "[DONE]")) {
            m_hasDoneEvent = true;
        } else {
            ++m_tokenEventCount;
        }
    }
}

} // namespace snipeferry::node
