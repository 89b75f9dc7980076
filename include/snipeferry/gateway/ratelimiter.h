#pragma once

#include "snipeferry/core/error.h"
#include "snipeferry/core/signal.h"
#include "snipeferry/core/timerservice.h"
#include "snipeferry/gateway/model.h"

#include <absl/container/flat_hash_map.h>

#include <vector>

namespace snipeferry::gateway {

/** State of one customer's token bucket at one instance, as the instance reports it to the others. */
struct AllowanceReport
{
    core::CustomerId customer;
    double balance = 0;
    /** Tokens that requests ask for per second, as a moving average. */
    double demand = 0;

    SNIPEFERRY_VALUE(AllowanceReport, customer, balance, demand)
};

/** Tokens that one instance transfers to another. The sender has already subtracted them from its own balance. */
struct AllowanceGrant
{
    core::CustomerId customer;
    double tokens = 0;

    SNIPEFERRY_VALUE(AllowanceGrant, customer, tokens)
};

/** Signals that this instance is running out of a customer's tokens and should request some from other instances. */
struct AllowanceShortage
{
    core::CustomerId customer;
    /** Tokens missing to this instance's share of the burst, or to the current request if that needs more. */
    double tokens = 0;
};

/** Tolerance of the rate limits: how far all instances together may exceed a customer's rate and burst. */
struct AllowanceSettings
{
    /** Tokens or requests that may be spent in addition to the burst by all instances together. */
    double slack = 0;
    /** Fraction by which the rate may be exceeded. */
    double excess = 0;
};

/**
 * Applies the customers' fleet-wide rate limits at this instance, with one token bucket for each customer.
 *
 * Each instance refills its buckets at an equal share of the customer's rate. Only tokens are transferred between instances:
 * from those with low demand to those with high demand, either after a periodic report or when an instance requests them. The
 * sender subtracts tokens before it sends them, so a lost message never raises the fleet's total. An instance that
 * cannot reach the others continues with its own share. A started process has no tokens until it knows the other instances,
 * or until DISCOVERY_TIME has passed without any.
 */
class RateLimiter
{
public:
    RateLimiter(AllowanceSettings settings, core::TimerService &timers);

    void configure(const std::vector<Customer> &customers);

    /**
     * @brief Sets the number of instances among which the rates are divided.
     *
     * A decrease takes effect after COUNT_DECREASE_DELAY, when the instance that left can no longer spend tokens.
     */
    void setInstanceCount(int count);

    /** @brief Subtracts the cost from the balance; RateExceeded, with the time until the refill suffices, if the balance is too low. */
    core::Expected<void> reserve(const core::CustomerId &customer, double cost);

    /** @brief Adds the tokens of a request that certainly did not run to the balance again. */
    void refund(const core::CustomerId &customer, double cost);

    /**
     * @brief Sets whether tokens are collected at the relays of a large region.
     *
     * Instances then keep few idle tokens, because a relay grants them within one round trip.
     */
    void setUsesRelays(bool usesRelays);

    /** @brief Adds the demand of an instance that reports to this relay to the demand that this relay reports itself. */
    void noteClientReports(const core::InstanceId &client, const std::vector<AllowanceReport> &clientReports);

    /** @brief Balance and demand of every customer with a rate limit. */
    std::vector<AllowanceReport> reports();

    /** @brief Subtracts and returns the tokens to transfer to a peer that has sent these reports. */
    std::vector<AllowanceGrant> grantsFor(const core::InstanceId &peer, const std::vector<AllowanceReport> &peerReports);

    void receive(const std::vector<AllowanceGrant> &grants);

    /** @brief Subtracts and returns as many of the requested tokens as this instance can spare for another one. */
    double grantOnRequest(const core::CustomerId &customer, double tokens);

    /** @brief Emitted by reserve(), at intervals that leave the other instances time to answer. */
    core::Signal<AllowanceShortage> &shortages();

    /** @brief Whether other instances were asked for the customer's tokens so recently that a grant may still arrive. */
    bool isAwaitingGrants(const core::CustomerId &customer) const;

private:
    struct Bucket
    {
        double rate = 0;
        double burst = 0;
        double balance = 0;
        double demand = 0;
        /** Demand of the instances that report to this relay. */
        double clientDemand = 0;
        double costSinceDemandUpdate = 0;
        absl::Time updatedAt;
        absl::Time demandUpdatedAt;
        absl::Time lastPeerRequestAt = absl::InfinitePast();
        double requestedFromPeers = 0;
        /** Tokens granted by other instances since the last request to them. */
        double receivedSincePeerRequest = 0;
    };

    /** An instance that has lost the store stops accepting customers' keys, and so stops spending their tokens, within this time. */
    static constexpr absl::Duration COUNT_DECREASE_DELAY = absl::Seconds(6);

    /** The last reports of an instance that reports to this relay. */
    struct ClientReports
    {
        absl::Time receivedAt;
        std::vector<AllowanceReport> reports;
    };

    void refill(Bucket &bucket);
    void addClientDemand(const std::vector<AllowanceReport> &clientReports, double sign);
    void removeSilentClients();
    /** Demand of this instance and of those that report to it as a relay. */
    double demandWithClients(const Bucket &bucket);
    /** Demand that the fair balance assumes for an idle instance. */
    double idleDemand(const Bucket &bucket);
    void scaleBalances(double factor);
    /** Gives each bucket its initial balance as soon as a started process knows the number of instances. */
    void initializeBalances();
    void updateDemand(Bucket &bucket);
    int instanceCount();
    bool haveGrantsFallenShort(const Bucket &bucket) const;
    void requestFromPeers(double tokens, const core::CustomerId &customer, Bucket &bucket);

    AllowanceSettings m_settings;
    core::TimerService &m_timers;
    absl::flat_hash_map<core::CustomerId, Bucket> m_buckets;
    core::Signal<AllowanceShortage> m_shortages;
    int m_instanceCount = 1;
    int m_pendingInstanceCount = 1;
    absl::Time m_countDecreaseAt = absl::InfiniteFuture();
    absl::Time m_startedAt;
    bool m_isInstanceCountKnown = false;
    bool m_usesRelays = false;
    absl::flat_hash_map<core::InstanceId, ClientReports> m_clientReports;
};

} // namespace snipeferry::gateway
