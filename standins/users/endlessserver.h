#pragma once

#include "snipeferry/net/eventloop.h"

#include <boost/asio/ip/tcp.hpp>

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace snipeferry::standins {

/** A server that begins an answer to each request and goes on with bytes that never end it, as fast as its client reads, until the client closes. */
class EndlessServer
{
public:
    struct Answer
    {
        std::string begun;
        /** Sent again and again. */
        std::string filler;
    };

    /** Called with the bytes of a request's head. */
    using Script = std::function<Answer(const std::string &request)>;

    EndlessServer(net::EventLoop &loop, Script script);
    ~EndlessServer();

    std::string address() const;

    /** @brief Answers from now on by another script. */
    void setScript(Script script);

    /** @brief Answers that were begun. */
    int answers() const;

    /** @brief Bytes that clients have taken. */
    std::size_t sentBytes() const;

private:
    struct Shared;
    struct Channel;

    static void accept(const std::shared_ptr<Shared> &shared);
    static void read(const std::shared_ptr<Shared> &shared, const std::shared_ptr<Channel> &channel);
    static void write(const std::shared_ptr<Shared> &shared, const std::shared_ptr<Channel> &channel, const std::shared_ptr<std::string> &bytes);

    std::shared_ptr<Shared> m_shared;
};

} // namespace snipeferry::standins
