#pragma once

#include "snipeferry/gateway/message.h"

#include <string>
#include <vector>

/**
 * HTTP as the rest of the system sees it, whatever the library.
 */
namespace snipeferry::http {

using gateway::HttpRequest;

/** A whole answer. */
struct HttpAnswer
{
    int status = 200;
    core::Headers headers;
    std::string body;
};

/** @brief Compares header names without regard to case. */
bool isHeaderName(const std::string &left, const std::string &right);

/** @brief First value of a header, or empty. */
std::string headerValue(const core::Headers &headers, const std::string &name);

/** @brief Whether a header belongs to one connection and is never passed on. */
bool isConnectionHeader(const std::string &name);

} // namespace snipeferry::http
