#pragma once

#include "snipeferry/core/value.h"

#include <optional>
#include <string>
#include <variant>
#include <vector>

/**
 * What decision parts ask of the platform's key-value service, and what they hear back.
 *
 * The shape follows the etcd v3 API; keys and values are plain bytes here, base64 only on the wire.
 */
namespace snipeferry::platform {

/** Identifies a call among the calls of one instance. */
using CallId = std::uint64_t;

/** One key with its value and revisions. */
struct KeyValue
{
    std::string key;
    std::string value;
    /** Store revision of the last change; 0 when the key is absent. */
    std::int64_t modRevision = 0;

    SNIPEFERRY_VALUE(KeyValue, key, value, modRevision)
};

/** Reads one key, or all keys with a prefix. */
struct Read
{
    std::string key;
    bool isPrefix = false;

    SNIPEFERRY_VALUE(Read, key, isPrefix)
};

/** Condition of a transaction: the key was last changed at this revision; 0 means that it is absent. */
struct Compare
{
    std::string key;
    std::int64_t modRevision = 0;

    SNIPEFERRY_VALUE(Compare, key, modRevision)
};

/** One write of a transaction. Without a value the key is deleted. */
struct Write
{
    std::string key;
    std::optional<std::string> value;
    /** Key disappears with the lease; 0 for none. */
    std::int64_t leaseId = 0;

    SNIPEFERRY_VALUE(Write, key, value, leaseId)
};

/** Applies all writes if all conditions hold; otherwise reads the compared keys back. */
struct Transaction
{
    std::vector<Compare> conditions;
    std::vector<Write> writes;

    SNIPEFERRY_VALUE(Transaction, conditions, writes)
};

/** Grants a lease. */
struct LeaseGrant
{
    absl::Duration timeToLive;

    SNIPEFERRY_VALUE(LeaseGrant, timeToLive)
};

/** Renews a lease. */
struct LeaseKeepAlive
{
    std::int64_t leaseId = 0;

    SNIPEFERRY_VALUE(LeaseKeepAlive, leaseId)
};

/** One call to the platform. */
struct Call
{
    CallId id = 0;
    std::variant<Read, Transaction, LeaseGrant, LeaseKeepAlive> request;
    /** The answer is not waited for longer than this. */
    absl::Duration timeout = absl::Seconds(2);
};

/** How a call ended, as far as the caller can know. */
enum class Outcome {
    /** The platform answered. */
    Answered,
    /** The call had no effect: it never reached the platform. */
    NotSent,
    /** No answer came; the call may have taken effect. */
    Unknown,
};

/** Answer to one call. */
struct Reply
{
    CallId id = 0;
    Outcome outcome = Outcome::Unknown;
    /** For transactions: all conditions held. For leases: granted, or still alive. */
    bool succeeded = false;
    /** Keys read; for a failed transaction the compared keys that exist. */
    std::vector<KeyValue> values;
    /** Store revision at which the call was answered. */
    std::int64_t storeRevision = 0;
    /** For leases. */
    std::int64_t leaseId = 0;
};

/** A watched key changed; an absent value means that it was deleted. */
struct WatchEvent
{
    std::string key;
    std::optional<std::string> value;
    std::int64_t modRevision = 0;
};

} // namespace snipeferry::platform
