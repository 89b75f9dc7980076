#pragma once

#include "snipeferry/core/error.h"
#include "snipeferry/platform/messages.h"

#include <string>
#include <vector>

/**
 * JSON of the etcd v3 gateway: keys and values in base64, 64-bit numbers as strings.
 */
namespace snipeferry::platform {

/** Path and JSON body of one POST. */
struct GatewayRequest
{
    std::string path;
    std::string body;
};

/** One message of a watch stream. */
struct WatchBatch
{
    /** Store revision at which the message was sent. */
    std::int64_t storeRevision = 0;
    /** The store ended the watch, for instance because the start revision was compacted. */
    bool isCancelled = false;
    std::vector<WatchEvent> events;
};

std::string toBase64(const std::string &bytes);

/** @brief Decodes base64; nothing when the text is none. */
std::optional<std::string> fromBase64(const std::string &text);

/** @brief First key after all keys with the prefix. */
std::string prefixEnd(std::string prefix);

/** @brief Encodes a call as a POST of the gateway. */
GatewayRequest encodeCall(const Call &call);

/**
 * @brief Decodes the answer to a call.
 * @param call the call; its kind decides the answer's shape
 * @param body the answer's JSON
 * @return the reply with outcome Answered, or PlatformUnavailable for anything that is no such answer
 */
core::Expected<Reply> decodeReply(const Call &call, const std::string &body);

/** @brief Encodes the creation of a watch on all keys with a prefix, from a store revision on. */
GatewayRequest encodeWatch(const std::string &prefix, std::int64_t startRevision);

/** @brief Decodes one line of a watch stream. */
core::Expected<WatchBatch> decodeWatchLine(const std::string &line);

} // namespace snipeferry::platform
