#include "snipeferry/http/requestparser.h"

#include "snipeferry/http/chatrequest.h"

#include <absl/strings/escaping.h>
#include <absl/strings/match.h>
#include <openssl/rand.h>

#include <algorithm>
#include <array>

namespace snipeferry::http {

namespace {

constexpr std::size_t REQUEST_ID_BYTES = 12;
constexpr std::size_t MAX_KEY_CHARACTERS = 255;
constexpr const char IDEMPOTENCY_HEADER[] = "Idempotency-Key";
constexpr const char OPERATION_HEADER[] = "Operation-Number";

/** Headers that the system itself sets towards backend servers; what callers send there is dropped. */
constexpr std::array<const char *, 9> RESERVED_HEADERS
    = {"X-Request-Id", IDEMPOTENCY_HEADER, OPERATION_HEADER, "Priority", "X-Priority", "X-Resume-Token", "X-Fencing-Number", "X-Fencing-Token", "X-Customer"};

tl::unexpected<core::Error> bad(const std::string &message)
{
    return tl::make_unexpected(core::makeError(core::ErrorKind::BadRequest, message));
}

bool isReserved(const std::string &name)
{
    return absl::StartsWithIgnoreCase(name, "X-Snipeferry-")
        || std::any_of(RESERVED_HEADERS.begin(), RESERVED_HEADERS.end(), [&](const char *header) { return isHeaderName(name, header); });
}

/** Reads a header that may stand once only and holds visible characters. */
core::Expected<std::string> singleHeader(const core::Headers &headers, const std::string &name)
{
    const auto count = std::count_if(headers.begin(), headers.end(), [&](const core::Header &header) { return isHeaderName(header.name, name); });
    const std::string value = headerValue(headers, name);
    const bool isVisible = std::all_of(value.begin(), value.end(), [](char c) { return c > ' ' && c < 0x7f; });
    if (count > 1 || (count == 1 && (value.empty() || value.size() > MAX_KEY_CHARACTERS || !isVisible))) {
        return bad(name + " must stand once, with 1 to 255 visible characters.");
    }
    return value;
}

/** Fills what chat requests and calls of plain services have in common. */
core::Expected<node::CallerRequest> parseCommon(const KeylessRequest &request, const ParseContext &context)
{
    const core::Expected<std::string> idempotencyKey = singleHeader(request.headers, IDEMPOTENCY_HEADER);
    const core::Expected<std::string> operationNumber = singleHeader(request.headers, OPERATION_HEADER);
    if (!idempotencyKey.has_value() || !operationNumber.has_value()) {
        return tl::make_unexpected(idempotencyKey.has_value() ? operationNumber.error() : idempotencyKey.error());
    }
    if (!idempotencyKey->empty() && !operationNumber->empty()) {
        return bad("Idempotency-Key and Operation-Number exclude each other.");
    }

    node::CallerRequest result;
    result.id = context.id;
    result.keyDigest = request.keyDigest;
    result.idempotencyKey = *idempotencyKey;
    result.operationNumber = *operationNumber;
    for (const core::Header &header : request.headers) {
        if (!isReserved(header.name)) {
            result.headers.push_back(header);
        }
    }
    return result;
}

} // namespace

core::Expected<node::CallerRequest> parseChat(const KeylessRequest &request, const ParseContext &context)
{
    core::Expected<node::CallerRequest> result = parseCommon(request, context);
    if (!result.has_value()) {
        return result;
    }
    core::Expected<ChatRequest> chat = parseChatRequest(request.body);
    if (!chat.has_value()) {
        return tl::make_unexpected(chat.error());
    }
    const configuration::Service *service = configuration::findModel(context.configuration, chat->model);
    if (service == nullptr) {
        return tl::make_unexpected(core::makeError(core::ErrorKind::UnknownModel, "No service has this model."));
    }
    result->service = service->id;
    result->method = "POST";
    result->path = CHAT_PATH;
    result->body = std::move(chat->body);
    result->isStream = chat->isStream;
    result->promptTokens = chat->promptTokens;
    result->tokenBound = chat->promptTokens + chat->maxTokens.value_or(service->defaultMaxTokens);
    result->prefixHashes = std::move(chat->prefixHashes);
    return result;
}

core::Expected<node::CallerRequest> parseServiceCall(const std::string &method, KeylessRequest request, const ParseContext &context)
{
    core::Expected<node::CallerRequest> result = parseCommon(request, context);
    if (!result.has_value()) {
        return result;
    }
    const std::string rest = request.target.path.substr(sizeof(SERVICES_PREFIX) - 1);
    const std::size_t slash = std::min(rest.find('/'), rest.size());
    const configuration::Service *service = configuration::findService(context.configuration, core::ServiceId(rest.substr(0, slash)));
    // A model engine is reached by the chat path only, where its tokens are counted.
    if (service == nullptr || service->type != configuration::ServiceType::PlainService) {
        return tl::make_unexpected(core::makeError(core::ErrorKind::UnknownService, "No plain service has this name."));
    }
    request.target.path = slash < rest.size() ? rest.substr(slash) : "/";
    result->service = service->id;
    result->method = method;
    result->path = request.target.pathAndQuery();
    result->body = std::move(request.body);
    const configuration::Route *route = configuration::findRoute(*service, request.target.path);
    result->tokenBound = route != nullptr ? route->callCost : 1;
    return result;
}

core::RequestId newRequestId()
{
    std::array<unsigned char, REQUEST_ID_BYTES> bytes = {};
    RAND_bytes(bytes.data(), static_cast<int>(bytes.size()));
    return core::RequestId("req-" + std::string(absl::BytesToHexString(absl::string_view(reinterpret_cast<const char *>(bytes.data()), bytes.size()))));
}

} // namespace snipeferry::http
