#pragma once

#include "snipeferry/core/error.h"
#include "snipeferry/node/messages.h"
#include "snipeferry/operations/storedanswer.h"

#include <optional>
#include <string>

/**
 * Records of claimed idempotency keys in the platform's store.
 */
namespace snipeferry::operations {

/** How far an operation has come, as its record says. */
enum class OperationState {
    /** The key is claimed; the instance that claimed it may be running the operation. */
    Claimed,
    /** The operation ran, and its answer is stored. */
    Answered,
    /** The operation ran, but its answer is not stored, for example because it was too large. */
    Ran,
    /** The operation may have run, but no complete answer was received. */
    Unknown,
};

NLOHMANN_JSON_SERIALIZE_ENUM(OperationState,
    {{OperationState::Claimed, "claimed"}, {OperationState::Answered, "answered"}, {OperationState::Ran, "ran"}, {OperationState::Unknown, "unknown"}})

/** Value stored under a claimed key: the claim and, once known, the outcome of the run. */
struct OperationRecord
{
    /** Text with a random part, by which an instance recognizes a record that it created itself. */
    std::string nonce;
    /** Digest of the request that claimed the key; a request with the same key but another digest is refused as a conflict. */
    std::string requestDigest;
    OperationState state = OperationState::Claimed;
    /** Wall-clock time of the claim. It decides only which error a repeated call is refused with, never whether a call runs. */
    absl::Time claimedAt;
    std::optional<StoredAnswer> answer;

    SNIPEFERRY_VALUE(OperationRecord, nonce, requestDigest, state, claimedAt, answer)
};

/** @brief Returns the SHA-256 digest of a text in lower-case hexadecimal. */
std::string sha256Hex(const std::string &text);

/** @brief Returns the digest of a request's service, method, path and body. */
std::string requestDigest(const node::CallerRequest &request);

/** @brief Returns the key of a claim's record in the platform's store. The idempotency key is contained only as a digest. */
std::string recordKey(const core::CustomerId &customer, const std::string &idempotencyKey);

/** @brief Parses a stored record; returns nothing if the text is not a valid record. */
std::optional<OperationRecord> parseRecord(const std::string &value);

/** @brief Returns the error for a repeated call when no answer of the first call is stored. */
core::Error makeRefusal(OperationState state);

/** @brief Whether the body and headers of an answer have at most this many bytes together. */
bool isStorable(const StoredAnswer &answer, std::size_t maxBytes);

} // namespace snipeferry::operations
