#pragma once

#include "snipeferry/messages/action.h"
#include "snipeferry/net/httpserver.h"

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace snipeferry::http {

/** A caller closed its connection before its answer was whole. */
struct CallerGone
{
    core::RequestId request;
    /** It read so slowly that the server cut it off. */
    bool wasSlow = false;
};

/** The open requests of one instance, each with its caller's connection; writes the answers that were decided on. */
class CallerRegistry
{
public:
    using GoneSink = std::function<void(const CallerGone &)>;

    /** @param maxCollectedBytes a body that is no stream is collected up to this size, so that a failure can still become an error answer */
    CallerRegistry(std::size_t maxCollectedBytes, GoneSink gone);
    ~CallerRegistry();

    void open(const core::RequestId &request, std::shared_ptr<net::HttpExchange> exchange, bool isStream);

    /** @brief Answers a request that never reached the decision parts. */
    void refuse(const core::RequestId &request, const core::Error &error);

    // Items of requests that are not open are dropped.
    void deliver(const messages::AnswerHead &item);
    void deliver(const messages::AnswerChunk &item);
    void deliver(const messages::AnswerEnd &item);
    void deliver(const messages::AnswerError &item);

    /** @brief Ends every open request with an error. */
    void failAll(const core::Error &error);

    std::size_t size() const;

private:
    struct OpenAnswer;

    std::shared_ptr<OpenAnswer> find(const core::RequestId &request) const;
    void callerClosed(const core::RequestId &request);
    void fail(const core::RequestId &request, OpenAnswer &answer, const core::Error &error);

    const std::size_t m_maxCollectedBytes;
    const GoneSink m_gone;
    std::map<core::RequestId, std::shared_ptr<OpenAnswer>> m_open;
    /** Bytes are being handed to a connection: if it closes now, it was too slow. */
    bool m_isDelivering = false;
    std::shared_ptr<bool> m_isAlive = std::make_shared<bool>(true);
};

} // namespace snipeferry::http
