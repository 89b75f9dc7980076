#pragma once

#include "snipeferry/core/error.h"
#include "snipeferry/core/header.h"
#include "snipeferry/core/value.h"

#include <string>
#include <vector>

/**
 * HTTP messages and requests as the gateway's decision parts see them.
 */
namespace snipeferry::gateway {

using core::Header;
using core::Headers;

/** A whole HTTP request. Headers that concern only one connection are left out. */
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

/** One part of a prompt; requests that share leading parts share their cached state. */
struct PromptPart
{
    std::string id;
    std::int64_t tokens = 0;

    SNIPEFERRY_VALUE(PromptPart, id, tokens)
};

/** A caller's request, decoded. The caller's key is not in it any more. */
struct CallerRequest
{
    /** Stated by the caller; the same at each instance and backend server. */
    core::RequestId id;
    std::string host;
    /** What a backend server gets, apart from what each run adds. */
    HttpRequest http;
    /** SHA-256 digest of the caller's key; empty without a key. */
    std::string keyDigest;
    /** Time that the caller will wait from now on; infinite if it does not say. */
    absl::Duration timeLimit = absl::InfiniteDuration();
    bool hasTokenCounts = false;
    std::int64_t promptTokens = 0;
    /** Upper bound of generated tokens. */
    std::int64_t outputTokens = 0;
    std::vector<PromptPart> promptParts;
    /** Last event that the caller has, or empty. */
    std::string lastEventId;

    SNIPEFERRY_VALUE(CallerRequest, id, host, http, keyDigest, timeLimit, hasTokenCounts, promptTokens, outputTokens, promptParts, lastEventId)
};

/** What a run tells its backend server beside the caller's own request. */
struct RunHeaders
{
    core::BackendServerId server;
    core::CustomerId customer;
    absl::Duration timeLimit;
    int priority = 5;
    /** Last whole event that the caller has; empty at the start of a stream. */
    std::string lastEventId;
    /** Address of a backend server from which to take over what it keeps of the prompt; empty for none. */
    std::string memorySource;

    SNIPEFERRY_VALUE(RunHeaders, server, customer, timeLimit, priority, lastEventId, memorySource)
};

/** What a backend server's answer says of the run. */
struct RunReport
{
    /** Identifier of the request that the answer belongs to; empty if it does not say. */
    core::RequestId request;
    /** The backend server states that it did not run the request and never will. */
    bool isNotRun = false;
    /** Another backend server has this address now. */
    bool isWrongServer = false;
    /** The receipt that belongs to whole answers is there. */
    bool hasReceipt = false;
    int running = -1;
    int waiting = -1;

    SNIPEFERRY_VALUE(RunReport, request, isNotRun, isWrongServer, hasReceipt, running, waiting)
};

/** Strategy that decodes and encodes the headers of one deployment's callers and backend servers. */
class HeaderCodec
{
public:
    virtual ~HeaderCodec() = default;

    /** @brief Identifier that a caller gave its request; empty without one. */
    virtual core::RequestId requestId(const HttpRequest &request) const = 0;

    /** @brief Decodes a caller's request; BadRequest if it lacks what every request states. */
    virtual core::Expected<CallerRequest> decodeRequest(HttpRequest request) const = 0;

    /** @brief Adds what a run tells its backend server. */
    virtual void encodeRun(HttpRequest &request, const RunHeaders &run) const = 0;

    /** @brief Reads what an answer's head says of its run. */
    virtual RunReport decodeAnswer(const HttpHead &head) const = 0;

    /** @brief Headers of an answer that the gateway gives itself. */
    virtual Headers answerHeaders(const core::RequestId &request, const core::Error &error) const = 0;
};

} // namespace snipeferry::gateway
