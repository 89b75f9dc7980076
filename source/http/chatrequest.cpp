#include "snipeferry/http/chatrequest.h"

#include "snipeferry/http/callerkey.h"

#include <nlohmann/json.hpp>
#include <xxhash.h>

#include <algorithm>
#include <stdexcept>

namespace snipeferry::http {

namespace {

using nlohmann::json;

constexpr int MAX_JSON_DEPTH = 64;
constexpr std::size_t BLOCK_BYTES = 256;
constexpr std::size_t MAX_BLOCKS = 256;
constexpr std::size_t BYTES_PER_TOKEN = 3;
constexpr std::size_t TOKENS_PER_MESSAGE = 8;
constexpr std::int64_t MAX_TOKENS = 10'000'000;
constexpr std::int64_t MAX_CHOICES = 128;

tl::unexpected<core::Error> badBody(const std::string &message)
{
    return tl::make_unexpected(core::makeError(core::ErrorKind::BadRequest, message));
}

core::Expected<json> parseJson(const std::string &body)
{
    const json::parser_callback_t boundDepth = [](int depth, json::parse_event_t, json &) {
        if (depth > MAX_JSON_DEPTH) {
            throw std::length_error("too deep");
        }
        return true;
    };
    try {
        return json::parse(body, boundDepth);
    } catch (const json::exception &) {
        return badBody("The body is not JSON in UTF-8.");
    } catch (const std::length_error &) {
        return badBody("The body is nested too deep.");
    }
}

std::string textOf(const json &content)
{
    if (content.is_string()) {
        return content.get<std::string>();
    }
    if (!content.is_array()) {
        return content.is_null() ? "" : content.dump();
    }
    std::string text;
    for (const json &part : content) {
        const bool isText = part.is_object() && part.contains("text") && part["text"].is_string();
        text += isText ? part["text"].get<std::string>() : part.dump();
    }
    return text;
}

std::string promptOf(const json &body)
{
    std::string prompt;
    for (const json &message : body.at("messages")) {
        prompt += message.value("role", "") + "\n" + textOf(message.value("content", json())) + "\n";
    }
    return prompt;
}

/** Reads an optional whole number within 1 and a bound. */
core::Expected<std::optional<std::int64_t>> numberOf(const json &body, const char *name, std::int64_t maximum)
{
    const auto it = body.find(name);
    if (it == body.end() || it->is_null()) {
        return std::nullopt;
    }
    if (!it->is_number_integer() || it->get<std::int64_t>() < 1 || it->get<std::int64_t>() > maximum) {
        return badBody(std::string(name) + " must be a whole number from 1 to " + std::to_string(maximum) + ".");
    }
    return it->get<std::int64_t>();
}

std::optional<std::string> problemOf(const json &body)
{
    if (!body.is_object()) {
        return "The body must be a JSON object.";
    }
    if (!body.contains("model") || !body["model"].is_string()) {
        return "model must be a text.";
    }
    if (!body.contains("messages") || !body["messages"].is_array() || body["messages"].empty()) {
        return "messages must be a list that is not empty.";
    }
    for (const json &message : body["messages"]) {
        if (!message.is_object() || !message.contains("role") || !message["role"].is_string()) {
            return "Each message must be an object with a role.";
        }
    }
    if (body.contains("stream") && !body["stream"].is_boolean() && !body["stream"].is_null()) {
        return "stream must be true or false.";
    }
    return std::nullopt;
}

} // namespace

core::Expected<ChatRequest> parseChatRequest(const std::string &body)
{
    core::Expected<json> document = parseJson(body);
    if (!document.has_value()) {
        return tl::make_unexpected(document.error());
    }
    const std::optional<std::string> problem = problemOf(*document);
    if (problem.has_value()) {
        return badBody(*problem);
    }

    // Bound of generated tokens: the newer name goes before the older one.
    const core::Expected<std::optional<std::int64_t>> newer = numberOf(*document, "max_completion_tokens", MAX_TOKENS);
    const core::Expected<std::optional<std::int64_t>> older = numberOf(*document, "max_tokens", MAX_TOKENS);
    const core::Expected<std::optional<std::int64_t>> choices = numberOf(*document, "n", MAX_CHOICES);
    for (const core::Expected<std::optional<std::int64_t>> *number : {&newer, &older, &choices}) {
        if (!number->has_value()) {
            return tl::make_unexpected(number->error());
        }
    }

    ChatRequest request;
    request.model = document->at("model").get<std::string>();
    request.isStream = document->contains("stream") && document->at("stream") == true;
    const std::optional<std::int64_t> bound = newer->has_value() ? *newer : *older;
    if (bound.has_value()) {
        request.maxTokens = *bound * choices->value_or(1);
    }
    const std::string prompt = promptOf(*document);
    request.promptTokens = static_cast<core::Tokens>(prompt.size() / BYTES_PER_TOKEN + TOKENS_PER_MESSAGE * document->at("messages").size());
    request.prefixHashes = prefixHashes(request.model, prompt);

    // Keys have no place in the body.
    for (auto it = document->begin(); it != document->end();) {
        it = isKeyField(it.key()) ? document->erase(it) : std::next(it);
    }
    request.body = document->dump();
    return request;
}

std::vector<std::uint64_t> prefixHashes(const std::string &model, const std::string &prompt)
{
    std::vector<std::uint64_t> hashes;
    std::uint64_t hash = XXH64(model.data(), model.size(), 0);
    const std::size_t blocks = std::min(prompt.size() / BLOCK_BYTES, MAX_BLOCKS);
    for (std::size_t i = 0; i < blocks; ++i) {
        hash = XXH64(prompt.data() + i * BLOCK_BYTES, BLOCK_BYTES, hash);
        hashes.push_back(hash);
    }
    return hashes;
}

std::string promptText(const std::string &body)
{
    const core::Expected<json> document = parseJson(body);
    return document.has_value() && !problemOf(*document).has_value() ? promptOf(*document) : "";
}

} // namespace snipeferry::http
