#pragma once

#include "snipeferry/core/error.h"
#include "snipeferry/core/signal.h"
#include "snipeferry/core/timerservice.h"
#include "snipeferry/gateway/model.h"

#include <absl/container/flat_hash_map.h>

#include <vector>

namespace snipeferry::gateway {

/** What an instance tells the others of one customer's tokens. */
struct AllowanceReport
{
    core::CustomerId customer;
    double balance = 0;
    /** Tokens asked for in a second, smoothed. */
    double demand = 0;

    SNIPEFERRY_VALUE(AllowanceReport, customer, balance, demand)
};

/** Tokens that one instance gives to another; the giver has debited them. */
struct AllowanceGrant
{
    core::CustomerId customer;
    double tokens = 0;

    SNIPEFERRY_VALUE(AllowanceGrant, customer, tokens)
};

/** An instance's part of a customer's tokens runs out; others may have some to spare. */
struct AllowanceShortage
{
    core::CustomerId customer;
    /** What is missing for the request at hand, or to fill the part again. */
    double tokens = 0;
};

/** How far the fleet together may go beyond a customer's rate and burst before a limit counts as broken. */
struct AllowanceSettings
{
    /** Tokens or requests beyond the burst, of all instances together. */
    double slack = 0;
    /** Part of the rate beyond it. */
    double excess = 0;
};

/**
 * This instance's part of the customers' fleet-wide allowances.
 *
 * Each instance refills an equal part of the rate. Rates never move; tokens do, from instances with little demand to those
 * with much, as reports show it and when one runs short and asks, and a giver debits before it sends. So the sum over all
 * instances holds however messages are lost, and an instance that is cut off goes on with its own part. A started process has
 * nothing until it knows the other instances, or that there are none.
 */
class AllowanceBook
{
public:
    AllowanceBook(AllowanceSettings settings, core::TimerService &timers);

    void configure(const std::vector<Customer> &customers);

    /**
     * @brief States among how many instances the rates are split.
     *
     * A smaller number takes effect only after the instance that left has surely stopped spending; see SHRINK_DELAY.
     */
    void setInstanceCount(int count);

    /** @brief Takes tokens; or RateExceeded with the time until they have refilled. */
    core::Expected<void> reserve(const core::CustomerId &customer, double cost);

    /** @brief Gives tokens of a request back that certainly did not run. */
    void refund(const core::CustomerId &customer, double cost);

    /** @brief States of all customers with a limit. */
    std::vector<AllowanceReport> reports();

    /** @brief Debits and returns what a peer with these reports should get. */
    std::vector<AllowanceGrant> grantsFor(const core::InstanceId &peer, const std::vector<AllowanceReport> &peerReports);

    void receive(const std::vector<AllowanceGrant> &grants);

    /** @brief Debits and returns what this instance can spare of what another one asks for. */
    double giveOnDemand(const core::CustomerId &customer, double tokens);

    /** @brief Emitted from within reserve(); never more often than tokens can come. */
    core::Signal<AllowanceShortage> &shortages();

    /** @brief Whether other instances were asked for the customer's tokens so lately that an answer may be on its way. */
    bool isAwaiting(const core::CustomerId &customer) const;

private:
    struct Bucket
    {
        double rate = 0;
        double burst = 0;
        double balance = 0;
        double demand = 0;
        double askedSinceUpdate = 0;
        absl::Time updatedAt;
        absl::Time demandUpdatedAt;
        absl::Time askedAt = absl::InfinitePast();
        double askedFor = 0;
        /** Tokens that came since the last asking. */
        double received = 0;
    };

    /** An instance that lost the store stops spending on keys within this time. */
    static constexpr absl::Duration SHRINK_DELAY = absl::Seconds(6);

    void refill(Bucket &bucket);
    void shrinkBalances(double share);
    /** The number of instances is known from now on: fills the buckets that a started process has. */
    void learnFleet();
    void updateDemand(Bucket &bucket);
    int instanceCount();
    bool wasAnsweredPoorly(const Bucket &bucket) const;
    void askFor(double tokens, const core::CustomerId &customer, Bucket &bucket);

    AllowanceSettings m_settings;
    core::TimerService &m_timers;
    absl::flat_hash_map<core::CustomerId, Bucket> m_buckets;
    core::Signal<AllowanceShortage> m_shortages;
    int m_count = 1;
    int m_pendingCount = 1;
    absl::Time m_shrinkAt = absl::InfiniteFuture();
    absl::Time m_startedAt;
    bool m_isFleetKnown = false;
};

} // namespace snipeferry::gateway
