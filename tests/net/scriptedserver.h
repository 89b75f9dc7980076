#pragma once

#include "snipeferry/net/eventloop.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>

#include <array>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace snipeferry::tests {

/** A backend server on loopback that answers whatever bytes a test scripts, in the loop of the test. */
class ScriptedServer
{
public:
    using Socket = boost::asio::ip::tcp::socket;

    /** Called with the number of the request on its connection, the connection, and all bytes read on it so far. */
    using Script = std::function<void(int, const std::shared_ptr<Socket> &, const std::string &)>;

    ScriptedServer(net::EventLoop &loop, Script script)
        : m_script(std::move(script)),
          m_acceptor(loop.context(), {boost::asio::ip::make_address("127.0.0.1"), 0})
    {
        accept();
    }

    std::string address() const
    {
        return "127.0.0.1:" + std::to_string(m_acceptor.local_endpoint().port());
    }

    static void send(const std::shared_ptr<Socket> &socket, const std::string &bytes)
    {
        boost::system::error_code ignored;
        boost::asio::write(*socket, boost::asio::buffer(bytes), ignored);
    }

    int connections = 0;
    /** Connections whose client has closed them. */
    int closed = 0;

private:
    struct State
    {
        std::shared_ptr<Socket> socket;
        std::string read;
        std::array<char, 4096> buffer{};
        int requests = 0;
    };

    void accept()
    {
        m_acceptor.async_accept([this](boost::system::error_code error, Socket socket) {
            if (error) {
                return;
            }
            ++connections;
            const std::shared_ptr<State> state = std::make_shared<State>();
            state->socket = std::make_shared<Socket>(std::move(socket));
            read(state);
            accept();
        });
    }

    void read(const std::shared_ptr<State> &state)
    {
        state->socket->async_read_some(boost::asio::buffer(state->buffer), [this, state](boost::system::error_code error, std::size_t bytes) {
            if (error) {
                ++closed;
                return;
            }
            state->read.append(state->buffer.data(), bytes);
            m_script(++state->requests, state->socket, state->read);
            read(state);
        });
    }

    Script m_script;
    boost::asio::ip::tcp::acceptor m_acceptor;
};

} // namespace snipeferry::tests
