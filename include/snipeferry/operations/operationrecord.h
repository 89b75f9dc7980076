#pragma once

#include "snipeferry/core/error.h"
#include "snipeferry/node/messages.h"
#include "snipeferry/operations/storedanswer.h"

#include <optional>
#include <string>

/**
 * Record of a claimed idempotency key in the platform's store.
 */
namespace snipeferry::operations {

/** Progress of a claimed operation. */
enum class OperationState {
    /** The instance that holds the claim may be running it. */
    Claimed,
    /** It ran, and the answer is stored. */
    Answered,
    /** It ran; the answer was too large to be stored. */
    Ran,
    /** It may have run; no complete answer was received. */
    Unknown,
};

NLOHMANN_JSON_SERIALIZE_ENUM(OperationState,
    {{OperationState::Claimed, "claimed"}, {OperationState::Answered, "answered"}, {OperationState::Ran, "ran"}, {OperationState::Unknown, "unknown"}})

/** A claim and, once known, the outcome of its run. */
struct OperationRecord
{
    /** Identifies the claim, so that its holder recognizes it when it reads the record back. */
    std::string nonce;
    /** Digest of the request; a different request under the same key is a conflict. */
    std::string requestDigest;
    OperationState state = OperationState::Claimed;
    /** Wall-clock time of the claim. It affects only which refusal a repeated call gets, never whether a call runs. */
    absl::Time claimedAt;
    std::optional<StoredAnswer> answer;

    SNIPEFERRY_VALUE(OperationRecord, nonce, requestDigest, state, claimedAt, answer)
};

/** @brief Returns the SHA-256 digest of a text in lower-case hexadecimal. */
std::string sha256Hex(const std::string &text);

/** @brief Returns the digest of a request's service, method, path and body. */
std::string requestDigest(const node::CallerRequest &request);

/** @brief Returns the store key of a claim's record; it contains the caller's key only as a digest. */
std::string recordKey(const core::CustomerId &customer, const std::string &idempotencyKey);

/** @brief Parses a record; returns nothing if the text is not a valid record. */
std::optional<OperationRecord> parseRecord(const std::string &value);

/** @brief Returns the refusal for a repeated call whose first run has no stored answer. */
core::Error makeRefusal(OperationState state);

/** @brief Whether an answer is small enough to be stored. */
bool isStorable(const StoredAnswer &answer, std::size_t maxBytes);

} // namespace snipeferry::operations
