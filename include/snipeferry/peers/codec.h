#pragma once

#include "snipeferry/core/error.h"
#include "snipeferry/messages/peermessage.h"

#include <cstddef>
#include <string>

/**
 * Wire format of peer messages: a CBOR array of protocol version, message number and body.
 */
namespace snipeferry::peers {

constexpr int PROTOCOL_VERSION = 1;
/** Deepest nesting of CBOR arrays and maps in one frame. Parsing stops at the first level beyond it. */
constexpr std::size_t MAX_NESTING_LEVELS = 16;
/** Largest number of CBOR values in one frame. A frame with more is refused. */
constexpr std::size_t MAX_FRAME_VALUES = 500'000;

/** @brief Encodes a message as CBOR. The message number is its index in the PeerMessage variant. */
std::string encode(const messages::PeerMessage &message);

/**
 * @brief Decodes a message. Never throws; memory use is bounded by the size of the frame and by MAX_FRAME_VALUES.
 * @param frame the bytes of one whole frame
 * @return the message, or an error of kind ErrorKind::BadRequest that says what is wrong
 */
core::Expected<messages::PeerMessage> decode(const std::string &frame);

} // namespace snipeferry::peers
