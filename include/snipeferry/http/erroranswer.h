#pragma once

#include "snipeferry/core/error.h"
#include "snipeferry/http/httpmessage.h"

#include <string>

/**
 * Errors as callers see them.
 */
namespace snipeferry::http {

/** @brief JSON document of an error: {"error": {"type", "message", "ran", "request_id"}}. */
std::string errorBody(const core::Error &error, const std::string &requestId);

/** @brief Whole answer of an error, with the status of the error table and Retry-After. */
HttpAnswer errorAnswer(const core::Error &error, const std::string &requestId);

/** @brief Error as the last event of a stream that has begun. */
std::string errorEvent(const core::Error &error, const std::string &requestId);

/** @brief Answer with a JSON body. */
HttpAnswer jsonAnswer(int status, const std::string &body);

} // namespace snipeferry::http
