#include "snipeferry/operations/keyclaims.h"

#include <absl/strings/str_cat.h>

#include <vector>

namespace snipeferry::operations {

namespace {

constexpr absl::Duration RETRY_AFTER = absl::Seconds(1);
/** Interval at which the record of an abandoned claim is read; a delayed transaction may still create it. */
constexpr absl::Duration ABANDONED_READ_INTERVAL = absl::Seconds(5);
constexpr absl::Duration ABANDONED_CLAIM_TIMEOUT = absl::Minutes(1);

// Returns the record that a reply contains under a key, if any.
std::optional<OperationRecord> findRecord(const platform::Reply &reply, const std::string &key, std::int64_t &modRevision)
{
    for (const platform::KeyValue &entry : reply.values) {
        if (entry.key == key) {
            modRevision = entry.modRevision;
            return parseRecord(entry.value);
        }
    }
    return std::nullopt;
}

core::Error platformUnavailable()
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
    const std::string key = recordKey(customer, request.idempotencyKey);
    const std::string digest = requestDigest(request);
    const auto it = m_claims.find(key);
    if (it != m_claims.end() && it->second.phase != Phase::Abandoned) {
        // This instance has an open claim on the key. Its record is more recent than the one in the platform's store.
        decideFromRecord(it->second.record, request.id, digest);
        return;
    }
    if (it == m_claims.end() && m_claims.size() >= m_settings.maxClaims) {
        refuse(request.id, core::makeError(core::ErrorKind::Overloaded, "this instance has too many open operations", RETRY_AFTER));
        return;
    }

    // An abandoned claim of this instance may have created the record. With the same nonce the new claim can take it over.
    Claim &claim = m_claims[key];
    const std::string nonce = claim.record.nonce.empty() ? nextNonce() : claim.record.nonce;
    claim.key = key;
    claim.request = request.id;
    claim.record = {nonce, digest, OperationState::Claimed, m_timers.wallNow(), std::nullopt};
    claim.retryTimer.cancel();
    claim.call = 0;
    claim.phase = Phase::AwaitingLease;
    claim.deadline = m_timers.now() + m_settings.claimTimeout;
    m_keyByRequest[request.id] = key;
    if (m_timers.now() >= m_leaseReplaceAt) {
        requestLease();
    }
    if (m_timers.now() < m_leaseUsableUntil) {
        sendClaim(claim);
    }
}

void KeyClaims::finish(const core::RequestId &request, RunOutcome outcome, std::optional<StoredAnswer> answer)
{
    const auto key = m_keyByRequest.find(request);
    if (key == m_keyByRequest.end()) {
        return;
    }
    Claim &claim = m_claims.at(key->second);
    m_keyByRequest.erase(key);
    if (claim.phase == Phase::AwaitingLease) {
        erase(claim);
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
    // The lease gets no keep-alives: records under it expire between one and two retention times after they are written.
    m_leaseCall = m_outbox.nextCallId();
    m_leaseRequestedAt = m_timers.now();
    m_outbox.push(platform::Call{m_leaseCall, platform::LeaseGrant{2 * m_settings.claimRetention}, m_settings.callTimeout});
}

void KeyClaims::sendClaim(Claim &claim)
{
    claim.phase = Phase::Claiming;
    platform::Transaction transaction;
    transaction.conditions.push_back({claim.key, 0});
    transaction.writes.push_back({claim.key, nlohmann::json(claim.record).dump(), m_leaseId});
    send(claim, std::move(transaction));
}

void KeyClaims::sendRead(Claim &claim)
{
    send(claim, platform::Read{claim.key, false});
}

void KeyClaims::sendOutcome(Claim &claim)
{
    platform::Transaction transaction;
    transaction.conditions.push_back({claim.key, claim.modRevision});
    platform::Write write{claim.key, std::nullopt, 0};
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
    m_keyByCall[claim.call] = claim.key;
    m_outbox.push(platform::Call{claim.call, std::move(request), m_settings.callTimeout});
}

void KeyClaims::scheduleRetry(Claim &claim)
{
    const absl::Duration delay = claim.phase == Phase::Abandoned ? ABANDONED_READ_INTERVAL : m_settings.retryInterval;
    claim.retryTimer = m_timers.after(delay, [this, key = claim.key] { retry(key); });
}

void KeyClaims::retry(const std::string &key)
{
    const auto it = m_claims.find(key);
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
    const auto call = m_keyByCall.find(reply.id);
    if (call == m_keyByCall.end()) {
        return;
    }
    const auto it = m_claims.find(call->second);
    m_keyByCall.erase(call);
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

    // Without a lease no claim has been sent for the waiting calls, so they can be refused as not run.
    std::vector<std::string> waiting;
    for (const auto &[key, claim] : m_claims) {
        if (claim.phase == Phase::AwaitingLease) {
            waiting.push_back(key);
        }
    }
    for (const std::string &key : waiting) {
        const auto it = m_claims.find(key);
        if (it == m_claims.end()) {
            continue;
        }
        Claim &claim = it->second;
        if (m_timers.now() < m_leaseUsableUntil) {
            sendClaim(claim);
            continue;
        }
        const core::RequestId request = claim.request;
        erase(claim);
        refuse(request, platformUnavailable());
    }
}

void KeyClaims::handleClaimReply(Claim &claim, const platform::Reply &reply)
{
    if (reply.outcome == platform::Outcome::NotSent) {
        const core::RequestId request = claim.request;
        if (claim.mayBeStored) {
            abandon(claim);
        } else {
            erase(claim);
        }
        refuse(request, platformUnavailable());
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
    const std::optional<OperationRecord> record = findRecord(reply, claim.key, modRevision);
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
        refuse(request, platformUnavailable());
        return;
    }
    if (isAnswered) {
        // The record does not exist. The retry has the same nonce, so the claim also counts if the first transaction takes effect later.
        claim.phase = Phase::Claiming;
    }
    scheduleRetry(claim);
}

void KeyClaims::handleOutcomeReply(Claim &claim, const platform::Reply &reply)
{
    if (reply.outcome == platform::Outcome::Answered || m_timers.now() >= claim.deadline) {
        // The outcome is stored: by this call, or, if its condition failed, by an earlier one whose reply was lost. Nobody else changes the record.
        erase(claim);
        return;
    }
    scheduleRetry(claim);
}

void KeyClaims::handleAbandonedReply(Claim &claim, const platform::Reply &reply)
{
    std::int64_t modRevision = 0;
    const std::optional<OperationRecord> record = findRecord(reply, claim.key, modRevision);
    if (reply.outcome == platform::Outcome::Answered && record) {
        if (record->nonce != claim.record.nonce) {
            erase(claim);
            return;
        }
        claim.modRevision = modRevision;
        claim.deletesRecord = true;
        startWritingOutcome(claim);
        return;
    }
    if (m_timers.now() >= claim.deadline) {
        erase(claim);
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
    erase(claim);
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
    m_keyByRequest.erase(claim.request);
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

void KeyClaims::erase(Claim &claim)
{
    m_keyByRequest.erase(claim.request);
    m_keyByCall.erase(claim.call);
    const std::string key = claim.key;
    m_claims.erase(key);
}

std::string KeyClaims::nextNonce()
{
    return absl::StrCat(m_self.id.value(), ".", m_self.incarnation, ".", absl::Hex(m_random(), absl::kZeroPad16));
}

} // namespace snipeferry::operations
