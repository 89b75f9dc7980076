#include "snipeferry/limits/ratelimiter.h"

#include "snipeferry/limits/reservations.h"

#include <utility>

namespace snipeferry::limits {

class RateLimiter::Impl
{
public:
    Impl(LimitSettings settings, membership::InstanceDescription self, core::TimerService &timers, messages::Outbox &outbox)
        : m_outbox(outbox),
          m_registry(settings, self, timers, outbox),
          m_reservations(settings, std::move(self), timers, outbox, m_registry),
          m_ledger(settings, timers, [this](const core::CustomerId &customer) { return m_reservations.tokensOf(customer); })
    {
        m_sweep = timers.every(SWEEP_INTERVAL, [this] { m_ledger.sweep(); });
    }

    void handle(const messages::PeerReceived &event)
    {
        if (const TokenRequest *request = std::get_if<TokenRequest>(&event.message)) {
            m_outbox.push(messages::SendToPeer{event.from, m_ledger.grant(event.from, *request)});
        } else if (const TokenGrant *grant = std::get_if<TokenGrant>(&event.message)) {
            m_reservations.handleGrant(event.from, *grant);
        } else if (const TokenReturn *message = std::get_if<TokenReturn>(&event.message)) {
            m_ledger.takeBack(event.from, *message);
        }
    }

    messages::Outbox &m_outbox;
    SlotRegistry m_registry;
    Reservations m_reservations;
    GrantLedger m_ledger;

private:
    static constexpr absl::Duration SWEEP_INTERVAL = absl::Milliseconds(100);

    core::Subscription m_sweep;
};

RateLimiter::RateLimiter(LimitSettings settings, membership::InstanceDescription self, core::TimerService &timers, messages::Outbox &outbox)
    : m_impl(std::make_unique<Impl>(settings, std::move(self), timers, outbox))
{
}

RateLimiter::~RateLimiter() = default;

void RateLimiter::configure(const configuration::Configuration &configuration)
{
    m_impl->m_reservations.configure(configuration);
}

void RateLimiter::setMembers(const std::vector<membership::InstanceDescription> &members)
{
    m_impl->m_registry.setMembers(members);
    m_impl->m_reservations.setMembers(members);
}

void RateLimiter::reserve(const core::RequestId &request, const core::CustomerId &customer, core::Tokens amount, absl::Duration patience)
{
    m_impl->m_reservations.reserve(request, customer, amount, patience);
}

void RateLimiter::settle(const core::RequestId &request, core::Tokens used)
{
    m_impl->m_reservations.settle(request, used);
}

core::Signal<ReservationDecision> &RateLimiter::decided()
{
    return m_impl->m_reservations.decided();
}

std::vector<core::InstanceId> RateLimiter::homes(const core::CustomerId &customer) const
{
    return m_impl->m_reservations.homes(customer);
}

void RateLimiter::handle(const messages::PeerReceived &event)
{
    m_impl->handle(event);
}

void RateLimiter::handle(const messages::PlatformReplied &event)
{
    m_impl->m_registry.handle(event);
}

void RateLimiter::handle(const messages::PlatformWatched &event)
{
    m_impl->m_registry.handle(event);
}

void RateLimiter::drain()
{
    m_impl->m_reservations.drain();
    m_impl->m_registry.drain();
}

} // namespace snipeferry::limits
