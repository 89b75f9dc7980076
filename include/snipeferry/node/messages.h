#pragma once

#include "snipeferry/configuration/configuration.h"
#include "snipeferry/core/error.h"
#include "snipeferry/core/header.h"
#include "snipeferry/core/value.h"

#include <string>
#include <vector>

/**
 * Parsed caller requests and the messages that instances exchange to forward a request and to share the configuration.
 */
namespace snipeferry::node {

using core::Header;

/** A caller's request after parsing. The API key is replaced by its digest and removed from path, headers and body. */
struct CallerRequest
{
    core::RequestId id;
    /** SHA-256 digest of the caller's API key in lower-case hexadecimal; empty if the request has no key. */
    std::string keyDigest;
    core::ServiceId service;
    std::string method;
    /** Path and query relative to the service, with the API key removed. */
    std::string path;
    /** Headers to pass on to the backend server; none of them contains an API key. */
    std::vector<Header> headers;
    std::string body;
    /** Value of the caller's Idempotency-Key header; empty if there is none. */
    std::string idempotencyKey;
    /** Operation number issued by POST /v1/operations; empty if there is none. */
    std::string operationNumber;
    bool isStream = false;
    /** Maximum number of tokens that the request can use, prompt included. */
    core::Tokens tokenBound = 0;
    core::Tokens promptTokens = 0;
    /** Hashes of the prompt's prefixes, one per leading block, the longest prefix last. */
    std::vector<std::uint64_t> prefixHashes;

    SNIPEFERRY_VALUE(
        CallerRequest, id, keyDigest, service, method, path, headers, body, idempotencyKey, operationNumber, isStream, tokenBound, promptTokens, prefixHashes)
};

/** Forwards a request to an instance of another data centre. The receiver runs or refuses the request and never forwards it again. */
struct ForwardRequest
{
    CallerRequest request;
    /** The instance that received the request from the caller; only that instance forwards it. */
    core::InstanceId origin;
    core::CustomerId customer;
    /** Backend server version that the origin has chosen. */
    core::VersionId version;
    /** Revision of the origin's configuration when the message was sent. */
    core::Revision revision = 0;
    /** Time left until the first byte of the answer is due. */
    absl::Duration timeLeft;

    SNIPEFERRY_VALUE(ForwardRequest, request, origin, customer, version, revision, timeLeft)
};

/** Status and headers of the answer to a forwarded request. */
struct ForwardHead
{
    core::RequestId id;
    int status = 0;
    std::vector<Header> headers;

    SNIPEFERRY_VALUE(ForwardHead, id, status, headers)
};

/** A chunk of the answer to a forwarded request. */
struct ForwardChunk
{
    core::RequestId id;
    /** Index of this chunk within the answer, starting from 0. */
    std::uint64_t sequence = 0;
    std::string data;

    SNIPEFERRY_VALUE(ForwardChunk, id, sequence, data)
};

/** Marks the answer to a forwarded request as complete. */
struct ForwardEnd
{
    core::RequestId id;
    /** Total number of chunks, by which the origin detects that a chunk was lost. */
    std::uint64_t pieces = 0;
    /** Tokens that the request used. */
    core::Tokens tokensUsed = 0;

    SNIPEFERRY_VALUE(ForwardEnd, id, pieces, tokensUsed)
};

/** Reports to the origin that the receiving instance refused a forwarded request or failed to run it. */
struct ForwardFailed
{
    core::RequestId id;
    /** Name of the core::ErrorKind. */
    std::string kind;
    std::string message;
    /** Name of the core::RanState: whether the request ran. */
    std::string ranState;
    std::optional<absl::Duration> retryAfter;

    SNIPEFERRY_VALUE(ForwardFailed, id, kind, message, ranState, retryAfter)
};

/** Cancels a forwarded request because its caller has disconnected. */
struct ForwardCancel
{
    core::RequestId id;

    SNIPEFERRY_VALUE(ForwardCancel, id)
};

/** Announces the sender's configuration revision; a receiver with an older one requests the configuration. */
struct ConfigurationNotice
{
    core::Revision revision = 0;

    SNIPEFERRY_VALUE(ConfigurationNotice, revision)
};

/** Requests the receiver's configuration. */
struct ConfigurationRequest
{
    /** Revision that the sender of this message already has. */
    core::Revision knownRevision = 0;

    SNIPEFERRY_VALUE(ConfigurationRequest, knownRevision)
};

/** Transfers the sender's complete configuration. */
struct ConfigurationTransfer
{
    configuration::Configuration configuration;

    SNIPEFERRY_VALUE(ConfigurationTransfer, configuration)
};

} // namespace snipeferry::node
