#include "snipeferry/http/httpclient.h"

#include <absl/strings/numbers.h>
#include <httplib.h>

#include <atomic>

namespace snipeferry::http {

namespace {

std::string hostOf(const std::string &address)
{
    return address.substr(0, address.find(':'));
}

int portOf(const std::string &address)
{
    int port = 0;
    const std::size_t colon = address.find(':');
    return colon != std::string::npos && absl::SimpleAtoi(address.substr(colon + 1), &port) ? port : 0;
}

core::Headers headersOf(const httplib::Response &response)
{
    core::Headers headers;
    for (const auto &header : response.headers) {
        headers.push_back({header.first, header.second});
    }
    return headers;
}

} // namespace

class HttpClient::Impl
{
public:
    explicit Impl(ClientRequest request)
        : m_request(std::move(request)),
          m_client(hostOf(m_request.address), portOf(m_request.address))
    {
        m_client.set_connection_timeout(absl::ToChronoMilliseconds(m_request.connectTimeout));
        m_client.set_read_timeout(absl::ToChronoMilliseconds(m_request.readTimeout));
        m_client.set_keep_alive(false);
        m_client.set_tcp_nodelay(true);
        m_client.set_url_encode(false);
        m_client.set_decompress(false);
        m_client.set_follow_location(false);
    }

    ClientResult run(const ClientHandlers &handlers);

    void cancel()
    {
        m_isCancelled = true;
        m_client.stop();
    }

private:
    httplib::Request libraryRequest(const ClientHandlers &handlers);

    const ClientRequest m_request;
    httplib::Client m_client;
    std::atomic<bool> m_isCancelled = false;
};

httplib::Request HttpClient::Impl::libraryRequest(const ClientHandlers &handlers)
{
    httplib::Request request;
    request.method = m_request.method;
    request.path = m_request.path;
    for (const core::Header &header : m_request.headers) {
        request.headers.emplace(header.name, header.value);
    }
    // The body is asked for after the connection is up: from then on cancel() reaches it, before then this check does.
    if (!m_request.body.empty()) {
        request.content_length_ = m_request.body.size();
        request.content_provider_ = [this](size_t offset, size_t length, httplib::DataSink &sink) {
            return !m_isCancelled && sink.write(m_request.body.data() + offset, length);
        };
    }
    request.response_handler = [this, &handlers](const httplib::Response &response) {
        return !m_isCancelled && (!handlers.onHead || handlers.onHead(response.status, headersOf(response)));
    };
    request.content_receiver = [this, &handlers](const char *data, size_t size, std::uint64_t, std::uint64_t) {
        return !m_isCancelled && (!handlers.onData || handlers.onData(data, size));
    };
    return request;
}

ClientResult HttpClient::Impl::run(const ClientHandlers &handlers)
{
    httplib::Request request = libraryRequest(handlers);
    httplib::Response response;
    httplib::Error error = httplib::Error::Success;
    if (m_client.send(request, response, error)) {
        return {ClientOutcome::Whole, ""};
    }
    const bool isNotConnected = error == httplib::Error::Connection || error == httplib::Error::ConnectionTimeout || error == httplib::Error::BindIPAddress;
    return {isNotConnected ? ClientOutcome::NotConnected : ClientOutcome::Failed, httplib::to_string(error)};
}

HttpClient::HttpClient(ClientRequest request)
    : m_impl(std::make_unique<Impl>(std::move(request)))
{
}

HttpClient::~HttpClient() = default;

ClientResult HttpClient::run(const ClientHandlers &handlers)
{
    return m_impl->run(handlers);
}

void HttpClient::cancel()
{
    m_impl->cancel();
}

ClientAnswer fetch(ClientRequest request, std::size_t maxBytes)
{
    ClientAnswer answer;
    ClientHandlers handlers;
    handlers.onHead = [&](int status, const core::Headers &headers) {
        answer.status = status;
        answer.headers = headers;
        return true;
    };
    handlers.onData = [&](const char *data, std::size_t size) {
        answer.body.append(data, size);
        return answer.body.size() <= maxBytes;
    };
    answer.result = HttpClient(std::move(request)).run(handlers);
    return answer;
}

} // namespace snipeferry::http
