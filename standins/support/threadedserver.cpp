#include "support/threadedserver.h"

#include <absl/time/clock.h>
#include <httplib.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <thread>
#include <utility>

namespace snipeferry::standins {

namespace {

constexpr std::size_t THREADS = 160;
constexpr std::size_t MAX_BODY_BYTES = std::size_t{32} << 20;
constexpr const char *HOST = "127.0.0.1";

/** Socket of the connection that this thread serves. */
thread_local int currentSocket = -1;

bool isClientGone()
{
    pollfd entry = {currentSocket, POLLRDHUP, 0};
    return ::poll(&entry, 1, 0) > 0 && (entry.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
}

/** The library's view of a connection. */
class SocketStream : public httplib::Stream
{
public:
    explicit SocketStream(int socket)
        : m_socket(socket)
    {
    }

    bool awaitRequest() const
    {
        return waitFor(POLLIN, IDLE_TIME);
    }

    bool is_readable() const override // NOLINT(readability-identifier-naming): name fixed by the library
    {
        return waitFor(POLLIN, absl::ZeroDuration());
    }

    bool is_writable() const override // NOLINT(readability-identifier-naming): name fixed by the library
    {
        return waitFor(POLLOUT, absl::ZeroDuration()) && !isClientGone();
    }

    ssize_t read(char *data, size_t size) override
    {
        return waitFor(POLLIN, IDLE_TIME) ? ::recv(m_socket, data, size, 0) : -1;
    }

    ssize_t write(const char *data, size_t size) override
    {
        return waitFor(POLLOUT, IDLE_TIME) ? ::send(m_socket, data, size, MSG_NOSIGNAL) : -1;
    }

    void get_remote_ip_and_port(std::string & /*ip*/, int & /*port*/) const override // NOLINT(readability-identifier-naming): name fixed by the library
    {
    }

    void get_local_ip_and_port(std::string & /*ip*/, int & /*port*/) const override // NOLINT(readability-identifier-naming): name fixed by the library
    {
    }

    socket_t socket() const override
    {
        return m_socket;
    }

private:
    /** Keeps a connection whose client is silent. */
    static constexpr absl::Duration IDLE_TIME = absl::Seconds(5);

    bool waitFor(short events, absl::Duration time) const
    {
        pollfd entry = {m_socket, events, 0};
        return ::poll(&entry, 1, static_cast<int>(absl::ToInt64Milliseconds(time))) > 0;
    }

    const int m_socket;
};

http::HttpRequest requestOf(const httplib::Request &request, std::string body)
{
    http::HttpRequest result{request.method, request.target, {}, std::move(body)};
    for (const auto &header : request.headers) {
        result.headers.push_back({header.first, header.second});
    }
    return result;
}

void write(StandinAnswer answer, httplib::Response &response)
{
    response.status = answer.status;
    std::string contentType = "application/octet-stream";
    for (const core::Header &header : answer.headers) {
        if (http::isHeaderName(header.name, "Content-Type")) {
            contentType = header.value;
        } else {
            response.headers.emplace(header.name, header.value);
        }
    }
    if (!answer.next) {
        response.set_content(answer.body, contentType);
        return;
    }
    response.set_chunked_content_provider(contentType, [next = std::move(answer.next)](std::size_t /*offset*/, httplib::DataSink &sink) {
        std::string piece;
        switch (next(piece)) {
        case Piece::More:
            return piece.empty() || sink.write(piece.data(), piece.size());
        case Piece::End:
            sink.done();
            return true;
        case Piece::Abort:
            break;
        }
        return false;
    });
}

} // namespace

StandinAnswer::StandinAnswer(http::HttpAnswer whole)
    : http::HttpAnswer(std::move(whole))
{
}

class ThreadedServer::Impl : public httplib::Server
{
public:
    explicit Impl(StandinHandler handler)
        : m_handler(std::move(handler))
    {
        new_task_queue = [] {
            return new httplib::ThreadPool(THREADS);
        };
        set_payload_max_length(MAX_BODY_BYTES);
        set_tcp_nodelay(true);
        const auto whole = [this](const httplib::Request &request, httplib::Response &response) {
            write(m_handler(requestOf(request, {}), &isClientGone), response);
        };
        // The body is read as it is, whatever its type.
        const auto withBody = [this](const httplib::Request &request, httplib::Response &response, const httplib::ContentReader &reader) {
            std::string body;
            reader([&](const char *data, std::size_t size) {
                body.append(data, size);
                return true;
            });
            write(m_handler(requestOf(request, std::move(body)), &isClientGone), response);
        };
        Get(".*", whole);
        Post(".*", withBody);
        Put(".*", withBody);
        Patch(".*", withBody);
        Delete(".*", withBody);
    }

