#include "snipeferry/http/callerregistry.h"

#include "snipeferry/http/erroranswer.h"

#include <absl/strings/match.h>

#include <utility>

namespace snipeferry::http {

struct CallerRegistry::OpenAnswer
{
    std::shared_ptr<net::HttpExchange> exchange;
    bool isStream = false;
    bool hasBegun = false;
    gateway::HttpHead head;
    /** Body of an answer that has not begun. */
    std::string collected;
};

CallerRegistry::CallerRegistry(std::size_t maxCollectedBytes, GoneSink gone)
    : m_maxCollectedBytes(maxCollectedBytes),
      m_gone(std::move(gone))
{
}

CallerRegistry::~CallerRegistry()
{
    *m_isAlive = false;
}

void CallerRegistry::open(const core::RequestId &request, std::shared_ptr<net::HttpExchange> exchange, bool isStream)
{
    exchange->onClosed([this, isAlive = m_isAlive, request] {
        if (*isAlive) {
            callerClosed(request);
        }
    });
    m_open[request] = std::make_shared<OpenAnswer>(OpenAnswer{std::move(exchange), isStream, false, {}, {}});
}

void CallerRegistry::callerClosed(const core::RequestId &request)
{
    if (m_open.erase(request) > 0) {
        m_gone(CallerGone{request, m_isDelivering});
    }
}

std::shared_ptr<CallerRegistry::OpenAnswer> CallerRegistry::find(const core::RequestId &request) const
{
    const auto it = m_open.find(request);
    return it == m_open.end() ? nullptr : it->second;
}

void CallerRegistry::refuse(const core::RequestId &request, const core::Error &error)
{
    deliver(messages::AnswerError{request, error});
}

void CallerRegistry::deliver(const messages::AnswerHead &item)
{
    const std::shared_ptr<OpenAnswer> answer = find(item.request);
    if (answer == nullptr) {
        return;
    }
    answer->head.status = item.status;
    for (const core::Header &header : item.headers) {
        if (!isConnectionHeader(header.name) && !isHeaderName(header.name, "X-Request-Id")) {
            answer->head.headers.push_back(header);
        }
    }
    answer->head.headers.push_back({"X-Request-Id", item.request.value()});
    answer->isStream = answer->isStream || absl::StartsWithIgnoreCase(headerValue(item.headers, "Content-Type"), "text/event-stream");
    // An answer that is no stream is collected first, so that a failure in its middle becomes an error answer.
    if (answer->isStream) {
        answer->hasBegun = true;
        answer->exchange->begin(answer->head);
    }
}

void CallerRegistry::deliver(const messages::AnswerChunk &item)
{
    const std::shared_ptr<OpenAnswer> answer = find(item.request);
    if (answer == nullptr) {
        return;
    }
    if (!answer->hasBegun) {
        answer->collected += item.data;
        if (answer->collected.size() <= m_maxCollectedBytes) {
            return;
        }
        answer->hasBegun = true;
        answer->exchange->begin(answer->head);
    }
    m_isDelivering = true;
    answer->exchange->data(answer->collected.empty() ? item.data : std::exchange(answer->collected, std::string()));
    m_isDelivering = false;
}

void CallerRegistry::deliver(const messages::AnswerEnd &item)
{
    const std::shared_ptr<OpenAnswer> answer = find(item.request);
    if (answer == nullptr) {
        return;
    }
    m_open.erase(item.request);
    if (answer->hasBegun) {
        answer->exchange->finish();
    } else {
        answer->exchange->answer(answer->head, answer->collected);
    }
}

void CallerRegistry::deliver(const messages::AnswerError &item)
{
    const std::shared_ptr<OpenAnswer> answer = find(item.request);
    if (answer == nullptr) {
        return;
    }
    m_open.erase(item.request);
    fail(item.request, *answer, item.error);
}

void CallerRegistry::fail(const core::RequestId &request, OpenAnswer &answer, const core::Error &error)
{
    if (!answer.hasBegun) {
        const HttpAnswer whole = errorAnswer(error, request.value());
        answer.exchange->answer({whole.status, whole.headers}, whole.body);
        return;
    }
    // Only an event stream has a place for an error; any other body is cut, so that nobody takes it for whole.
    if (!answer.isStream) {
        answer.exchange->breakOff();
        return;
    }
    answer.exchange->data(errorEvent(error, request.value()));
    answer.exchange->finish();
}

void CallerRegistry::failAll(const core::Error &error)
{
    const std::map<core::RequestId, std::shared_ptr<OpenAnswer>> open = std::exchange(m_open, {});
    for (const auto &entry : open) {
        fail(entry.first, *entry.second, error);
    }
}

std::size_t CallerRegistry::size() const
{
    return m_open.size();
}

} // namespace snipeferry::http
