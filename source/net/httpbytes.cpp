#include "httpbytes.h"

#include <boost/asio/buffers_iterator.hpp>
#include <boost/beast/core/buffers_range.hpp>
#include <boost/beast/http.hpp>

namespace snipeferry::net {

namespace {

namespace beast = boost::beast;
namespace http = beast::http;

/** Appends the buffers of a sequence. */
template<typename Buffers>
void append(std::string &bytes, const Buffers &buffers)
{
    for (const boost::asio::const_buffer buffer : beast::buffers_range_ref(buffers)) {
        bytes.append(static_cast<const char *>(buffer.data()), buffer.size());
    }
}

/** Collects what a serializer produces. */
template<typename Serializer>
std::string collect(Serializer &serializer)
{
    std::string bytes;
    beast::error_code error;
    while (!serializer.is_done() && !error) {
        std::size_t size = 0;
        serializer.next(error, [&](beast::error_code & /*error*/, const auto &buffers) {
            size = boost::asio::buffer_size(buffers);
            append(bytes, buffers);
        });
        serializer.consume(size);
    }
    return bytes;
}

template<typename Message>
void setHeaders(Message &message, const gateway::Headers &headers)
{
    for (const gateway::Header &header : headers) {
        if (!isConnectionHeader(header.name)) {
            message.insert(header.name, header.value);
        }
    }
}

} // namespace

std::string wholeAnswerBytes(const gateway::HttpHead &head, const std::string &body, unsigned version, bool closes, bool isHead)
{
    http::response<http::string_body> message;
    message.result(static_cast<unsigned>(head.status));
    message.version(version);
    setHeaders(message, head.headers);
    message.content_length(body.size());
    if (!isHead) {
        message.body() = body;
    }
    message.keep_alive(!closes);
    http::response_serializer<http::string_body> serializer(message);
    return collect(serializer);
}

std::string openAnswerBytes(const gateway::HttpHead &head, unsigned version, bool closes)
{
    http::response<http::empty_body> message;
    message.result(static_cast<unsigned>(head.status));
    message.version(version);
    setHeaders(message, head.headers);
    message.chunked(version >= 11);
    message.keep_alive(!closes);
    // Only the head is written here; the chunks follow one by one.
    std::string bytes;
    http::response_serializer<http::empty_body> serializer(message);
    serializer.split(true);
    beast::error_code error;
    serializer.next(error, [&](beast::error_code & /*error*/, const auto &buffers) { append(bytes, buffers); });
    return bytes;
}

std::string chunkBytes(const std::string &data)
{
    std::string bytes;
    append(bytes, http::make_chunk(boost::asio::buffer(data)));
    return bytes;
}

std::string lastChunkBytes()
{
    std::string bytes;
    append(bytes, http::make_chunk_last());
    return bytes;
}

std::string continueBytes()
{
    http::response<http::empty_body> message(http::status::continue_, 11);
    http::response_serializer<http::empty_body> serializer(message);
    return collect(serializer);
}

std::string requestBytes(const gateway::HttpRequest &request, const std::string &defaultHost)
{
    http::request<http::string_body> message;
    message.method_string(request.method);
    message.target(request.target);
    message.version(11);
    setHeaders(message, request.headers);
    if (message.find(http::field::host) == message.end()) {
        message.set(http::field::host, defaultHost);
    }
    message.body() = request.body;
    const bool hasBody = !request.body.empty() || request.method == "POST" || request.method == "PUT";
    if (hasBody) {
        message.content_length(request.body.size());
    }
    http::request_serializer<http::string_body> serializer(message);
    return collect(serializer);
}

} // namespace snipeferry::net
