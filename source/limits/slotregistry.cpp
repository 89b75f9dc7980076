#include "snipeferry/limits/slotregistry.h"

#include "snipeferry/platform/keys.h"

#include <algorithm>

namespace snipeferry::limits {

namespace {

constexpr absl::Duration TICK = absl::Milliseconds(250);
constexpr absl::Duration CALL_TIMEOUT = absl::Seconds(2);
/** The instances of a data centre claim a free slot one after another with this delay in between, so that two rarely claim it at once. */
constexpr absl::Duration CLAIM_DELAY_STEP = absl::Seconds(2);

} // namespace

SlotRegistry::SlotRegistry(LimitSettings settings, membership::InstanceDescription self, core::TimerService &timers, messages::Outbox &outbox)
    : m_settings(settings),
      m_self(std::move(self)),
      m_timers(timers),
      m_outbox(outbox)
{
    m_tick = m_timers.every(TICK, [this] { tick(); });
}

void SlotRegistry::configure(const configuration::Configuration &configuration)
{
    m_layout.revision = configuration.revision;
    m_layout.regions = configuration.regions;
    m_layout.slotsPerDataCentre = configuration.slotsPerDataCentre;
    tick();
}

void SlotRegistry::confirmLayout(core::Revision revision)
{
    m_requestedLayout = std::max(m_requestedLayout, revision);
    tick();
}

void SlotRegistry::setMembers(const std::vector<membership::InstanceDescription> &members)
{
    m_dataCentreMembers.clear();
    m_dataCentreMembers.push_back(m_self.id);
    for (const membership::InstanceDescription &member : members) {
        if (member.dataCentre == m_self.dataCentre && !member.isDraining && member.id != m_self.id) {
            m_dataCentreMembers.push_back(member.id);
        }
    }
    std::sort(m_dataCentreMembers.begin(), m_dataCentreMembers.end());
}

core::InstanceId SlotRegistry::owner(const SlotId &slot) const
{
    const auto it = m_slots.find(slot);
    return it == m_slots.end() || !it->second.record ? core::InstanceId() : it->second.record->owner;
}

bool SlotRegistry::isIssuing(const SlotId &slot) const
{
    const auto it = m_slots.find(slot);
    return it != m_slots.end() && it->second.isIssuing;
}

core::Signal<SlotAcquired> &SlotRegistry::acquired()
{
    return m_acquired;
}

core::Signal<SlotLost> &SlotRegistry::lost()
{
    return m_lost;
}

core::Signal<LayoutConfirmed> &SlotRegistry::layoutConfirmed()
{
    return m_layoutConfirmed;
}

void SlotRegistry::drain()
{
    m_isDraining = true;
    for (auto &[slot, state] : m_slots) {
        // Stops issuing tokens before the release is sent; m_isDraining prevents that issuing starts again.
        stopIssuing(slot, state);
    }
    tick();
}

void SlotRegistry::tick()
{
    if (m_layout.regions.empty()) {
        return;
    }
    if (m_timers.now() >= m_nextReadAll && !m_isReading) {
        readAll();
    }
    if (!m_hasReadAll) {
        return;
    }
    for (const SlotId &slot : slotsOf(m_layout, m_self.dataCentre)) {
        stateOf(slot);
    }
    for (auto &[slot, state] : m_slots) {
        if (slot.dataCentre == m_self.dataCentre) {
            advanceSlot(slot, state);
        }
    }

    // Reads all records again if this may verify a claim or confirm a layout.
    const bool hasUnverified = std::any_of(m_slots.begin(), m_slots.end(), [&](const auto &entry) {
        return isOwnedHere(entry.second) && !entry.second.isWriteUnresolved && !entry.second.isVerified && m_layout.revision >= newestRecordedLayout();
    });
    const bool mayConfirm = m_requestedLayout > m_confirmedLayout && isLayoutRecordedHere() && isLayoutRecordedByAll();
    if ((hasUnverified || mayConfirm) && !m_isReading) {
        readAll();
    }
}

void SlotRegistry::readAll()
{
    m_isReading = true;
    const platform::CallId id = m_outbox.nextCallId();
    m_calls[id] = {CallType::ReadAll, {}, {}};

    // Records which claims and which layout the answer of this read can confirm: only those that were written before the read is sent.
    m_confirmingRead = isLayoutRecordedHere() ? id : 0;
    for (auto &[slot, state] : m_slots) {
        if (isOwnedHere(state) && !state.isWriteUnresolved && !state.isVerified) {
            state.verifyingRead = id;
        }
    }
    m_outbox.push(platform::Call{id, platform::Read{platform::LIMIT_SLOT_PREFIX, true}, CALL_TIMEOUT});
}

void SlotRegistry::readSlot(const SlotId &slot)
{
    const platform::CallId id = m_outbox.nextCallId();
    m_calls[id] = {CallType::ReadSlot, slot, {}};
    m_outbox.push(platform::Call{id, platform::Read{slotKey(slot), false}, CALL_TIMEOUT});
}

void SlotRegistry::advanceSlot(const SlotId &slot, SlotState &state)
{
    if (state.needsRead) {
        state.needsRead = false;
        readSlot(slot);
        return;
    }
    if (state.isWriteUnresolved) {
        return;
    }
    if (m_isDraining && isOwnedHere(state)) {
        writeRecord(slot, state, SlotRecord{{}, 0, state.record->layout}, CallType::Release);
        return;
    }
    if (m_isDraining) {
        return;
    }
    if (isOwnedHere(state) && state.record->layout < m_requestedLayout) {
        writeRecord(slot, state, SlotRecord{m_self.id, m_self.incarnation, m_layout.revision}, CallType::Confirm);
    } else if (!isOwnedHere(state) && slot.index < m_layout.slotsPerDataCentre) {
        claimIfAvailable(slot, state);
    }
}

void SlotRegistry::claimIfAvailable(const SlotId &slot, SlotState &state)
{
    const bool isSuccessor = state.record && state.record->owner == m_self.id && state.record->incarnation < m_self.incarnation;
    const bool isFree = !state.record || state.record->owner.isEmpty();
    const bool isConfigurationOutdated = state.record && state.record->layout > m_layout.revision;
    if ((!isSuccessor && !isFree) || isConfigurationOutdated) {
        state.freeSince = absl::InfiniteFuture();
        return;
    }
    state.freeSince = std::min(state.freeSince, m_timers.now());
    if (!isSuccessor && m_timers.now() < std::max(m_claimsAllowedFrom, state.freeSince + claimDelay(slot))) {
        return;
    }
    state.wasAbsent = !state.record;
    state.isVerified = false;
    state.verifyingRead = 0;
    writeRecord(slot, state, SlotRecord{m_self.id, m_self.incarnation, m_layout.revision}, CallType::Claim);
}

absl::Duration SlotRegistry::claimDelay(const SlotId &slot) const
{
    const auto it = std::find(m_dataCentreMembers.begin(), m_dataCentreMembers.end(), m_self.id);
    if (it == m_dataCentreMembers.end()) {
        return absl::ZeroDuration();
    }
    const std::int64_t memberCount = static_cast<std::int64_t>(m_dataCentreMembers.size());
    const std::int64_t rank = ((it - m_dataCentreMembers.begin()) - slot.index % memberCount + memberCount) % memberCount;
    return CLAIM_DELAY_STEP * rank;
}

void SlotRegistry::writeRecord(const SlotId &slot, SlotState &state, const SlotRecord &record, CallType type)
{
    state.isWriteUnresolved = true;
    const platform::CallId id = m_outbox.nextCallId();
    m_calls[id] = {type, slot, record};
    platform::Transaction transaction;
    transaction.conditions.push_back({slotKey(slot), state.modRevision});
    transaction.writes.push_back({slotKey(slot), encodeSlotRecord(record), 0});
    m_outbox.push(platform::Call{id, std::move(transaction), CALL_TIMEOUT});
}

SlotRegistry::SlotState &SlotRegistry::stateOf(const SlotId &slot)
{
    return m_slots[slot];
}

bool SlotRegistry::isOwnedHere(const SlotState &state) const
{
    return state.record && state.record->owner == m_self.id && state.record->incarnation == m_self.incarnation;
}

} // namespace snipeferry::limits
