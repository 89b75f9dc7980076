#pragma once

#include "snipeferry/limits/messages.h"
#include "snipeferry/membership/messages.h"
#include "snipeferry/node/messages.h"
#include "snipeferry/peak/messages.h"
#include "snipeferry/rollout/messages.h"

#include <variant>

/**
 * All messages that instances exchange. A message is identified on the wire by its index in this list, so new messages must
 * be added at the end.
 */
namespace snipeferry::messages {

using PeerMessage
    = std::variant<membership::Hello, membership::Heartbeat, node::ForwardRequest, node::ForwardHead, node::ForwardChunk, node::ForwardEnd, node::ForwardFailed,
        node::ForwardCancel, node::ConfigurationNotice, node::ConfigurationRequest, node::ConfigurationTransfer, limits::TokenRequest, limits::TokenGrant,
        limits::TokenReturn, limits::SlotRenewal, limits::SlotPromise, rollout::EvidenceReport, rollout::StageNotice, peak::LedgerReport, membership::Pulse>;

} // namespace snipeferry::messages
