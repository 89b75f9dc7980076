#pragma once

#include "snipeferry/core/error.h"
#include "snipeferry/gateway/message.h"
#include "snipeferry/net/eventloop.h"
#include "snipeferry/net/readmemory.h"

#include <boost/system/error_code.hpp>

#include <functional>
#include <memory>
#include <string>

namespace snipeferry::net {

/** Answer of one call. */
struct CallAnswer
{
    int status = 0;
    gateway::Headers headers;
    std::string body;
};

/**
 * One kept connection for calls one after the other.
 *
 * A call that is not answered in time closes the connection, since nothing that follows on it can be trusted.
 */
class HttpCaller : public std::enable_shared_from_this<HttpCaller>
{
public:
    using Callback = std::function<void(const core::Expected<CallAnswer> &)>;

    HttpCaller(EventLoop &loop, std::string address, absl::Duration connectTimeout = absl::InfiniteDuration());
    ~HttpCaller();

    /**
     * @brief Makes a call; only one at a time.
     *
     * Without an answer in time the callback gets PlatformUnavailable, which says whether a byte of the request may have left.
     */
    void call(const gateway::HttpRequest &request, absl::Duration timeout, Callback callback);

    /** @brief Limits the bodies of answers. A longer one fails the call with RequestTooLarge. */
    void setMaxAnswerBytes(std::size_t bytes);

    /** @brief Sets what all connections of the process share for unfinished heads, heads of chunks and trailers. */
    void setReadMemory(std::shared_ptr<ReadMemory> memory);

    void close();

private:
    static constexpr std::size_t DEFAULT_MAX_ANSWER_BYTES = 64U << 20U;

    /**
     * A connection with everything that its operations use.
     *
     * Each operation holds it. One that has completed when the connection is closed may not have been handled yet, and must find its own buffer and parser
     * then, not those of a later call.
     */
    struct Connection;

    void send();
    void answered(const std::shared_ptr<Connection> &connection, boost::system::error_code error);
    void finish(const core::Expected<CallAnswer> &answer);
    void fail(const std::string &reason, core::ErrorKind kind = core::ErrorKind::PlatformUnavailable);
    void connect();
    void watchIdle();

    EventLoop &m_loop;
    std::string m_address;
    absl::Duration m_connectTimeout;
    std::size_t m_maxAnswerBytes = DEFAULT_MAX_ANSWER_BYTES;
    std::shared_ptr<ReadMemory> m_readMemory;
    /** Null before the first call and behind a close. */
    std::shared_ptr<Connection> m_connection;
    /** The bytes of the call that waits for its connection. */
    std::string m_bytes;
    Callback m_callback;
    core::Subscription m_timer;
    core::Subscription m_connectTimer;
};

} // namespace snipeferry::net
