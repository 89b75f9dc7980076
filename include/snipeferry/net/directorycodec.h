#pragma once

#include "snipeferry/core/error.h"
#include "snipeferry/gateway/message.h"

#include <optional>
#include <string>
#include <vector>

namespace snipeferry::net {

/** A caller's question where to connect. */
struct PlaceQuery
{
    core::RegionId region;
    core::DataCentreId dataCentre;
};

/** Strategy for the calls that are answered beside requests: readiness and directory. */
class DirectoryCodec
{
public:
    virtual ~DirectoryCodec() = default;
    virtual bool isReadinessCall(const gateway::HttpRequest &request) const = 0;

    /** @brief Decodes a directory call; nothing for other calls. */
    virtual std::optional<PlaceQuery> decodePlaceQuery(const gateway::HttpRequest &request) const = 0;

    /** @brief Body of a directory answer. */
    virtual std::string encodeAddresses(const std::vector<std::string> &addresses, absl::Duration timeToLive) const = 0;
};

} // namespace snipeferry::net
