#include "snipeferry/operations/operationrecord.h"

#include "snipeferry/platform/keys.h"

#include <absl/strings/escaping.h>
#include <openssl/sha.h>

#include <array>

namespace snipeferry::operations {

namespace {

/** When a caller may repeat a call that was refused because the first one is still running. */
constexpr absl::Duration IN_PROGRESS_RETRY_AFTER = absl::Seconds(1);

// Puts the length before the text. Otherwise different fields, such as "ab" + "c" and "a" + "bc", would have the same digest when joined.
std::string lengthPrefixed(const std::string &text)
{
    return std::to_string(text.size()) + ":" + text;
}

} // namespace

std::string sha256Hex(const std::string &text)
{
    std::array<unsigned char, SHA256_DIGEST_LENGTH> digest{};
    SHA256(reinterpret_cast<const unsigned char *>(text.data()), text.size(), digest.data());
    return absl::BytesToHexString(absl::string_view(reinterpret_cast<const char *>(digest.data()), digest.size()));
}

std::string requestDigest(const node::CallerRequest &request)
{
    return sha256Hex(lengthPrefixed(request.service.value()) + lengthPrefixed(request.method) + lengthPrefixed(request.path) + lengthPrefixed(request.body));
}

std::string recordKey(const core::CustomerId &customer, const std::string &idempotencyKey)
{
    return platform::OPERATION_PREFIX + customer.value() + "/" + sha256Hex(lengthPrefixed(customer.value()) + idempotencyKey);
}

std::optional<OperationRecord> parseRecord(const std::string &value)
{
    const nlohmann::json document = nlohmann::json::parse(value, nullptr, false);
    if (document.is_discarded()) {
        return std::nullopt;
    }
    try {
        return document.get<OperationRecord>();
    } catch (const nlohmann::json::exception &) {
        return std::nullopt;
    }
}

core::Error makeRefusal(OperationState state)
{
    if (state == OperationState::Claimed) {
        return core::makeError(core::ErrorKind::OperationInProgress, "another call with this key or number is running", IN_PROGRESS_RETRY_AFTER);
    }
    if (state == OperationState::Ran) {
        core::Error error = core::makeError(core::ErrorKind::OperationOutcomeUnknown, "the operation ran; its answer was not kept");
        error.ranState = core::RanState::Ran;
        return error;
    }
    return core::makeError(core::ErrorKind::OperationOutcomeUnknown, "the operation may have run; it will not run again");
}

bool isStorable(const StoredAnswer &answer, std::size_t maxBytes)
{
    std::size_t bytes = answer.body.size();
    for (const node::Header &header : answer.headers) {
        bytes += header.name.size() + header.value.size();
    }
    return bytes <= maxBytes;
}

} // namespace snipeferry::operations
