#pragma once

#include "snipeferry/core/timerservice.h"
#include "snipeferry/limits/customertokens.h"
#include "snipeferry/limits/limitsettings.h"

#include <deque>
#include <functional>
#include <map>
#include <vector>

/**
 * Token grants that this instance gave to other instances.
 */
namespace snipeferry::limits {

/**
 * Debits local buckets for grants and counts the granted tokens against the burst as long as the receiver may still use them.
 *
 * A grant ends when the receiver sends a final TokenReturn, or when the grant's lifetime and the clock margin have passed since this instance
 * created the grant.
 */
class GrantLedger
{
public:
    /** Returns the tokens of a customer, or nullptr if the customer is not configured. */
    using Lookup = std::function<CustomerTokens *(const core::CustomerId &)>;

    GrantLedger(LimitSettings settings, core::TimerService &timers, Lookup lookup);

    /** @brief Grants the tokens that are available, possibly none. A repeated request receives the same grant again. */
    TokenGrant grant(const core::InstanceId &receiver, const TokenRequest &request);

    /**
     * @brief Credits unused tokens that the receiver returned.
     *
     * A repeated message has no effect. After the end of the grant, tokens are credited only as far as the burst allows.
     */
    void takeBack(const core::InstanceId &receiver, const TokenReturn &message);

    /** @brief Ends grants whose lifetime and clock margin have passed, and removes grants whose unused tokens can no longer be credited. */
    void sweep();

    std::size_t size() const;

private:
    struct GrantKey
    {
        core::InstanceId receiver;
        core::Incarnation incarnation = 0;
        std::uint64_t transferId = 0;

        SNIPEFERRY_VALUE(GrantKey, receiver, incarnation, transferId)

        friend bool operator<(const GrantKey &left, const GrantKey &right)
        {
            return left.tied() < right.tied();
        }
    };

    struct GrantedPart
    {
        std::uint64_t bucketId = 0;
        /** Tokens that the receiver has not returned. */
        MicroTokens amount = 0;
        /** Mark for credit(), set when the tokens are released. */
        BucketMark releaseMark = 0;
    };

    struct Grant
    {
        TokenGrant message;
        std::vector<GrantedPart> parts;
        MicroTokens returned = 0;
        bool isReleased = false;
    };

    struct ScheduledGrant
    {
        absl::Time dueAt;
        GrantKey key;
    };

    void release(Grant &grant);

    LimitSettings m_settings;
    core::TimerService &m_timers;
    Lookup m_lookup;
    std::map<GrantKey, Grant> m_grants;
    std::deque<ScheduledGrant> m_releases;
    std::deque<ScheduledGrant> m_removals;
};

} // namespace snipeferry::limits
