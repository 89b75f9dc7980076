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
 * Claims callers' idempotency keys in the platform's store, so that only one instance runs a call.
 */
namespace snipeferry::operations {

/**
 * Claims a key by creating its record if it is absent, and writes the outcome of the run to that record.
 *
 * Only the instance that holds the claim changes its record. When the reply to a claim is lost, the record is read back:
 * the nonce in it tells whether the claim succeeded.
 */
class KeyClaims
{
public:
    KeyClaims(OperationSettings settings, membership::InstanceDescription self, std::uint64_t seed, core::TimerService &timers, messages::Outbox &outbox);

    /** @brief Claims the key of a call; decided() emits the decision. */
    void begin(const node::CallerRequest &request, const core::CustomerId &customer);

    /** @brief Records the outcome of a run. The record is deleted if the call did not run. */
    void finish(const core::RequestId &request, RunOutcome outcome, std::optional<StoredAnswer> answer);

    core::Signal<OperationDecision> &decided();

    void handle(const messages::PlatformReplied &event);

    /** @brief Returns the number of open claims. */
    std::size_t size() const;

private:
    enum class Phase {
        /** Waiting for the platform lease that limits the record's lifetime. */
        AwaitingLease,
        Claiming,
        /** The reply to the claim was lost; the record is being read back. */
        ReadingBack,
        Running,
        /** The outcome of the run is being written to the record. */
        WritingOutcome,
        /** The call ended before the outcome of the claim was known. The record is deleted if it turns up. */
        Abandoned,
    };

    struct Claim
    {
        std::string key;
        core::RequestId request;
        OperationRecord record;
        Phase phase = Phase::AwaitingLease;
        std::int64_t modRevision = 0;
        /** The reply to a claim was lost, so the record may exist. */
        bool mayBeStored = false;
        /** The record is deleted instead of updated. */
        bool deletesRecord = false;
        /** When the current phase times out. */
        absl::Time deadline;
        platform::CallId call = 0;
        core::Subscription retryTimer;
    };

    void requestLease();
    void sendClaim(Claim &claim);
    void sendRead(Claim &claim);
    void sendOutcome(Claim &claim);
    void send(Claim &claim, std::variant<platform::Read, platform::Transaction, platform::LeaseGrant, platform::LeaseKeepAlive> request);
    void scheduleRetry(Claim &claim);
    void retry(const std::string &key);
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
    void erase(Claim &claim);
    std::string nextNonce();

    OperationSettings m_settings;
    membership::InstanceDescription m_self;
    core::TimerService &m_timers;
    messages::Outbox &m_outbox;
    std::mt19937_64 m_random;
    std::map<std::string, Claim> m_claims;
    std::unordered_map<core::RequestId, std::string> m_keyByRequest;
    std::unordered_map<platform::CallId, std::string> m_keyByCall;
    core::Signal<OperationDecision> m_decided;
    std::int64_t m_leaseId = 0;
    absl::Time m_leaseUsableUntil = absl::InfinitePast();
    absl::Time m_leaseReplaceAt = absl::InfinitePast();
    absl::Time m_leaseRequestedAt = absl::InfinitePast();
    platform::CallId m_leaseCall = 0;
};

} // namespace snipeferry::operations
