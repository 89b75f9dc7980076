#pragma once

#include "snipeferry/gateway/message.h"

#include <nlohmann/json.hpp>

#include <string>
#include <vector>

namespace snipeferry::gateway {

/** How far a backend server had come with an answer. */
enum class AnswerProgress {
    /** No head of an answer has arrived. */
    NotBegun,
    /** The head has arrived, but no whole event. */
    Begun,
    /** At least one whole event has arrived. */
    Writing,
};

NLOHMANN_JSON_SERIALIZE_ENUM(AnswerProgress, {{AnswerProgress::NotBegun, "not_begun"}, {AnswerProgress::Begun, "begun"}, {AnswerProgress::Writing, "writing"}})

/** @brief Progress as a word for the log. */
std::string answerProgressName(AnswerProgress progress);

/** @brief Identifiers of the parts of a prompt that other requests may share: all but the last one, which belongs to the request itself. */
std::vector<std::string> sharedPartIds(const std::vector<PromptPart> &parts);

/** @brief Identifiers of shared parts as a text for the log. */
std::string describeSharedParts(const std::vector<PromptPart> &parts);

} // namespace snipeferry::gateway
