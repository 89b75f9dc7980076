#pragma once

#include "snipeferry/gateway/fleetmessages.h"

#include <array>
#include <cstddef>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace snipeferry::net {

/** A message to one or more other instances, encoded when it is first sent. */
class OutgoingMessage
{
public:
    explicit OutgoingMessage(gateway::FleetMessage message);

    const gateway::FleetMessage &message() const;
    const std::string &bytes();

private:
    gateway::FleetMessage m_message;
    std::string m_bytes;
};

/**
 * Messages that wait for room on the link to one instance.
 *
 * Cancellations of forwarded requests go first; one that is for a request which still waits here removes that instead. Requests, answers and transfers of
 * tokens follow, in their order. Of reports, records and their changes only the newest state waits: it replaces or
 * absorbs an older one, so that a slow link carries each state once and what waits stays bounded. Long messages leave in pieces, and what is urgent goes
 * between them.
 */
class LinkQueue
{
public:
    /** @param sendsPieces whether the other instance joins pieces; one of an earlier build does not */
    explicit LinkQueue(bool sendsPieces);

    /** @return false if the message was dropped, because too many bytes wait that cannot be replaced; cancellations are always taken */
    bool push(const std::shared_ptr<OutgoingMessage> &message);

    /** @brief Removes and returns the next frame; nothing if the queue is empty. */
    std::optional<std::string> pop();

    bool isEmpty() const;

    /** @brief Waiting bytes by kind of message, for the log. Messages that may still be replaced are not encoded yet and count as one byte each. */
    std::map<std::string, std::size_t> bytesByKind() const;

private:
    /** Messages of which only the newest state waits, in the order in which they are sent. */
    enum class Slot {
        Report,
        OperatorChanges,
        Summary,
        BackendServerChanges,
        MemberChanges,
        OperatorRecords,
        BackendServerRecords,
        MemberRecords,
        None,
    };
    static constexpr std::size_t SLOT_COUNT = static_cast<std::size_t>(Slot::None);

    static Slot slotOf(const gateway::FleetMessage &message);
    /** The state that both messages of one slot describe together. */
    static std::shared_ptr<OutgoingMessage> merge(const std::shared_ptr<OutgoingMessage> &waiting, const std::shared_ptr<OutgoingMessage> &added);
    std::string popPiece();
    void pushCancel(const std::shared_ptr<OutgoingMessage> &message, std::uint64_t request);

    /** A message that waits in its order. */
    struct UrgentMessage
    {
        std::string bytes;
        /** Number of a forwarded request; 0 for any other message. */
        std::uint64_t forwardedRequest = 0;
    };

    bool m_sendsPieces;
    std::deque<std::string> m_cancels;
    std::deque<UrgentMessage> m_urgent;
    std::size_t m_urgentBytes = 0;
    std::array<std::shared_ptr<OutgoingMessage>, SLOT_COUNT> m_slots;
    /** The rest of a long message of which pieces were sent. */
    std::string m_unsentRest;
};

/** Joins the pieces of long messages that arrive on one link. */
class PieceJoiner
{
public:
    /**
     * @brief Adds a piece.
     * @return the whole message after its last piece; an error if the message is longer than the limit
     */
    core::Expected<std::optional<std::string>> add(const gateway::MessagePiece &piece);

private:
    std::string m_bytes;
};

} // namespace snipeferry::net
