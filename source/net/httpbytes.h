#pragma once

#include "snipeferry/gateway/message.h"
#include "snipeferry/net/httpserver.h"

#include <absl/strings/ascii.h>
#include <absl/strings/match.h>
#include <absl/strings/str_split.h>
#include <boost/beast/http/fields.hpp>

#include <string>
#include <vector>

/**
 * HTTP messages as bytes, written by the library's serializers.
 */
namespace snipeferry::net {

/** @brief A whole response with its length. */
std::string wholeAnswerBytes(const gateway::HttpHead &head, const std::string &body, unsigned version, bool closes, bool isHead);

/** @brief The head of a response whose body follows in chunks, or until the connection closes for HTTP/1.0. */
std::string openAnswerBytes(const gateway::HttpHead &head, unsigned version, bool closes);

std::string chunkBytes(const std::string &data);
std::string lastChunkBytes();
std::string continueBytes();

/** @brief A whole request. */
std::string requestBytes(const gateway::HttpRequest &request, const std::string &defaultHost);

/** @brief Headers of a message that are passed on: without those of its one connection. */
template<typename Message>
gateway::Headers passedHeaders(const Message &message)
{
    // The Connection header names further headers that concern this connection only.
    std::vector<std::string> named;
    const auto connection = message.find(boost::beast::http::field::connection);
    if (connection != message.end()) {
        for (const absl::string_view word : absl::StrSplit(std::string(connection->value()), ',')) {
            named.push_back(std::string(absl::StripAsciiWhitespace(word)));
        }
    }
    gateway::Headers headers;
    for (const auto &field : message) {
        const std::string name(field.name_string());
        bool isNamed = false;
        for (const std::string &word : named) {
            isNamed = isNamed || absl::EqualsIgnoreCase(word, name);
        }
        if (!isNamed && !isConnectionHeader(name)) {
            headers.push_back({name, std::string(field.value())});
        }
    }
    return headers;
}

} // namespace snipeferry::net
