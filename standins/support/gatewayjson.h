#pragma once

#include "snipeferry/platform/messages.h"

#include <nlohmann/json.hpp>

#include <string>

/**
 * The gateway's JSON as the server sees it. Decoders throw std::exception for what is not understood.
 */
namespace snipeferry::standins {

platform::Read decodeRange(const nlohmann::json &body);
platform::Transaction decodePut(const nlohmann::json &body);
platform::Transaction decodeDeleteRange(const nlohmann::json &body);
platform::Transaction decodeTransaction(const nlohmann::json &body);
platform::LeaseGrant decodeLeaseGrant(const nlohmann::json &body);
platform::LeaseKeepAlive decodeLeaseKeepAlive(const nlohmann::json &body);

/** What a watch asks for. */
struct WatchRequest
{
    std::string prefix;
    std::int64_t startRevision = 0;
};

WatchRequest decodeWatch(const nlohmann::json &body);

nlohmann::json encodeRange(const platform::Reply &reply);
nlohmann::json encodeWrite(const platform::Reply &reply);
nlohmann::json encodeTransaction(const platform::Reply &reply);
nlohmann::json encodeLeaseGrant(const platform::Reply &reply);
nlohmann::json encodeLeaseKeepAlive(const platform::Reply &reply);
nlohmann::json encodeWatch(std::int64_t storeRevision, const std::vector<platform::WatchEvent> &events);

} // namespace snipeferry::standins
