#pragma once

#include "snipeferry/configuration/configuration.h"
#include "snipeferry/core/error.h"
#include "snipeferry/core/header.h"
#include "snipeferry/core/value.h"

#include <string>
#include <vector>

/**
 * A request and its answer, as the decision parts and the peer links see them.
 */
namespace snipeferry::node {

using core::Header;

/** A caller's request after parsing. Keys of callers are already replaced by the digest and stripped from every part. */
struct CallerRequest
{
    core::RequestId id;
    /** SHA-256 digest of the caller's key in lower-case hexadecimal; empty without a key. */
    std::string keyDigest;
    core::ServiceId service;
    std::string method;
    /** Path and query relative to the service, without any key. */
    std::string path;
    /** Headers passed on; none of them carries a key. */
    std::vector<Header> headers;
    std::string body;
    /** The caller's Idempotency-Key, or empty. */
    std::string idempotencyKey;
    /** Number issued by POST /v1/operations, or empty. */
    std::string operationNumber;
    bool isStream = false;
    /** Upper bound of the tokens that the request can use, prompt included. */
    core::Tokens tokenBound = 0;
    core::Tokens promptTokens = 0;
    /** Hashes of the prompt's leading blocks, longest prefix last. */
    std::vector<std::uint64_t> prefixHashes;

    SNIPEFERRY_VALUE(
        CallerRequest, id, keyDigest, service, method, path, headers, body, idempotencyKey, operationNumber, isStream, tokenBound, promptTokens, prefixHashes)
};

/** Sends a request to an instance of another data centre, which runs it there or refuses it; it is never sent on. */
struct ForwardRequest
{
    CallerRequest request;
    /** The instance that the caller asked; only that instance forwards. */
    core::InstanceId origin;
    core::CustomerId customer;
    /** Version chosen by a rollout at the origin. */
    core::VersionId version;
    /** Revision of the origin's configuration. */
    core::Revision revision = 0;
    /** Time left until the first byte is due. */
    absl::Duration timeLeft;

    SNIPEFERRY_VALUE(ForwardRequest, request, origin, customer, version, revision, timeLeft)
};

/** Head of a forwarded request's answer. */
struct ForwardHead
{
    core::RequestId id;
    int status = 0;
    std::vector<Header> headers;

    SNIPEFERRY_VALUE(ForwardHead, id, status, headers)
};

/** Next piece of a forwarded request's answer. */
struct ForwardChunk
{
    core::RequestId id;
    /** Counts the pieces of this answer from 0. */
    std::uint64_t sequence = 0;
    std::string data;

    SNIPEFERRY_VALUE(ForwardChunk, id, sequence, data)
};

/** End of a forwarded request's answer. */
struct ForwardEnd
{
    core::RequestId id;
    /** Number of pieces, so that a lost piece shows. */
    std::uint64_t pieces = 0;
    /** Tokens that were used. */
    core::Tokens tokensUsed = 0;

    SNIPEFERRY_VALUE(ForwardEnd, id, pieces, tokensUsed)
};

/** A forwarded request failed or was refused where it should have run. */
struct ForwardFailed
{
    core::RequestId id;
    /** Stable name of the error kind. */
    std::string kind;
    std::string message;
    /** Stable name of the run state. */
    std::string ranState;
    std::optional<absl::Duration> retryAfter;

    SNIPEFERRY_VALUE(ForwardFailed, id, kind, message, ranState, retryAfter)
};

/** The caller of a forwarded request has gone. */
struct ForwardCancel
{
    core::RequestId id;

    SNIPEFERRY_VALUE(ForwardCancel, id)
};

/** Says which configuration the sender has; a receiver with an older one asks for it. */
struct ConfigurationNotice
{
    core::Revision revision = 0;

    SNIPEFERRY_VALUE(ConfigurationNotice, revision)
};

/** Asks for the receiver's configuration. */
struct ConfigurationRequest
{
    core::Revision knownRevision = 0;

    SNIPEFERRY_VALUE(ConfigurationRequest, knownRevision)
};

/** The sender's whole configuration. */
struct ConfigurationTransfer
{
    configuration::Configuration configuration;

    SNIPEFERRY_VALUE(ConfigurationTransfer, configuration)
};

} // namespace snipeferry::node
