#pragma once

#include "snipeferry/core/error.h"
#include "snipeferry/core/ids.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

/**
 * Bodies of OpenAI-style chat requests.
 */
namespace snipeferry::http {

/** What the gateway reads in a chat request. */
struct ChatRequest
{
    std::string model;
    bool isStream = false;
    /** Bound of generated tokens that the caller states, for all choices together. */
    std::optional<core::Tokens> maxTokens;
    /** Estimate from the prompt's size. */
    core::Tokens promptTokens = 0;
    std::vector<std::uint64_t> prefixHashes;
    /** The body again, written from what was read: a backend server sees no other fields than those. */
    std::string body;
};

/**
 * @brief Reads the body of a chat request.
 * @return the request; or BadRequest for wrong JSON, wrong UTF-8 or wrong fields
 */
core::Expected<ChatRequest> parseChatRequest(const std::string &body);

/**
 * @brief Hashes the leading blocks of a prompt, each with all blocks before it.
 * @param model the model, whose caches are apart from those of other models
 * @param prompt the prompt's text
 * @return one hash for each whole block, longest prefix last
 */
std::vector<std::uint64_t> prefixHashes(const std::string &model, const std::string &prompt);

/** @brief Text of all messages of a chat body, in order; what prefixHashes() is computed from. */
std::string promptText(const std::string &body);

} // namespace snipeferry::http
