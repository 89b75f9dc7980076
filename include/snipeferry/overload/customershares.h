#pragma once

#include "snipeferry/core/ids.h"
#include "snipeferry/core/timerservice.h"

#include <absl/container/flat_hash_map.h>

#include <array>
#include <cstdint>
#include <random>
#include <utility>
#include <vector>

namespace snipeferry::overload {

/** What requests of one customer ask for at one instance, in the unit of the customer's rate limit. */
struct CustomerDemand
{
    core::CustomerId customer;
    /** Tokens per second, or requests per second if the limit counts requests. */
    double perSecond = 0;
};

/** A customer's rate limit, which bounds what it can ask the backend servers for. */
struct CustomerLimit
{
    core::CustomerId customer;
    /** Tokens or requests per second of all instances together. */
    double perSecond = 0;
    bool countsTokens = false;
};

/**
 * Even shares of a service's room between customers whose requests are of the same urgency level.
 *
 * The demand of a customer is what its requests ask of this instance, plus what other instances have reported of it. The room is the part of the own
 * demand that was not refused lately. While nothing is refused, every share is 1. Under shortage the room is divided by max-min fairness: customers
 * that ask for less than the even share leave the rest to the others. No state is agreed on between instances.
 */
class CustomerShares
{
public:
    /** Customers whose demand is known at the same time. It is the largest number that the gateway is designed for. */
    static constexpr std::size_t MAX_CUSTOMERS = 4200;
    /** Smallest factor of the wait's bound. With less, a short wait that is no shortage would refuse requests. */
    static constexpr double MIN_FACTOR = 0.25;
    /** Reports of other instances that are older than this are not used. */
    static constexpr absl::Duration MAX_REPORT_AGE = absl::Seconds(5);

    CustomerShares(core::TimerService &timers, std::uint64_t seed);

    /** @brief Sets the customers' rate limits, in place of the previous ones. */
    void setLimits(const std::vector<CustomerLimit> &limits);

    /** @brief Sets what another instance has reported, in place of its previous report. */
    void noteReport(const core::InstanceId &from, const std::vector<CustomerDemand> &demands);

    /**
     * @brief Records an admitted request of a customer.
     * @param work tokens, or 1 for a request without token counts
     * @param charge what the request costs of the customer's rate limit
     */
    void noteRequest(const core::ServiceId &service, int level, const core::CustomerId &customer, double work, double charge);

    /**
     * @brief Records that a request of noteRequest() was refused for want of room.
     * @param factor what boundFactor() returned for it; 1 if it was not asked for
     */
    void noteRefusal(const core::ServiceId &service, int level, double work, double factor);

    /**
     * @brief The part of a customer's demand that is within its even share, relative to the customer that gets the largest part.
     * @return above 0 and at most 1; 1 for all customers if nothing was refused lately, and for the only customer
     */
    double share(const core::ServiceId &service, int level, const core::CustomerId &customer);

    /**
     * @brief The factor of the wait's bound for one request.
     *
     * Of a customer that asks for more than its even share, a random part nearly as large as that share gets 1, so that the customer still has it while
     * the wait is too long for the rest. The rest gets share(), at least MIN_FACTOR.
     */
    double boundFactor(const core::ServiceId &service, int level, const core::CustomerId &customer);

    /** @brief Number of customers whose demand is known. */
    std::size_t customerCount() const;

private:
    /** Units of rate limits. */
    enum Unit {
        Requests,
        Tokens,
    };
    static constexpr int UNIT_COUNT = 2;

    /** Position in m_customers. */
    using Index = std::uint32_t;
    static constexpr Index NO_CUSTOMER = UINT32_MAX;

    /** A sum in which an amount counts less the older it is. */
    class DecayingSum
    {
    public:
        void add(double amount, absl::Time now);
        double at(absl::Time now) const;

    private:
        double m_value = 0;
        absl::Time m_updatedAt = absl::InfinitePast();
    };

    struct CustomerState
    {
        core::CustomerId id;
        Unit unit = Requests;
        /** Of all instances together, in the unit; infinite if there is none. */
        double limitPerSecond = 0;
        /** Charges of this instance's requests. */
        DecayingSum charged;
        absl::Time lastRequestAt = absl::InfinitePast();
        /** Sum of the reports of other instances, weighted by their age. */
        double reportedPerSecond = 0;
        bool isReported = false;
    };

    /** Requests of one service and urgency level. */
    struct Group
    {
        absl::flat_hash_map<Index, DecayingSum> work;
        DecayingSum asked;
        DecayingSum refused;
        absl::Time computedAt = absl::InfinitePast();
        /** Shares below 1. */
        absl::flat_hash_map<Index, double> shares;
    };

    struct Report
    {
        absl::Time receivedAt;
        std::vector<std::pair<Index, float>> demands;
    };

    /** Index of a customer, which is added if there is room; NO_CUSTOMER otherwise. */
    Index indexOf(const core::CustomerId &customer);
    void applyLimit(CustomerState &state) const;
    /** Sums up the reports, and forgets old ones and customers without demand. */
    void refreshReports();
    void refreshShares(Group &group);
    /** Demand of each customer at the group, in tokens per second. */
    std::vector<std::pair<Index, double>> demandsOf(const Group &group) const;

    core::TimerService &m_timers;
    std::mt19937_64 m_random;
    absl::flat_hash_map<core::CustomerId, CustomerLimit> m_limits;
    absl::flat_hash_map<core::CustomerId, Index> m_indices;
    std::vector<CustomerState> m_customers;
    std::vector<Index> m_freeIndices;
    absl::flat_hash_map<std::pair<core::ServiceId, int>, Group> m_groups;
    absl::flat_hash_map<core::InstanceId, Report> m_reports;
    absl::Time m_reportsRefreshedAt = absl::InfinitePast();
    /** Number of this instance's requests, for the mean charge, by unit. */
    std::array<DecayingSum, UNIT_COUNT> m_requestCounts;
    std::array<DecayingSum, UNIT_COUNT> m_charged;
};

} // namespace snipeferry::overload
