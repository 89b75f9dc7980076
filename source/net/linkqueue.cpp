#include "snipeferry/net/linkqueue.h"

#include "snipeferry/net/fleetcodec.h"

#include <algorithm>
#include <utility>

namespace snipeferry::net {

namespace {

/** Longest part of a message that is sent at once. A link of 10 Mbit/s is busy with it for 13 ms. */
constexpr std::size_t PIECE_BYTES = 16384;
/** Limit of the bytes that wait and cannot be replaced. */
constexpr std::size_t MAX_URGENT_BYTES = 8U << 20U;
/** Limit of one message that arrives in pieces. */
constexpr std::size_t MAX_JOINED_BYTES = 24U << 20U;

using gateway::FleetMessage;
using gateway::Topic;

void appendParts(std::vector<gateway::ReadPart> &parts, const std::vector<gateway::ReadPart> &more)
{
    parts.insert(parts.end(), more.begin(), more.end());
}

gateway::RecordsUpdate mergeChanges(const gateway::RecordsUpdate &waiting, const gateway::RecordsUpdate &added)
{
    gateway::RecordsUpdate merged = added;
    // The sender may know of changes between the two from elsewhere. Then only a copy that has them is complete after both.
    const bool isContinuation = added.after <= waiting.revision;
    merged.after = isContinuation ? std::min(waiting.after, added.after) : added.after;
    merged.revision = std::max(waiting.revision, added.revision);
    for (const gateway::RecordChange &change : waiting.changes) {
        const auto isSameRecord = [&change](const gateway::RecordChange &other) {
            return other.key == change.key;
        };
        if (std::none_of(added.changes.begin(), added.changes.end(), isSameRecord)) {
            merged.changes.push_back(change);
        }
    }
    return merged;
}

} // namespace

OutgoingMessage::OutgoingMessage(gateway::FleetMessage message)
    : m_message(std::move(message))
{
}

const gateway::FleetMessage &OutgoingMessage::message() const
{
    return m_message;
}

const std::string &OutgoingMessage::bytes()
{
    if (m_bytes.empty()) {
        m_bytes = encodeFleetMessage(m_message);
    }
    return m_bytes;
}

LinkQueue::LinkQueue(bool sendsPieces)
    : m_sendsPieces(sendsPieces)
{
}

LinkQueue::Slot LinkQueue::slotOf(const FleetMessage &message)
{
    if (std::holds_alternative<gateway::Pulse>(message) || std::holds_alternative<gateway::RelayReport>(message)) {
        return Slot::Report;
    }
    if (std::holds_alternative<gateway::RegionSummary>(message)) {
        return Slot::Summary;
    }
    if (const gateway::RecordsUpdate *changes = std::get_if<gateway::RecordsUpdate>(&message)) {
        return changes->topic == Topic::Operator      ? Slot::OperatorChanges
            : changes->topic == Topic::BackendServers ? Slot::BackendServerChanges
                                                      : Slot::MemberChanges;
    }
    if (const gateway::RecordsTransfer *records = std::get_if<gateway::RecordsTransfer>(&message)) {
        return records->topic == Topic::Operator      ? Slot::OperatorRecords
            : records->topic == Topic::BackendServers ? Slot::BackendServerRecords
                                                      : Slot::MemberRecords;
    }
    return Slot::None;
}

std::shared_ptr<OutgoingMessage> LinkQueue::merge(const std::shared_ptr<OutgoingMessage> &waiting, const std::shared_ptr<OutgoingMessage> &added)
{
    FleetMessage merged = added->message();
    if (gateway::Pulse *pulse = std::get_if<gateway::Pulse>(&merged)) {
        const gateway::Pulse *before = std::get_if<gateway::Pulse>(&waiting->message());
        if (before == nullptr || before->readParts.empty()) {
            return added;
        }
        appendParts(pulse->readParts, before->readParts);
    } else if (gateway::RelayReport *report = std::get_if<gateway::RelayReport>(&merged)) {
        const gateway::RelayReport *before = std::get_if<gateway::RelayReport>(&waiting->message());
        if (before == nullptr || before->pulse.readParts.empty()) {
            return added;
        }
        appendParts(report->pulse.readParts, before->pulse.readParts);
    } else if (gateway::RegionSummary *summary = std::get_if<gateway::RegionSummary>(&merged)) {
        appendParts(summary->readParts, std::get<gateway::RegionSummary>(waiting->message()).readParts);
    } else if (gateway::RecordsUpdate *changes = std::get_if<gateway::RecordsUpdate>(&merged)) {
        *changes = mergeChanges(std::get<gateway::RecordsUpdate>(waiting->message()), *changes);
    } else {
        return added;
    }
    return std::make_shared<OutgoingMessage>(std::move(merged));
}

bool LinkQueue::push(const std::shared_ptr<OutgoingMessage> &message)
{
    const Slot slot = slotOf(message->message());
    if (slot != Slot::None) {
        std::shared_ptr<OutgoingMessage> &waiting = m_slots[static_cast<std::size_t>(slot)];
        waiting = waiting == nullptr ? message : merge(waiting, message);
        return true;
    }
    if (const gateway::ForwardCancel *cancel = std::get_if<gateway::ForwardCancel>(&message->message())) {
        pushCancel(message, cancel->number);
        return true;
    }
    const std::string &bytes = message->bytes();
    if (m_urgentBytes + bytes.size() > MAX_URGENT_BYTES) {
        return false;
    }
    const gateway::ForwardRequest *request = std::get_if<gateway::ForwardRequest>(&message->message());
    m_urgentBytes += bytes.size();
    m_urgent.push_back({bytes, request == nullptr ? 0 : request->number});
    return true;
}

void LinkQueue::pushCancel(const std::shared_ptr<OutgoingMessage> &message, std::uint64_t request)
{
    const auto waiting = std::find_if(m_urgent.begin(), m_urgent.end(), [request](const UrgentMessage &other) { return other.forwardedRequest == request; });
    if (waiting == m_urgent.end()) {
        m_cancels.push_back(message->bytes());
        return;
    }
    m_urgentBytes -= waiting->bytes.size();
    m_urgent.erase(waiting);
}

std::string LinkQueue::popPiece()
{
    gateway::MessagePiece piece;
    piece.bytes = m_unsentRest.substr(0, PIECE_BYTES);
    m_unsentRest.erase(0, piece.bytes.size());
    piece.isLast = m_unsentRest.empty();
    return encodeFleetMessage(piece);
}

std::optional<std::string> LinkQueue::pop()
{
    if (!m_cancels.empty()) {
        std::string bytes = std::move(m_cancels.front());
        m_cancels.pop_front();
        return bytes;
    }
    if (!m_urgent.empty()) {
        std::string bytes = std::move(m_urgent.front().bytes);
        m_urgent.pop_front();
        m_urgentBytes -= bytes.size();
        return bytes;
    }
    for (std::size_t slot = 0; slot < SLOT_COUNT; ++slot) {
        // Only a report overtakes the rest of a long message: pieces of two messages cannot be told apart.
        if (!m_unsentRest.empty() && slot != static_cast<std::size_t>(Slot::Report)) {
            return popPiece();
        }
        const std::shared_ptr<OutgoingMessage> message = std::exchange(m_slots[slot], nullptr);
        if (message == nullptr) {
            continue;
        }
        const std::string &bytes = message->bytes();
        const bool isReport = slot == static_cast<std::size_t>(Slot::Report);
        if (!m_sendsPieces || isReport || bytes.size() <= PIECE_BYTES) {
            return bytes;
        }
        m_unsentRest = bytes;
        return popPiece();
    }
    return std::nullopt;
}

bool LinkQueue::isEmpty() const
{
    return m_cancels.empty() && m_urgent.empty() && m_unsentRest.empty()
        && std::all_of(m_slots.begin(), m_slots.end(), [](const auto &slot) { return slot == nullptr; });
}

std::map<std::string, std::size_t> LinkQueue::bytesByKind() const
{
    static const std::array<const char *, SLOT_COUNT> NAMES
        = {"report", "operator_changes", "summary", "server_changes", "member_changes", "operator_records", "server_records", "member_records"};
    std::map<std::string, std::size_t> bytes;
    for (const std::string &cancel : m_cancels) {
        bytes["cancels"] += cancel.size();
    }
    if (m_urgentBytes > 0) {
        bytes["urgent"] = m_urgentBytes;
    }
    if (!m_unsentRest.empty()) {
        bytes["rest"] = m_unsentRest.size();
    }
    for (std::size_t slot = 0; slot < SLOT_COUNT; ++slot) {
        if (m_slots[slot] != nullptr) {
            bytes[NAMES[slot]] = 1;
        }
    }
    return bytes;
}

core::Expected<std::optional<std::string>> PieceJoiner::add(const gateway::MessagePiece &piece)
{
    if (m_bytes.size() + piece.bytes.size() > MAX_JOINED_BYTES) {
        return tl::make_unexpected(core::makeError(core::ErrorKind::BadRequest, "A message in pieces is too long."));
    }
    m_bytes += piece.bytes;
    if (!piece.isLast) {
        return std::optional<std::string>();
    }
    return std::optional<std::string>(std::exchange(m_bytes, {}));
}

} // namespace snipeferry::net
