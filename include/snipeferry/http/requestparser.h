#pragma once

#include "snipeferry/configuration/configuration.h"
#include "snipeferry/core/error.h"
#include "snipeferry/http/callerkey.h"
#include "snipeferry/node/messages.h"

#include <string>

/**
 * From an HTTP request to a caller's request of the decision parts.
 */
namespace snipeferry::http {

constexpr const char CHAT_PATH[] = "/v1/chat/completions";
constexpr const char MODELS_PATH[] = "/v1/models";
constexpr const char ENTRIES_PATH[] = "/v1/entries";
constexpr const char OPERATIONS_PATH[] = "/v1/operations";
constexpr const char SERVICES_PREFIX[] = "/services/";

/** What a request is compared with while it is read. */
struct ParseContext
{
    /** Configuration in force; not null. */
    const configuration::Configuration &configuration;
    /** Generated at the entry, never taken from callers. */
    core::RequestId id;
};

/** @brief Reads a chat request; the model decides on the service. */
core::Expected<node::CallerRequest> parseChat(const KeylessRequest &request, const ParseContext &context);

/** @brief Reads a call of a plain service: /services/NAME/PATH. */
core::Expected<node::CallerRequest> parseServiceCall(const std::string &method, KeylessRequest request, const ParseContext &context);

/** @brief Makes a request identifier that nobody can guess. */
core::RequestId newRequestId();

} // namespace snipeferry::http
