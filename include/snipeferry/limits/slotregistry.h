#pragma once

#include "snipeferry/core/signal.h"
#include "snipeferry/core/timerservice.h"
#include "snipeferry/limits/limitsettings.h"
#include "snipeferry/limits/slotrecord.h"
#include "snipeferry/membership/messages.h"
#include "snipeferry/messages/action.h"
#include "snipeferry/messages/event.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

/**
 * Ownership of limit slots.
 */
namespace snipeferry::limits {

/** This instance issues a slot's tokens from now on. */
struct SlotAcquired
{
    SlotId slot;
    /** No instance has owned the slot before, under any configuration. */
    bool isFirstOwner = false;
};

/** This instance no longer issues a slot's tokens. */
struct SlotLost
{
    SlotId slot;
};

/** No instance uses a layout of the shares that is older than this revision. */
struct LayoutConfirmed
{
    core::Revision revision = 0;
};

/**
 * Claims slots of this instance's data centre by transactions on their records, and tracks the records of all data centres.
 *
 * Only the owner itself can release a slot, and only a later incarnation of the owner can take the slot over. A slot without an owner can be
 * claimed. A new owner issues tokens only when two conditions are met: the grants of the previous owner have expired, and a read that followed the
 * claim has shown that no slot record states a newer layout than the new owner's configuration.
 */
class SlotRegistry
{
public:
    SlotRegistry(LimitSettings settings, membership::InstanceDescription self, core::TimerService &timers, messages::Outbox &outbox);

    void configure(const configuration::Configuration &configuration);
    void setMembers(const std::vector<membership::InstanceDescription> &members);

    /**
     * @brief Requests that layoutConfirmed() is emitted when the owners of all slots use this revision's layout of the shares or a newer one.
     *
     * The caller must already have reduced this instance's shares to at most those of the new layout, because from this call on the records of the
     * slots that this instance owns may state this revision.
     */
    void confirmLayout(core::Revision revision);

    /** @brief Returns the recorded owner of a slot, or an empty identifier. */
    core::InstanceId owner(const SlotId &slot) const;

    bool isIssuing(const SlotId &slot) const;

    core::Signal<SlotAcquired> &acquired();
    core::Signal<SlotLost> &lost();
    core::Signal<LayoutConfirmed> &layoutConfirmed();

    void handle(const messages::PlatformReplied &event);
    void handle(const messages::PlatformWatched &event);

    /** @brief Stops issuing tokens and releases all slots. */
    void drain();

private:
    enum class CallType {
        ReadAll,
        ReadSlot,
        Claim,
        Confirm,
        Release,
    };

    struct PendingCall
    {
        CallType type = CallType::ReadAll;
        SlotId slot;
        SlotRecord written;
    };

    struct SlotState
    {
        std::optional<SlotRecord> record;
        std::int64_t modRevision = 0;
        bool isIssuing = false;
        /** A claim, confirmation or release was sent and its result is not known yet. */
        bool isWriteUnresolved = false;
        /** The record must be read again, because the result of the last write is unknown. */
        bool needsRead = false;
        /** A read of all slots that was sent after the claim has shown no newer layout. */
        bool isVerified = false;
        /** The read of all slots whose answer can verify the claim; 0 if there is none. */
        platform::CallId verifyingRead = 0;
        /** The record did not exist before this instance's claim. */
        bool wasAbsent = false;
        /** When this instance first saw the slot without an owner. */
        absl::Time freeSince = absl::InfiniteFuture();
        core::Subscription issueTimer;
    };

    void tick();
    void readAll();
    void readSlot(const SlotId &slot);
    void advanceSlot(const SlotId &slot, SlotState &state);
    void claimIfAvailable(const SlotId &slot, SlotState &state);
    void writeRecord(const SlotId &slot, SlotState &state, const SlotRecord &record, CallType type);
    void applyRecord(const std::string &key, const std::optional<std::string> &value, std::int64_t modRevision);
    void applyOwnership(const SlotId &slot, SlotState &state);
    void startIssuing(const SlotId &slot, SlotState &state);
    void stopIssuing(const SlotId &slot, SlotState &state);
    void handleReadAll(const platform::Reply &reply);
    void handleReadSlot(const SlotId &slot, const platform::Reply &reply);
    void handleWrite(const PendingCall &call, const platform::Reply &reply);
    void verifyClaims(platform::CallId read);
    void emitConfirmationIfComplete(platform::CallId read);
    bool isLayoutRecordedByAll() const;
    bool isLayoutRecordedHere() const;
    core::Revision newestRecordedLayout() const;
    absl::Duration claimDelay(const SlotId &slot) const;
    SlotState &stateOf(const SlotId &slot);
    bool isOwnedHere(const SlotState &state) const;

    LimitSettings m_settings;
    membership::InstanceDescription m_self;
    core::TimerService &m_timers;
    messages::Outbox &m_outbox;
    configuration::Configuration m_layout;
    std::vector<core::InstanceId> m_dataCentreMembers;
    std::map<SlotId, SlotState> m_slots;
    std::map<platform::CallId, PendingCall> m_calls;
    core::Signal<SlotAcquired> m_acquired;
    core::Signal<SlotLost> m_lost;
    core::Signal<LayoutConfirmed> m_layoutConfirmed;
    core::Revision m_requestedLayout = 0;
    core::Revision m_confirmedLayout = 0;
    /** The last read of all slots, if all records of this instance stated the requested layout when the read was sent; otherwise 0. */
    platform::CallId m_confirmingRead = 0;
    absl::Time m_nextReadAll = absl::InfinitePast();
    absl::Time m_claimsAllowedFrom = absl::InfinitePast();
    bool m_hasReadAll = false;
    bool m_isReading = false;
    bool m_isDraining = false;
    core::Subscription m_tick;
};

} // namespace snipeferry::limits
