#pragma once

#include "snipeferry/core/error.h"
#include "snipeferry/core/header.h"
#include "snipeferry/core/value.h"

#include <optional>
#include <string>
#include <vector>

/**
 * HTTP messages and requests as the gateway's decision logic sees them.
 */
namespace snipeferry::gateway {

using core::Header;
using core::Headers;

/** A complete HTTP request without its hop-by-hop headers. */
struct HttpRequest
{
    std::string method;
    /** Path and query as sent. */
    std::string target;
    Headers headers;
    std::string body;

    SNIPEFERRY_VALUE(HttpRequest, method, target, headers, body)
};

/** Head of an HTTP response. */
struct HttpHead
{
    int status = 0;
    Headers headers;

    SNIPEFERRY_VALUE(HttpHead, status, headers)
};

/** One part of a prompt. Requests whose leading parts are the same can use the same KV cache for them. */
struct PromptPart
{
    std::string id;
    std::int64_t tokens = 0;

    SNIPEFERRY_VALUE(PromptPart, id, tokens)
};

/** A caller's request after decoding. It contains a digest of the caller's key instead of the key. */
struct CallerRequest
{
    /** Chosen by the caller; the same at every instance and backend server. */
    core::RequestId id;
    std::string host;
    /** The request as a backend server receives it, without the headers that each run adds. */
    HttpRequest http;
    /** SHA-256 digest of the caller's key; empty without a key. */
    std::string keyDigest;
    /** How long the caller waits from now on; infinite if it states no limit. */
    absl::Duration timeLimit = absl::InfiniteDuration();
    bool hasTokenCounts = false;
    std::int64_t promptTokens = 0;
    /** Highest number of tokens to generate. */
    std::int64_t outputTokens = 0;
    std::vector<PromptPart> promptParts;
    /** Identifier of the last event that the caller has received; empty for none. */
    std::string lastEventId;
    /** Identifier of the request as a whole, by requestFingerprint(); empty before the customer is known, and from instances of earlier builds. */
    std::string fingerprint;

    SNIPEFERRY_EXTENDED_VALUE(
        CallerRequest, fingerprint, id, host, http, keyDigest, timeLimit, hasTokenCounts, promptTokens, outputTokens, promptParts, lastEventId)
};

/** Headers that the gateway adds to the caller's request when it sends it to a backend server. */
struct RunHeaders
{
    core::BackendServerId server;
    core::CustomerId customer;
    absl::Duration timeLimit;
    int priority = 5;
    /** Identifier of the last complete event that the caller has received; empty at the start of a stream. */
    std::string lastEventId;
    /** Address of a backend server from which to copy the KV cache of the prompt; empty for none. */
    std::string memorySource;

    SNIPEFERRY_VALUE(RunHeaders, server, customer, timeLimit, priority, lastEventId, memorySource)
};

/** What the headers of a backend server's answer say about the run. */
struct RunReport
{
    /** Identifier of the answered request; empty if the answer does not contain it. */
    core::RequestId request;
    /** The backend server states that it did not run the request and never will. */
    bool isNotRun = false;
    /** A different backend server has this address now. */
    bool isWrongServer = false;
    /** The answer carries the receipt that confirms a complete answer. */
    bool hasReceipt = false;
    /** Requests that the backend server is processing; -1 if the answer does not state it. */
    int running = -1;
    /** Requests in the backend server's queue; -1 if the answer does not state it. */
    int waiting = -1;
    /** Requests that the backend server can process at once; -1 if the answer does not state it. */
    int slots = -1;
    /** How long work takes on the backend server now in proportion to what is usual there, as it states it; 1 is usual. Empty if it does not state it. */
    std::optional<double> momentaryCost;
    /** The answer states a load that cannot be read; no part of it is used. */
    bool isLoadUnreadable = false;
    /** Why the load cannot be read, as a word for the log; empty if it can be. */
    std::string loadFault;
    /** Requests per second that the backend server takes from all instances together; empty if it names no limit. */
    std::optional<double> requestLimit;
    /** The answer names a limit that cannot be read. */
    bool isLimitUnreadable = false;
    /** The backend server is leaving and wants no more work. */
    bool isLeaving = false;
    /** Seconds for which a backend server that turned the request away wants no work from this instance; empty if it names none. */
    std::optional<double> pauseSeconds;
    /** The answer names such a time that cannot be read. */
    bool isPauseUnreadable = false;
    /** Requests per second that the backend server can turn away for want of room before it fails; empty if it does not say that it is brittle. */
    std::optional<double> brittleRate;
    /** The answer names such a rate that cannot be read. */
    bool isBrittleRateUnreadable = false;
    /** How long the backend server remains cold; empty if the answer does not state it. */
    std::optional<absl::Duration> coldLeft;
    /** The answer names such a time that cannot be read. */
    bool isColdTimeUnreadable = false;

    SNIPEFERRY_VALUE(RunReport, request, isNotRun, isWrongServer, hasReceipt, running, waiting, slots, momentaryCost, isLoadUnreadable, loadFault, requestLimit,
        isLimitUnreadable, isLeaving, pauseSeconds, isPauseUnreadable, brittleRate, isBrittleRateUnreadable, coldLeft, isColdTimeUnreadable)
};

/** Strategy that decodes and encodes the HTTP headers that the callers and backend servers of one deployment use. */
class HeaderCodec
{
public:
    virtual ~HeaderCodec() = default;

    /** @brief Identifier that the caller has chosen for the request; empty without one. */
    virtual core::RequestId requestId(const HttpRequest &request) const = 0;

    /** @brief Decodes a caller's request; BadRequest if a required header is missing. */
    virtual core::Expected<CallerRequest> decodeRequest(HttpRequest request) const = 0;

    /** @brief Adds the headers of a run to a request. */
    virtual void encodeRun(HttpRequest &request, const RunHeaders &run) const = 0;

    /** @brief The question for a backend server's state, at its path for health checks. */
    virtual HttpRequest stateQuestion(const core::BackendServerId &server, const std::string &path) const = 0;

    /** @brief Decodes what the headers of an answer say about the run, or about the state that was asked for. */
    virtual RunReport decodeAnswer(const HttpHead &head) const = 0;

    /** @brief Headers of an error answer that the gateway itself sends. */
    virtual Headers answerHeaders(const core::RequestId &request, const core::Error &error) const = 0;
};

} // namespace snipeferry::gateway