    /**
     * Answers a request in chunks without a connection. The library keeps a string that its first such answer constructs; it is built without the thread
     * sanitizer, which reports a race if the first answers are given by several threads.
     */
    void answerOffline()
    {
        httplib::detail::BufferStream stream;
        const std::string request = "GET / HTTP/1.1\r\n\r\n";
        stream.write(request.data(), request.size());
        bool isClosed = false;
        // A server without a listening socket counts as shutting down and leaves its answers unfinished.
        svr_sock_ = 0;
        process_request(stream, true, isClosed, nullptr);
        svr_sock_ = INVALID_SOCKET;
    }

    /** The library's queue of five drops opening packets of a burst, which come again after seconds. */
    bool widenAcceptQueue() const
    {
        return ::listen(svr_sock_, SOMAXCONN) == 0;
    }

    std::thread accepting;

    /** Lets the library construct what it keeps before several threads answer. */
    static void prepareLibrary()
    {
        static const bool isPrepared = [] {
            Impl([](const http::HttpRequest & /*request*/, const ClientProbe & /*isClientGone*/) {
                StandinAnswer answer;
                answer.status = 200;
                answer.next = [isSent = false](std::string &piece) mutable {
                    piece = "x";
                    return std::exchange(isSent, true) ? Piece::End : Piece::More;
                };
                return answer;
            }).answerOffline();
            return true;
        }();
        static_cast<void>(isPrepared);
    }

private:
    bool process_and_close_socket(socket_t socket) override // NOLINT(readability-identifier-naming): name fixed by the library
    {
        currentSocket = socket;
        SocketStream stream(socket);
        bool isOpen = true;
        while (isOpen && stream.awaitRequest()) {
            bool isClosed = false;
            isOpen = process_request(stream, false, isClosed, nullptr) && !isClosed;
        }
        ::shutdown(socket, SHUT_RDWR);
        ::close(socket);
        return true;
    }

    const StandinHandler m_handler;
};

ThreadedServer::ThreadedServer(StandinHandler handler)
    : m_impl(std::make_unique<Impl>(std::move(handler)))
{
}

ThreadedServer::~ThreadedServer()
{
    stop();
}

core::Expected<std::string> ThreadedServer::start(std::uint16_t port)
{
    Impl::prepareLibrary();
    const int bound = port == 0 ? m_impl->bind_to_any_port(HOST) : (m_impl->bind_to_port(HOST, port) ? port : -1);
    if (bound <= 0 || !m_impl->widenAcceptQueue()) {
        return tl::make_unexpected(core::makeError(core::ErrorKind::Internal, "Cannot listen on port " + std::to_string(port) + "."));
    }
    m_impl->accepting = std::thread([this] { m_impl->listen_after_bind(); });
    // A stop before the server runs would be lost.
    while (!m_impl->is_running()) {
        absl::SleepFor(absl::Milliseconds(1));
    }
    return std::string(HOST) + ":" + std::to_string(bound);
}

void ThreadedServer::stop()
{
    if (m_impl->accepting.joinable()) {
        m_impl->stop();
        m_impl->accepting.join();
    }
}

} // namespace snipeferry::standins
