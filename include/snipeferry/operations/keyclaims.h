#pragma once

#include "snipeferry/core/signal.h"
#include "snipeferry/core/timerservice.h"
#include "snipeferry/membership/messages.h"
#include "snipeferry/messages/action.h"
#include "snipeferry/messages/event.h"
#include "snipeferry/operations/operationdecision.h"
#include "snipeferry/operations/operationrecord.h"
#include "snipeferry/operations/operationsettings.h"

#include <map>
#include <random>
#include <string>
#include <unordered_map>

/**
 * Claims idempotency keys in the platform's store, so that only one instance runs the call with a key.
 */
namespace snipeferry::operations {

/**
 * Claims idempotency keys for the calls that this instance receives.
 *
 * A claim creates a record for the key in the platform's store; it fails if the store already has one. After the run, the
 * outcome is written to the record. Only the instance that created a record changes it. When the platform's reply to a
 * claim is lost, the instance reads the record, and the nonce in the record tells whether this instance created it.
 */
class KeyClaims
{
public:
    KeyClaims(OperationSettings settings, membership::InstanceDescription self, std::uint64_t seed, core::TimerService &timers, messages::Outbox &outbox);

    /** @brief Claims the idempotency key of a call; decided() emits the decision, possibly before this returns. */
    void begin(const node::CallerRequest &request, const core::CustomerId &customer);

    /** @brief Writes the outcome of a run to the record of its key, or deletes the record if the call did not run. */
    void finish(const core::RequestId &request, RunOutcome outcome, std::optional<StoredAnswer> answer);

    core::Signal<OperationDecision> &decided();

    void handle(const messages::PlatformReplied &event);

    /** @brief Returns the number of claims that this instance still works on, including abandoned ones. */
    std::size_t size() const;

private:
    enum class Phase {
        /** Waiting for a lease from the platform; records expire with their lease. */
        AwaitingLease,
        /** The transaction that creates the record is being sent or awaits a retry. */
        Claiming,
        /** The reply to the claim was lost; the record is being read to find out whether this claim created it. */
        ReadingBack,
        Running,
        /** The outcome of the run is being written to the record. */
        WritingOutcome,
        /** The call ended before it was known whether the claim created a record. If one is found, it is deleted. */
        Abandoned,
    };

    struct Claim
    {
        /** Key of the record in the platform's store, see recordKey(). */
        std::string storeKey;
        core::RequestId request;
        OperationRecord record;
        Phase phase = Phase::AwaitingLease;
        /** Store revision of the record's last change; the record is changed only if it is still at this revision. */
        std::int64_t modRevision = 0;
        /** The reply to this claim, or to an abandoned one that it replaced, was lost. The record may therefore exist. */
        bool mayBeStored = false;
        /** The record is to be deleted instead of updated, because the call did not run. */
        bool deletesRecord = false;
        /** When this instance stops trying to claim the key, to write the outcome or to find an abandoned claim's record. */
        absl::Time deadline;
        /** The call to the platform that awaits its reply, or 0. */
        platform::CallId call = 0;
        core::Subscription retryTimer;
    };

    void requestLease();
    void sendClaim(Claim &claim);
    void sendRead(Claim &claim);
    void sendOutcome(Claim &claim);
    void send(Claim &claim, std::variant<platform::Read, platform::Transaction, platform::LeaseGrant, platform::LeaseKeepAlive> request);
    void scheduleRetry(Claim &claim);
    void retry(const std::string &storeKey);
    void handleLeaseReply(const platform::Reply &reply);
    void handleClaimReply(Claim &claim, const platform::Reply &reply);
    void handleReadBackReply(Claim &claim, const platform::Reply &reply);
    void handleOutcomeReply(Claim &claim, const platform::Reply &reply);
    void handleAbandonedReply(Claim &claim, const platform::Reply &reply);
    void grantRun(Claim &claim, std::int64_t modRevision);
    void decideFromRecord(const OperationRecord &record, const core::RequestId &request, const std::string &digest);
    void decideFromOtherClaim(Claim &claim, const OperationRecord &record);
    void startWritingOutcome(Claim &claim);
    void abandon(Claim &claim);
    void refuse(const core::RequestId &request, core::Error error);
    /** @brief Removes a claim from memory. Its record in the platform's store is not changed. */
    void removeFromMemory(Claim &claim);
    std::string nextNonce();

    OperationSettings m_settings;
    membership::InstanceDescription m_self;
    core::TimerService &m_timers;
    messages::Outbox &m_outbox;
    std::mt19937_64 m_random;
    /** Claims by the key of their record in the platform's store. */
    std::map<std::string, Claim> m_claims;
    std::unordered_map<core::RequestId, std::string> m_storeKeyByRequest;
    std::unordered_map<platform::CallId, std::string> m_storeKeyByCall;
    core::Signal<OperationDecision> m_decided;
    std::int64_t m_leaseId = 0;
    absl::Time m_leaseUsableUntil = absl::InfinitePast();
    absl::Time m_leaseReplaceAt = absl::InfinitePast();
    absl::Time m_leaseRequestedAt = absl::InfinitePast();
    platform::CallId m_leaseCall = 0;
};

} // namespace snipeferry::operations
