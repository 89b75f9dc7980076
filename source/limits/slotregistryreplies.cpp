#include "snipeferry/limits/slotregistry.h"

#include <algorithm>

// Updates the slot states from answers and change notifications of the platform.

namespace snipeferry::limits {

namespace {

constexpr absl::Duration READ_RETRY = absl::Seconds(1);
constexpr absl::Duration READ_INTERVAL = absl::Seconds(60);
/** Time for a new instance to learn of the other instances in its data centre before it claims slots. */
constexpr absl::Duration START_GRACE = absl::Milliseconds(500);

core::LogEvent slotEvent(const char *name, const SlotId &slot)
{
    core::LogEvent event{name, {}};
    event.with("data_centre", slot.dataCentre.value()).with("slot", std::to_string(slot.index));
    return event;
}

} // namespace

void SlotRegistry::handle(const messages::PlatformReplied &event)
{
    const auto it = m_calls.find(event.reply.id);
    if (it == m_calls.end()) {
        return;
    }
    const PendingCall call = it->second;
    m_calls.erase(it);
    switch (call.type) {
    case CallType::ReadAll:
        handleReadAll(event.reply);
        break;
    case CallType::ReadSlot:
        handleReadSlot(call.slot, event.reply);
        break;
    case CallType::Claim:
    case CallType::Confirm:
    case CallType::Release:
        handleWrite(call, event.reply);
        break;
    }
}

void SlotRegistry::handle(const messages::PlatformWatched &event)
{
    applyRecord(event.event.key, event.event.value, event.event.modRevision);
}

void SlotRegistry::handleReadAll(const platform::Reply &reply)
{
    m_isReading = false;
    if (reply.outcome != platform::Outcome::Answered) {
        m_nextReadAll = m_timers.now() + READ_RETRY;
        return;
    }
    m_nextReadAll = m_timers.now() + READ_INTERVAL;
    if (!m_hasReadAll) {
        m_hasReadAll = true;
        m_claimsAllowedFrom = m_timers.now() + START_GRACE;
    }
    for (const platform::KeyValue &entry : reply.values) {
        applyRecord(entry.key, entry.value, entry.modRevision);
    }
    verifyClaims(reply.id);
    emitConfirmationIfComplete(reply.id);
    tick();
}

void SlotRegistry::verifyClaims(platform::CallId read)
{
    if (m_layout.revision < newestRecordedLayout()) {
        return;
    }
    for (auto &[slot, state] : m_slots) {
        if (isOwnedHere(state) && !state.isVerified && state.verifyingRead == read) {
            state.isVerified = true;
            applyOwnership(slot, state);
        }
    }
}

void SlotRegistry::emitConfirmationIfComplete(platform::CallId read)
{
    if (read != m_confirmingRead || m_requestedLayout <= m_confirmedLayout || !isLayoutRecordedHere() || !isLayoutRecordedByAll()) {
        return;
    }
    m_confirmedLayout = m_requestedLayout;
    m_outbox.push(messages::Log{core::LogEvent{"limit_layout_confirmed", {}}.with("revision", std::to_string(m_confirmedLayout))});
    m_layoutConfirmed.emit({m_confirmedLayout});
}

bool SlotRegistry::isLayoutRecordedHere() const
{
    return std::all_of(
        m_slots.begin(), m_slots.end(), [&](const auto &entry) { return !isOwnedHere(entry.second) || entry.second.record->layout >= m_requestedLayout; });
}

bool SlotRegistry::isLayoutRecordedByAll() const
{
    return std::all_of(
        m_slots.begin(), m_slots.end(), [&](const auto &entry) { return !entry.second.record || entry.second.record->layout >= m_requestedLayout; });
}

core::Revision SlotRegistry::newestRecordedLayout() const
{
    core::Revision newest = 0;
    for (const auto &[slot, state] : m_slots) {
        newest = std::max(newest, state.record ? state.record->layout : 0);
    }
    return newest;
}

void SlotRegistry::handleReadSlot(const SlotId &slot, const platform::Reply &reply)
{
    SlotState &state = stateOf(slot);
    if (reply.outcome != platform::Outcome::Answered) {
        state.needsRead = true;
        return;
    }
    state.isWriteUnresolved = false;
    for (const platform::KeyValue &entry : reply.values) {
        applyRecord(entry.key, entry.value, entry.modRevision);
    }
    applyOwnership(slot, state);
}

void SlotRegistry::handleWrite(const PendingCall &call, const platform::Reply &reply)
{
    SlotState &state = stateOf(call.slot);
    if (reply.outcome == platform::Outcome::Unknown) {
        // The write may have taken effect, so the record is read again before anything else is done with the slot.
        state.needsRead = true;
        return;
    }
    state.isWriteUnresolved = false;
    if (reply.outcome == platform::Outcome::NotSent) {
        return;
    }
    if (!reply.succeeded) {
        for (const platform::KeyValue &entry : reply.values) {
            applyRecord(entry.key, entry.value, entry.modRevision);
        }
        return;
    }
    applyRecord(slotKey(call.slot), encodeSlotRecord(call.written), reply.storeRevision);
    applyOwnership(call.slot, state);
    tick();
}

void SlotRegistry::applyRecord(const std::string &key, const std::optional<std::string> &value, std::int64_t modRevision)
{
    const std::optional<SlotId> slot = slotOfKey(key);
    if (!slot || !value) {
        return;
    }
    SlotState &state = stateOf(*slot);
    if (modRevision <= state.modRevision) {
        return;
    }
    const std::optional<SlotRecord> record = parseSlotRecord(*value);
    if (!record) {
        return;
    }
    state.record = record;
    state.modRevision = modRevision;
    applyOwnership(*slot, state);
}

void SlotRegistry::applyOwnership(const SlotId &slot, SlotState &state)
{
    if (!isOwnedHere(state)) {
        stopIssuing(slot, state);
        return;
    }
    if (state.isIssuing || state.isWriteUnresolved || !state.isVerified || m_isDraining) {
        return;
    }
    if (state.wasAbsent) {
        startIssuing(slot, state);
        return;
    }
    // Waits until the grants of the previous owner have expired.
    state.issueTimer = m_timers.after(m_settings.grantLifetime + m_settings.clockMargin, [this, slot] { startIssuing(slot, stateOf(slot)); });
}

void SlotRegistry::startIssuing(const SlotId &slot, SlotState &state)
{
    if (!isOwnedHere(state) || state.isIssuing || m_isDraining) {
        return;
    }
    state.isIssuing = true;
    m_outbox.push(messages::Log{slotEvent("limit_slot_acquired", slot)});
    m_acquired.emit({slot, state.wasAbsent});
    state.wasAbsent = false;
}

void SlotRegistry::stopIssuing(const SlotId &slot, SlotState &state)
{
    state.issueTimer.cancel();
    if (!state.isIssuing) {
        return;
    }
    state.isIssuing = false;
    m_outbox.push(messages::Log{slotEvent("limit_slot_lost", slot)});
    m_lost.emit({slot});
}

} // namespace snipeferry::limits
