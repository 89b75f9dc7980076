#pragma once

#include "snipeferry/core/error.h"
#include "snipeferry/gateway/fleetmessages.h"

#include <string>

namespace snipeferry::net {

/** @brief A message as CBOR: an array of its place in FleetMessage and its fields. */
std::string encodeFleetMessage(const gateway::FleetMessage &message);

/** @brief Reads a message; BadRequest for bytes that are none. */
core::Expected<gateway::FleetMessage> decodeFleetMessage(const std::string &bytes);

} // namespace snipeferry::net
