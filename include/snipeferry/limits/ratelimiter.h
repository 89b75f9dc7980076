#pragma once

#include "snipeferry/configuration/configuration.h"
#include "snipeferry/core/signal.h"
#include "snipeferry/core/timerservice.h"
#include "snipeferry/limits/limitsettings.h"
#include "snipeferry/limits/reservationdecision.h"
#include "snipeferry/membership/messages.h"
#include "snipeferry/messages/action.h"
#include "snipeferry/messages/event.h"

#include <memory>
#include <vector>

/**
 * Rate limits of customers that apply to all instances together.
 */
namespace snipeferry::limits {

/**
 * Admits requests within each customer's rate and burst, which apply to all instances together.
 *
 * In a time window of any length, all instances together admit at most burst + rate x length tokens.
 */
class RateLimiter
{
public:
    RateLimiter(LimitSettings settings, membership::InstanceDescription self, core::TimerService &timers, messages::Outbox &outbox);
    ~RateLimiter();

    /** @brief Applies a newer configuration. Rates and bursts may change while requests are running. */
    void configure(const configuration::Configuration &configuration);

    /** @brief Sets the other instances that are currently considered alive. */
    void setMembers(const std::vector<membership::InstanceDescription> &members);

    /**
     * @brief Reserves tokens for a request. The decision is emitted by decided(), possibly before this function returns.
     * @param request the request that the tokens are for
     * @param customer the customer whose limit is charged
     * @param amount upper bound of the tokens that the request uses
     * @param patience how long the reservation may wait for tokens of other instances
     */
    void reserve(const core::RequestId &request, const core::CustomerId &customer, core::Tokens amount, absl::Duration patience);

    /** @brief Ends a reservation, whether it waits or holds tokens. Unused tokens are credited as far as the limit allows. */
    void settle(const core::RequestId &request, core::Tokens used);

    core::Signal<ReservationDecision> &decided();

    /**
     * @brief Returns the instances of this data centre that own the customer's home slots, the highest rendezvous-hashing score first.
     *
     * Callers of that customer are directed to them.
     */
    std::vector<core::InstanceId> homes(const core::CustomerId &customer) const;

    /** @brief Handles a message of another instance; messages that do not concern limits are ignored. */
    void handle(const messages::PeerReceived &event);
    void handle(const messages::PlatformReplied &event);
    void handle(const messages::PlatformWatched &event);

    /** @brief Releases all slots and refuses all reservations from now on. */
    void drain();

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace snipeferry::limits
