#pragma once

#include "snipeferry/core/error.h"
#include "snipeferry/gateway/message.h"
#include "snipeferry/net/eventloop.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

#include <functional>
#include <memory>
#include <optional>
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

    /**
     * @brief Makes a call; only one at a time.
     *
     * Without an answer in time the callback gets PlatformUnavailable, which says whether a byte of the request may have left.
     */
    void call(const gateway::HttpRequest &request, absl::Duration timeout, Callback callback);

    /** @brief Limits the bodies of answers. A longer one fails the call with RequestTooLarge. */
    void setMaxAnswerBytes(std::size_t bytes);

    void close();

private:
    static constexpr std::size_t DEFAULT_MAX_ANSWER_BYTES = 64U << 20U;

    void send();
    void finish(const core::Expected<CallAnswer> &answer);
    void fail(const std::string &reason, core::ErrorKind kind = core::ErrorKind::PlatformUnavailable);
    void connect();
    void watchIdle();

    EventLoop &m_loop;
    std::string m_address;
    absl::Duration m_connectTimeout;
    std::optional<boost::asio::ip::tcp::socket> m_socket;
    std::size_t m_maxAnswerBytes = DEFAULT_MAX_ANSWER_BYTES;
    bool m_isConnected = false;
    bool m_isWatching = false;
    /** Tells callbacks of earlier connections and calls apart. */
    std::uint64_t m_generation = 0;
    std::string m_bytes;
    boost::beast::flat_buffer m_buffer;
    std::optional<boost::beast::http::response_parser<boost::beast::http::string_body>> m_parser;
    Callback m_callback;
    core::Subscription m_timer;
    core::Subscription m_connectTimer;
};

} // namespace snipeferry::net
