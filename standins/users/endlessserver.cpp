#include "users/endlessserver.h"

#include <absl/strings/str_cat.h>
#include <boost/asio/write.hpp>

#include <array>
#include <utility>

namespace snipeferry::standins {

namespace {

namespace asio = boost::asio;
using Tcp = asio::ip::tcp;
using ErrorCode = boost::system::error_code;

constexpr std::size_t FILLER_BYTES = 65536;

} // namespace

struct EndlessServer::Shared
{
    Shared(net::EventLoop &loop, Script answerScript)
        : acceptor(loop.context(), {asio::ip::make_address("127.0.0.1"), 0}),
          script(std::move(answerScript))
    {
    }

    Tcp::acceptor acceptor;
    Script script;
    int answers = 0;
    std::size_t sentBytes = 0;
};

struct EndlessServer::Channel
{
    explicit Channel(Tcp::socket accepted)
        : socket(std::move(accepted))
    {
    }

    Tcp::socket socket;
    std::array<char, 4096> bytes{};
    std::string request;
    std::string filler;
};

EndlessServer::EndlessServer(net::EventLoop &loop, Script script)
    : m_shared(std::make_shared<Shared>(loop, std::move(script)))
{
    accept(m_shared);
}

EndlessServer::~EndlessServer()
{
    ErrorCode ignored;
    m_shared->acceptor.close(ignored);
}

std::string EndlessServer::address() const
{
    return absl::StrCat("127.0.0.1:", m_shared->acceptor.local_endpoint().port());
}

void EndlessServer::setScript(Script script)
{
    m_shared->script = std::move(script);
}

int EndlessServer::answers() const
{
    return m_shared->answers;
}

std::size_t EndlessServer::sentBytes() const
{
    return m_shared->sentBytes;
}

void EndlessServer::accept(const std::shared_ptr<Shared> &shared)
{
    shared->acceptor.async_accept([shared](ErrorCode error, Tcp::socket socket) {
        if (error) {
            return;
        }
        read(shared, std::make_shared<Channel>(std::move(socket)));
        accept(shared);
    });
}

void EndlessServer::read(const std::shared_ptr<Shared> &shared, const std::shared_ptr<Channel> &channel)
{
    channel->socket.async_read_some(asio::buffer(channel->bytes), [shared, channel](ErrorCode error, std::size_t count) {
        if (error) {
            return;
        }
        channel->request.append(channel->bytes.data(), count);
        if (channel->request.find("\r\n\r\n") == std::string::npos) {
            read(shared, channel);
            return;
        }
        ++shared->answers;
        Answer answer = shared->script(channel->request);
        while (channel->filler.size() < FILLER_BYTES) {
            channel->filler += answer.filler;
        }
        write(shared, channel, std::make_shared<std::string>(std::move(answer.begun)));
    });
}

void EndlessServer::write(const std::shared_ptr<Shared> &shared, const std::shared_ptr<Channel> &channel, const std::shared_ptr<std::string> &bytes)
{
    asio::async_write(channel->socket, asio::buffer(*bytes), [shared, channel, bytes](ErrorCode error, std::size_t count) {
        shared->sentBytes += count;
        if (!error) {
            write(shared, channel, std::make_shared<std::string>(channel->filler));
        }
    });
}

} // namespace snipeferry::standins
