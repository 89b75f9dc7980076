#pragma once

#include "snipeferry/core/timerservice.h"
#include "snipeferry/limits/customertokens.h"
#include "snipeferry/limits/limitsettings.h"
#include "snipeferry/membership/messages.h"
#include "snipeferry/messages/action.h"

#include <deque>
#include <map>
#include <optional>
#include <unordered_map>
#include <utility>
#include <vector>

/**
 * Token requests to other instances.
 */
namespace snipeferry::limits {

/** Another instance that owns home slots of a customer, and the sum of the shares of these slots. */
struct OwnerShare
{
    core::InstanceId owner;
    SlotShare share;

    SNIPEFERRY_VALUE(OwnerShare, owner, share)
};

/** Requests tokens from the owners of slots, estimates what each owner has left, and returns unused tokens. */
class TokenGatherer
{
public:
    TokenGatherer(LimitSettings settings, membership::InstanceDescription self, core::TimerService &timers, messages::Outbox &outbox);

    /**
     * @brief Requests tokens of a customer from owners in the given order, from each at most its estimated tokens.
     * @param minEstimate owners with a lower estimate are skipped
     * @return the sum of the requested tokens
     */
    MicroTokens ask(const core::CustomerId &customer, const std::vector<OwnerShare> &owners, MicroTokens amount, MicroTokens minEstimate, bool isUrgent);

    /** @brief Returns the tokens of requests that owners have not answered yet. */
    MicroTokens inFlight(const core::CustomerId &customer) const;

    /** @brief Returns the estimated number of tokens that the owners have. */
    MicroTokens estimate(const core::CustomerId &customer, const std::vector<OwnerShare> &owners) const;

    /** @brief Accepts a grant; returns nothing if it answers no open request, is empty or has expired. */
    std::optional<HeldGrant> accept(const core::InstanceId &donor, const TokenGrant &message);

    /** @brief Ends a grant and returns its remaining tokens to the donor. */
    void returnGrant(const core::CustomerId &customer, const HeldGrant &grant);

    /** @brief Returns unused tokens of a reservation to the donor after the grant has ended at this instance. */
    void returnLate(const LateReturn &lateReturn);

    /** @brief Marks requests as overdue that were not answered in time, and removes old entries. @return the customers of overdue requests */
    std::vector<core::CustomerId> sweep();

    std::size_t size() const;

private:
    struct OpenRequest
    {
        core::CustomerId customer;
        core::InstanceId donor;
        MicroTokens amount = 0;
        absl::Time sentAt;
        bool isOverdue = false;
    };

    /** Estimate of the tokens that an owner has left, from its last grant and the requests sent to it since. */
    struct Hint
    {
        MicroTokens remaining = 0;
        MicroTokens mintedPerSecond = 0;
        absl::Time updatedAt;
        /** Set when the owner did not answer a request in time: until this time the owner is estimated to have no tokens. */
        absl::Time unresponsiveUntil = absl::InfinitePast();
    };

    struct EndedGrant
    {
        core::CustomerId customer;
        core::InstanceId donor;
        MicroTokens returnedInAll = 0;
        absl::Time endedAt;
    };

    using HintKey = std::pair<core::CustomerId, core::InstanceId>;

    MicroTokens estimate(const core::CustomerId &customer, const OwnerShare &owner) const;
    void removeInFlight(const OpenRequest &openRequest);

    LimitSettings m_settings;
    membership::InstanceDescription m_self;
    core::TimerService &m_timers;
    messages::Outbox &m_outbox;
    absl::Time m_nextPrune = absl::InfinitePast();
    std::uint64_t m_lastTransferId = 0;
    std::map<std::uint64_t, OpenRequest> m_openRequests;
    std::map<HintKey, Hint> m_hints;
    std::unordered_map<core::CustomerId, MicroTokens> m_inFlight;
    std::unordered_map<std::uint64_t, EndedGrant> m_ended;
    std::deque<std::uint64_t> m_endedOrder;
};

} // namespace snipeferry::limits
