#include "snipeferry/operations/keyclaims.h"

#include <absl/strings/str_cat.h>

#include <vector>

namespace snipeferry::operations {

namespace {

/** When a caller may repeat a call that was refused because the platform is unavailable or this instance has too many open claims. */
constexpr absl::Duration RETRY_AFTER = absl::Seconds(1);
/** Interval at which the store is searched for the record of an abandoned claim, which a delayed transaction may still create. */
constexpr absl::Duration ABANDONED_READ_INTERVAL = absl::Seconds(5);
/** How long the store is searched for the record of an abandoned claim. */
constexpr absl::Duration ABANDONED_CLAIM_TIMEOUT = absl::Minutes(1);

// Returns the record that a platform reply contains under a store key, or nothing if there is none or it cannot be parsed.
std::optional<OperationRecord> findRecord(const platform::Reply &reply, const std::string &storeKey, std::int64_t &modRevision)
{
    for (const platform::KeyValue &entry : reply.values) {
        if (entry.key == storeKey) {
            modRevision = entry.modRevision;
            return parseRecord(entry.value);
        }
    }
    return std::nullopt;
}

core::Error platformUnavailableError()
{
    return core::makeError(
        core::ErrorKind::PlatformUnavailable, "the idempotency key cannot be claimed because the platform is unavailable; nothing was run", RETRY_AFTER);
}

} // namespace

KeyClaims::KeyClaims(OperationSettings settings, membership::InstanceDescription self, std::uint64_t seed, core::TimerService &timers, messages::Outbox &outbox)
    : m_settings(settings),
      m_self(std::move(self)),
      m_timers(timers),
      m_outbox(outbox),
      m_random(seed ^ m_self.incarnation)
{
}

void KeyClaims::begin(const node::CallerRequest &request, const core::CustomerId &customer)
{
    const std::string storeKey = recordKey(customer, request.idempotencyKey);
    const std::string digest = requestDigest(request);
    const auto it = m_claims.find(storeKey);
    if (it != m_claims.end() && it->second.phase != Phase::Abandoned) {
        // This instance is still working on a claim of this key. The record in memory is at least as recent as the one in the platform's store.
        decideFromRecord(it->second.record, request.id, digest);
        return;
    }
    if (it == m_claims.end() && m_claims.size() >= m_settings.maxClaims) {
        refuse(request.id, core::makeError(core::ErrorKind::Overloaded, "this instance has too many open operations", RETRY_AFTER));
        return;
    }

    // An abandoned claim of this instance may have created the record, or may still create it. The new claim uses the same nonce, so that it
    // recognizes such a record as its own instead of as a claim by another instance.
    Claim &claim = m_claims[storeKey];
    const std::string nonce = claim.record.nonce.empty() ? nextNonce() : claim.record.nonce;
    claim.storeKey = storeKey;
    claim.request = request.id;
    claim.record = {nonce, digest, OperationState::Claimed, m_timers.wallNow(), std::nullopt};
    claim.retryTimer.cancel();
    claim.call = 0;
    claim.phase = Phase::AwaitingLease;
    claim.deadline = m_timers.now() + m_settings.claimTimeout;
    m_storeKeyByRequest[request.id] = storeKey;
    if (m_timers.now() >= m_leaseReplaceAt) {
        requestLease();
    }
    if (m_timers.now() < m_leaseUsableUntil) {
        sendClaim(claim);
    }
}

void KeyClaims::finish(const core::RequestId &request, RunOutcome outcome, std::optional<StoredAnswer> answer)
{
    const auto storeKeyIt = m_storeKeyByRequest.find(request);
    if (storeKeyIt == m_storeKeyByRequest.end()) {
        return;
    }
    Claim &claim = m_claims.at(storeKeyIt->second);
    m_storeKeyByRequest.erase(storeKeyIt);
    if (claim.phase == Phase::AwaitingLease) {
        removeFromMemory(claim);
        return;
    }
    if (claim.phase != Phase::Running) {
        abandon(claim);
        return;
    }
    claim.deletesRecord = outcome == RunOutcome::NotRun;
    claim.record.state = outcome == RunOutcome::Unknown ? OperationState::Unknown : OperationState::Ran;
    if (outcome == RunOutcome::NotRun) {
        claim.record.state = OperationState::Claimed;
    }
    if (outcome == RunOutcome::Answered && answer && isStorable(*answer, m_settings.maxAnswerBytes)) {
        claim.record.state = OperationState::Answered;
        claim.record.answer = std::move(answer);
    }
    startWritingOutcome(claim);
}

core::Signal<OperationDecision> &KeyClaims::decided()
{
    return m_decided;
}

std::size_t KeyClaims::size() const
{
    return m_claims.size();
}

void KeyClaims::requestLease()
{
    if (m_leaseCall != 0) {
        return;
    }
    // A lease lasts two retention times and is not extended by keep-alives. A new one is requested after one retention time, so records usually
    // expire between one and two retention times after they are written.
    m_leaseCall = m_outbox.nextCallId();
    m_leaseRequestedAt = m_timers.now();
    m_outbox.push(platform::Call{m_leaseCall, platform::LeaseGrant{2 * m_settings.claimRetention}, m_settings.callTimeout});
}

void KeyClaims::sendClaim(Claim &claim)
{
    claim.phase = Phase::Claiming;
    platform::Transaction transaction;
    transaction.conditions.push_back({claim.storeKey, 0});
    transaction.writes.push_back({claim.storeKey, nlohmann::json(claim.record).dump(), m_leaseId});
    send(claim, std::move(transaction));
}

void KeyClaims::sendRead(Claim &claim)
{
    send(claim, platform::Read{claim.storeKey, false});
}

void KeyClaims::sendOutcome(Claim &claim)
{
    platform::Transaction transaction;
    transaction.conditions.push_back({claim.storeKey, claim.modRevision});
    platform::Write write{claim.storeKey, std::nullopt, 0};
    if (!claim.deletesRecord) {
        write.value = nlohmann::json(claim.record).dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
        write.leaseId = m_leaseId;
    }
    transaction.writes.push_back(std::move(write));
    send(claim, std::move(transaction));
}

void KeyClaims::send(Claim &claim, std::variant<platform::Read, platform::Transaction, platform::LeaseGrant, platform::LeaseKeepAlive> request)
{
    claim.retryTimer.cancel();
    claim.call = m_outbox.nextCallId();
    m_storeKeyByCall[claim.call] = claim.storeKey;
    m_outbox.push(platform::Call{claim.call, std::move(request), m_settings.callTimeout});
}

void KeyClaims::scheduleRetry(Claim &claim)
{
    const absl::Duration delay = claim.phase == Phase::Abandoned ? ABANDONED_READ_INTERVAL : m_settings.retryInterval;
    claim.retryTimer = m_timers.after(delay, [this, storeKey = claim.storeKey] { retry(storeKey); });
}

void KeyClaims::retry(const std::string &storeKey)
{
    const auto it = m_claims.find(storeKey);
    if (it == m_claims.end()) {
        return;
    }
    Claim &claim = it->second;
    switch (claim.phase) {
    case Phase::Claiming:
        sendClaim(claim);
        break;
    case Phase::WritingOutcome:
        sendOutcome(claim);
        break;
    case Phase::ReadingBack:
    case Phase::Abandoned:
        sendRead(claim);
        break;
    case Phase::AwaitingLease:
    case Phase::Running:
        break;
    }
}

void KeyClaims::handle(const messages::PlatformReplied &event)
{
    const platform::Reply &reply = event.reply;
    if (reply.id == m_leaseCall && m_leaseCall != 0) {
        m_leaseCall = 0;
        handleLeaseReply(reply);
        return;
    }
    const auto call = m_storeKeyByCall.find(reply.id);
    if (call == m_storeKeyByCall.end()) {
        return;
    }
    const auto it = m_claims.find(call->second);
    m_storeKeyByCall.erase(call);
    if (it == m_claims.end() || it->second.call != reply.id) {
        return;
    }
    Claim &claim = it->second;
    claim.call = 0;
    switch (claim.phase) {
    case Phase::Claiming:
        handleClaimReply(claim, reply);
        break;
    case Phase::ReadingBack:
        handleReadBackReply(claim, reply);
        break;
    case Phase::WritingOutcome:
        handleOutcomeReply(claim, reply);
        break;
    case Phase::Abandoned:
        handleAbandonedReply(claim, reply);
        break;
    case Phase::AwaitingLease:
    case Phase::Running:
        break;
    }
}

void KeyClaims::handleLeaseReply(const platform::Reply &reply)
{
    if (reply.outcome == platform::Outcome::Answered && reply.succeeded) {
        m_leaseId = reply.leaseId;
        m_leaseReplaceAt = m_leaseRequestedAt + m_settings.claimRetention;
        // A lease is not used in its last quarter, so that no record expires soon after it is written.
        m_leaseUsableUntil = m_leaseRequestedAt + 1.5 * m_settings.claimRetention;
    }

    // No claim was sent for the calls that wait for a lease. If no lease can be used now, they can be refused as not run.
    std::vector<std::string> waiting;
    for (const auto &[storeKey, claim] : m_claims) {
        if (claim.phase == Phase::AwaitingLease) {
            waiting.push_back(storeKey);
        }
    }
    for (const std::string &storeKey : waiting) {
        const auto it = m_claims.find(storeKey);
        if (it == m_claims.end()) {
            continue;
        }
        Claim &claim = it->second;
        if (m_timers.now() < m_leaseUsableUntil) {
            sendClaim(claim);
            continue;
        }
        const core::RequestId request = claim.request;
        removeFromMemory(claim);
        refuse(request, platformUnavailableError());
    }
}

void KeyClaims::handleClaimReply(Claim &claim, const platform::Reply &reply)
{
    if (reply.outcome == platform::Outcome::NotSent) {
        const core::RequestId request = claim.request;
        if (claim.mayBeStored) {
            abandon(claim);
        } else {
            removeFromMemory(claim);
        }
        refuse(request, platformUnavailableError());
        return;
    }
    if (reply.outcome == platform::Outcome::Unknown) {
        claim.mayBeStored = true;
        claim.phase = Phase::ReadingBack;
        sendRead(claim);
        return;
    }
    if (reply.succeeded) {
        grantRun(claim, reply.storeRevision);
        return;
    }
    handleReadBackReply(claim, reply);
}

void KeyClaims::handleReadBackReply(Claim &claim, const platform::Reply &reply)
{
    claim.phase = Phase::ReadingBack;
    const bool isAnswered = reply.outcome == platform::Outcome::Answered;
    std::int64_t modRevision = 0;
    const std::optional<OperationRecord> record = findRecord(reply, claim.storeKey, modRevision);
    if (isAnswered && record && record->nonce == claim.record.nonce) {
        grantRun(claim, modRevision);
        return;
    }
    if (isAnswered && record) {
        decideFromOtherClaim(claim, *record);
        return;
    }
    if (m_timers.now() >= claim.deadline) {
        const core::RequestId request = claim.request;
        abandon(claim);
        refuse(request, platformUnavailableError());
        return;
    }
    if (isAnswered) {
        // The record does not exist yet, but the first transaction may still take effect. The retry has the same nonce, so this instance recognizes the
        // record as its own whichever transaction creates it.
        claim.phase = Phase::Claiming;
    }
    scheduleRetry(claim);
}

void KeyClaims::handleOutcomeReply(Claim &claim, const platform::Reply &reply)
{
    if (reply.outcome == platform::Outcome::Answered || m_timers.now() >= claim.deadline) {
        // An answered transaction means that the outcome is stored. If its condition failed, an earlier transaction whose reply was lost stored the
        // outcome, because no other instance changes the record. After the deadline the write is given up.
        removeFromMemory(claim);
        return;
    }
    scheduleRetry(claim);
}

void KeyClaims::handleAbandonedReply(Claim &claim, const platform::Reply &reply)
{
    std::int64_t modRevision = 0;
    const std::optional<OperationRecord> record = findRecord(reply, claim.storeKey, modRevision);
    if (reply.outcome == platform::Outcome::Answered && record) {
        if (record->nonce != claim.record.nonce) {
            removeFromMemory(claim);
            return;
        }
        claim.modRevision = modRevision;
        claim.deletesRecord = true;
        startWritingOutcome(claim);
        return;
    }
    if (m_timers.now() >= claim.deadline) {
        removeFromMemory(claim);
        return;
    }
    scheduleRetry(claim);
}

void KeyClaims::grantRun(Claim &claim, std::int64_t modRevision)
{
    claim.phase = Phase::Running;
    claim.modRevision = modRevision;
    m_outbox.push(messages::Log{core::LogEvent{"operation_claimed", {}}.with("request", claim.request.value())});
    m_decided.emit(runDecision(claim.request));
}

void KeyClaims::decideFromOtherClaim(Claim &claim, const OperationRecord &record)
{
    const core::RequestId request = claim.request;
    const std::string digest = claim.record.requestDigest;
    removeFromMemory(claim);
    decideFromRecord(record, request, digest);
}

void KeyClaims::decideFromRecord(const OperationRecord &record, const core::RequestId &request, const std::string &digest)
{
    if (record.requestDigest != digest) {
        refuse(request, core::makeError(core::ErrorKind::OperationKeyConflict, "the key was already used for a different request"));
        return;
    }
    if (record.state == OperationState::Answered && record.answer) {
        m_outbox.push(messages::Log{core::LogEvent{"operation_replayed", {}}.with("request", request.value())});
        m_decided.emit(replayDecision(request, *record.answer));
        return;
    }
    const bool isStale = record.state == OperationState::Claimed && m_timers.wallNow() > record.claimedAt + m_settings.progressLimit;
    refuse(request, makeRefusal(isStale ? OperationState::Unknown : record.state));
}

void KeyClaims::startWritingOutcome(Claim &claim)
{
    claim.phase = Phase::WritingOutcome;
    claim.deadline = m_timers.now() + m_settings.writeTimeout;
    sendOutcome(claim);
}

void KeyClaims::abandon(Claim &claim)
{
    m_storeKeyByRequest.erase(claim.request);
    claim.phase = Phase::Abandoned;
    claim.deadline = m_timers.now() + ABANDONED_CLAIM_TIMEOUT;
    if (claim.call == 0) {
        scheduleRetry(claim);
    }
}

void KeyClaims::refuse(const core::RequestId &request, core::Error error)
{
    m_outbox.push(messages::Log{core::LogEvent{"operation_refused", {}}.with("request", request.value()).with("kind", core::errorAnswer(error.kind).name)});
    m_decided.emit(refuseDecision(request, std::move(error)));
}

void KeyClaims::removeFromMemory(Claim &claim)
{
    m_storeKeyByRequest.erase(claim.request);
    m_storeKeyByCall.erase(claim.call);
    const std::string storeKey = claim.storeKey;
    m_claims.erase(storeKey);
}

std::string KeyClaims::nextNonce()
{
    return absl::StrCat(m_self.id.value(), ".", m_self.incarnation, ".", absl::Hex(m_random(), absl::kZeroPad16));
}

} // namespace snipeferry::operations
