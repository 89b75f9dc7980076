#include "snipeferry/limits/grantledger.h"

#include <algorithm>

namespace snipeferry::limits {

namespace {

/** How long after the end of a grant its unused tokens can still be credited. */
constexpr absl::Duration LATE_CREDIT_PERIOD = absl::Minutes(5);
/** At most 1 / PREFETCH_DIVISOR of the available tokens is granted to a request that fetches tokens ahead of demand. */
constexpr MicroTokens PREFETCH_DIVISOR = 2;

} // namespace

GrantLedger::GrantLedger(LimitSettings settings, core::TimerService &timers, Lookup lookup)
    : m_settings(settings),
      m_timers(timers),
      m_lookup(std::move(lookup))
{
}

TokenGrant GrantLedger::grant(const core::InstanceId &receiver, const TokenRequest &request)
{
    const GrantKey key{receiver, request.incarnation, request.transferId};
    const auto existing = m_grants.find(key);
    if (existing != m_grants.end()) {
        return existing->second.message;
    }
    const absl::Time now = m_timers.now();
    TokenGrant message{request.incarnation, request.transferId, request.customer, 0, m_settings.grantLifetime, 0, 0};
    CustomerTokens *tokens = m_lookup(request.customer);
    if (tokens == nullptr) {
        return message;
    }

    // Debits the tokens before the message is sent: the grant counts against the burst from here on, whether or not the message arrives.
    const MicroTokens level = tokens->localLevel(now);
    const MicroTokens amount = std::min(request.amount, request.isUrgent ? level : level / PREFETCH_DIVISOR);
    Grant grant;
    if (amount > 0) {
        for (const TokenPart &part : tokens->grant(amount, now)) {
            grant.parts.push_back({part.bucketId, part.amount, 0});
            message.amount += part.amount;
        }
    }
    message.remaining = tokens->localLevel(now);
    message.mintedPerSecond = tokens->mintedPerSecond();
    grant.message = message;
    m_grants.emplace(key, std::move(grant));
    m_releases.push_back({now + m_settings.grantLifetime + m_settings.clockMargin, key});
    return message;
}

void GrantLedger::takeBack(const core::InstanceId &receiver, const TokenReturn &message)
{
    const auto it = m_grants.find({receiver, message.incarnation, message.transferId});
    if (it == m_grants.end()) {
        return;
    }
    Grant &grant = it->second;
    CustomerTokens *tokens = m_lookup(grant.message.customer);
    if (tokens == nullptr) {
        return;
    }

    // The message states the sum of all returned tokens, so a repeated message adds nothing.
    MicroTokens added = std::min(message.returnedInAll, grant.message.amount) - grant.returned;
    grant.returned += std::max<MicroTokens>(0, added);
    for (GrantedPart &part : grant.parts) {
        const MicroTokens amount = std::min(added, part.amount);
        SlotBucket *bucket = tokens->find(part.bucketId);
        if (amount <= 0 || bucket == nullptr) {
            continue;
        }
        added -= amount;
        part.amount -= amount;
        if (grant.isReleased) {
            bucket->credit(part.releaseMark, amount, m_timers.now());
        } else {
            bucket->takeBack(amount, m_timers.now());
        }
    }
    if (message.isFinal) {
        release(grant);
    }
}

void GrantLedger::sweep()
{
    const absl::Time now = m_timers.now();
    while (!m_releases.empty() && m_releases.front().dueAt <= now) {
        const auto it = m_grants.find(m_releases.front().key);
        if (it != m_grants.end()) {
            release(it->second);
        }
        m_removals.push_back({now + LATE_CREDIT_PERIOD, m_releases.front().key});
        m_releases.pop_front();
    }
    while (!m_removals.empty() && m_removals.front().dueAt <= now) {
        m_grants.erase(m_removals.front().key);
        m_removals.pop_front();
    }
}

std::size_t GrantLedger::size() const
{
    return m_grants.size();
}

void GrantLedger::release(Grant &grant)
{
    if (grant.isReleased) {
        return;
    }
    grant.isReleased = true;
    CustomerTokens *tokens = m_lookup(grant.message.customer);
    for (GrantedPart &part : grant.parts) {
        SlotBucket *bucket = tokens == nullptr ? nullptr : tokens->find(part.bucketId);
        if (bucket != nullptr) {
            part.releaseMark = bucket->release(part.amount, m_timers.now());
        }
    }
}

} // namespace snipeferry::limits
