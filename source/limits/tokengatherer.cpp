#include "snipeferry/limits/tokengatherer.h"

#include <algorithm>

namespace snipeferry::limits {

namespace {

/** A request that its owner has not answered within this time counts as overdue, and the tokens are requested from other owners. */
constexpr absl::Duration REQUEST_TIMEOUT = absl::Milliseconds(150);
/** An owner that did not answer gets no further request for this long. */
constexpr absl::Duration UNRESPONSIVE_PERIOD = absl::Milliseconds(500);
/** Hints older than this are ignored, and the owner is assumed to have its whole burst. */
constexpr absl::Duration HINT_LIFETIME = absl::Seconds(5);
/** How long after the end of a grant its unused tokens can still be returned. */
constexpr absl::Duration LATE_RETURN_PERIOD = absl::Minutes(5);

MicroTokens refilledIn(MicroTokens ratePerSecond, absl::Duration time)
{
    return static_cast<MicroTokens>(static_cast<double>(ratePerSecond) * absl::ToDoubleSeconds(time));
}

} // namespace

TokenGatherer::TokenGatherer(LimitSettings settings, membership::InstanceDescription self, core::TimerService &timers, messages::Outbox &outbox)
    : m_settings(settings),
      m_self(std::move(self)),
      m_timers(timers),
      m_outbox(outbox)
{
}

MicroTokens TokenGatherer::ask(
    const core::CustomerId &customer, const std::vector<OwnerShare> &owners, MicroTokens amount, MicroTokens minEstimate, bool isUrgent)
{
    MicroTokens requested = 0;
    for (const OwnerShare &owner : owners) {
        const MicroTokens estimated = estimate(customer, owner);
        const MicroTokens wanted = std::min(amount - requested, estimated);
        if (wanted <= 0 || estimated < minEstimate) {
            continue;
        }
        requested += wanted;
        const std::uint64_t transferId = ++m_lastTransferId;
        m_openRequests[transferId] = {customer, owner.owner, wanted, m_timers.now(), false};
        m_outbox.push(messages::SendToPeer{owner.owner, TokenRequest{m_self.incarnation, transferId, customer, wanted, isUrgent}});

        // Lowers the estimate until the owner reports its remaining tokens.
        Hint &hint = m_hints[{customer, owner.owner}];
        hint = {estimated - wanted, owner.share.ratePerSecond, m_timers.now(), hint.unresponsiveUntil};
    }
    if (requested > 0) {
        m_inFlight[customer] += requested;
    }
    return requested;
}

MicroTokens TokenGatherer::inFlight(const core::CustomerId &customer) const
{
    const auto it = m_inFlight.find(customer);
    return it == m_inFlight.end() ? 0 : it->second;
}

MicroTokens TokenGatherer::estimate(const core::CustomerId &customer, const std::vector<OwnerShare> &owners) const
{
    MicroTokens sum = 0;
    for (const OwnerShare &owner : owners) {
        sum += estimate(customer, owner);
    }
    return sum;
}

MicroTokens TokenGatherer::estimate(const core::CustomerId &customer, const OwnerShare &owner) const
{
    const auto it = m_hints.find({customer, owner.owner});
    if (it == m_hints.end()) {
        return owner.share.burst;
    }
    const Hint &hint = it->second;
    if (m_timers.now() < hint.unresponsiveUntil) {
        return 0;
    }
    const absl::Duration age = m_timers.now() - hint.updatedAt;
    if (age >= HINT_LIFETIME) {
        return owner.share.burst;
    }
    return std::min(owner.share.burst, hint.remaining + refilledIn(hint.mintedPerSecond, age));
}

std::optional<HeldGrant> TokenGatherer::accept(const core::InstanceId &donor, const TokenGrant &message)
{
    const auto it = m_openRequests.find(message.transferId);
    if (message.incarnation != m_self.incarnation || it == m_openRequests.end() || it->second.donor != donor || it->second.customer != message.customer) {
        return std::nullopt;
    }
    const OpenRequest openRequest = it->second;
    m_openRequests.erase(it);
    removeInFlight(openRequest);
    m_hints[{openRequest.customer, donor}] = {message.remaining, message.mintedPerSecond, m_timers.now(), absl::InfinitePast()};

    // Counts the lifetime from the sending of the request. The donor starts counting later, so the grant expires here first.
    const absl::Time expires = openRequest.sentAt + std::min(message.lifetime, m_settings.grantLifetime);
    if (message.amount <= 0 || m_timers.now() >= expires) {
        return std::nullopt;
    }
    return HeldGrant{donor, message.transferId, message.amount, 0, expires};
}

void TokenGatherer::returnGrant(const core::CustomerId &customer, const HeldGrant &grant)
{
    const MicroTokens returnedInAll = grant.returnedInAll + grant.left;
    m_ended[grant.transferId] = {customer, grant.donor, returnedInAll, m_timers.now()};
    m_endedOrder.push_back(grant.transferId);
    m_outbox.push(messages::SendToPeer{grant.donor, TokenReturn{m_self.incarnation, grant.transferId, customer, returnedInAll, true}});
}

void TokenGatherer::returnLate(const LateReturn &lateReturn)
{
    const auto it = m_ended.find(lateReturn.transferId);
    if (it == m_ended.end()) {
        return;
    }
    EndedGrant &grant = it->second;
    grant.returnedInAll += lateReturn.amount;
    m_outbox.push(messages::SendToPeer{grant.donor, TokenReturn{m_self.incarnation, lateReturn.transferId, grant.customer, grant.returnedInAll, true}});
}

std::vector<core::CustomerId> TokenGatherer::sweep()
{
    const absl::Time now = m_timers.now();
    std::vector<core::CustomerId> customers;
    for (auto it = m_openRequests.begin(); it != m_openRequests.end() && it->second.sentAt + REQUEST_TIMEOUT <= now;) {
        OpenRequest &openRequest = it->second;
        if (!openRequest.isOverdue) {
            removeInFlight(openRequest);
            openRequest.isOverdue = true;
            m_hints[{openRequest.customer, openRequest.donor}].unresponsiveUntil = now + UNRESPONSIVE_PERIOD;
            customers.push_back(openRequest.customer);
        }
        it = openRequest.sentAt + m_settings.grantLifetime <= now ? m_openRequests.erase(it) : std::next(it);
    }
    while (!m_endedOrder.empty() && m_ended.at(m_endedOrder.front()).endedAt + LATE_RETURN_PERIOD <= now) {
        m_ended.erase(m_endedOrder.front());
        m_endedOrder.pop_front();
    }
    if (now >= m_nextPrune) {
        m_nextPrune = now + HINT_LIFETIME;
        for (auto it = m_hints.begin(); it != m_hints.end();) {
            it = it->second.updatedAt + HINT_LIFETIME <= now && it->second.unresponsiveUntil <= now ? m_hints.erase(it) : std::next(it);
        }
    }
    return customers;
}

std::size_t TokenGatherer::size() const
{
    return m_openRequests.size() + m_hints.size() + m_ended.size();
}

void TokenGatherer::removeInFlight(const OpenRequest &openRequest)
{
    if (openRequest.isOverdue) {
        return;
    }
    const auto it = m_inFlight.find(openRequest.customer);
    it->second -= openRequest.amount;
    if (it->second <= 0) {
        m_inFlight.erase(it);
    }
}

} // namespace snipeferry::limits
