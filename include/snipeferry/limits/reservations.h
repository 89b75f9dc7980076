#pragma once

#include "snipeferry/core/signal.h"
#include "snipeferry/core/timerservice.h"
#include "snipeferry/limits/customertokens.h"
#include "snipeferry/limits/demandmeter.h"
#include "snipeferry/limits/grantledger.h"
#include "snipeferry/limits/limitsettings.h"
#include "snipeferry/limits/reservationdecision.h"
#include "snipeferry/limits/slotregistry.h"
#include "snipeferry/limits/tokengatherer.h"

#include <list>
#include <map>
#include <memory>
#include <set>
#include <unordered_map>
#include <unordered_set>
#include <vector>

/**
 * Token reservations for the requests of this instance.
 */
namespace snipeferry::limits {

/**
 * Reserves tokens from local buckets and received grants, and requests grants from other slot owners when these do not suffice.
 *
 * A reservation is refused when the available tokens, the tokens estimated at other owners and the refill cannot cover it before its deadline, and
 * at the latest when its maximum wait is over.
 */
class Reservations
{
public:
    Reservations(LimitSettings settings, membership::InstanceDescription self, core::TimerService &timers, messages::Outbox &outbox, SlotRegistry &registry);

    void configure(const configuration::Configuration &configuration);
    void setMembers(const std::vector<membership::InstanceDescription> &members);
    void reserve(const core::RequestId &request, const core::CustomerId &customer, core::Tokens amount, absl::Duration patience);
    void settle(const core::RequestId &request, core::Tokens used);
    void handleGrant(const core::InstanceId &donor, const TokenGrant &message);
    void drain();

    core::Signal<ReservationDecision> &decided();

    /** @brief Returns the owners of the customer's home slots in this data centre. */
    std::vector<core::InstanceId> homes(const core::CustomerId &customer) const;

    /** @brief Returns the tokens of a customer, or nullptr if the customer is not configured. */
    CustomerTokens *tokensOf(const core::CustomerId &customer);

private:
    /** An earlier configuration and the customer's allowed regions in it; together they determine the customer's earlier shares. */
    struct EarlierLayout
    {
        std::shared_ptr<const configuration::Configuration> layoutConfiguration;
        std::vector<core::RegionId> allowedRegions;
    };

    /** A reservation that waits for tokens. */
    struct Pending
    {
        core::RequestId request;
        MicroTokens wanted = 0;
        absl::Time deadline;
        core::Subscription timeout;
    };

    struct CustomerState
    {
        core::Tokens ratePerSecond = 0;
        core::Tokens burst = 0;
        std::vector<core::RegionId> allowedRegions;
        /** The customer's home slots, with the shares that their owners may issue now. */
        std::vector<HomeSlot> homes;
        /** Layouts that other instances may still use. The share of a slot must not exceed its share in any of them. */
        std::vector<EarlierLayout> earlierLayouts;
        CustomerTokens tokens;
        DemandMeter demand;
        std::list<Pending> pending;
        core::Subscription gatherRetry;
    };

    struct Reservation
    {
        core::CustomerId customer;
        MicroTokens amount = 0;
        std::vector<TokenPart> parts;
    };

    void removeCustomersNotIn(const configuration::Configuration &configuration);
    void configureCustomer(const configuration::Customer &customer, const std::shared_ptr<const configuration::Configuration> &before, bool hasLayoutChanged);
    void applyShares(const configuration::Customer &customer, CustomerState &state);
    std::vector<HomeSlot> homeSlotsWithCappedShares(const configuration::Customer &customer, const CustomerState &state) const;
    void confirmLayout(const LayoutConfirmed &event);
    void addSlot(const SlotAcquired &event);
    void addBucket(const core::CustomerId &customer, CustomerState &state, const HomeSlot &home, bool isFull);
    void removeSlot(const SlotId &slot);
    void recordRemovedBucket(const core::CustomerId &customer, const SlotId &slot);
    bool tryReserve(const core::CustomerId &customer, CustomerState &state, const core::RequestId &request, MicroTokens wanted);
    void retryPending(const core::CustomerId &customer);
    void gather(const core::CustomerId &customer);
    static absl::Duration refillTime(const CustomerState &state, MicroTokens amount);
    void refusePending(const core::CustomerId &customer, const core::RequestId &request);
    void sweep();
    void tick();
    void returnExpiringGrants(const core::CustomerId &customer, CustomerState &state);
    void prefetch(const core::CustomerId &customer, CustomerState &state);
    bool isIdle(CustomerState &state) const;
    std::vector<OwnerShare> otherOwners(const CustomerState &state) const;
    core::Error rateExceeded(const core::CustomerId &customer, CustomerState &state, MicroTokens wanted);
    void refuse(const core::RequestId &request, core::Error error);

    LimitSettings m_settings;
    membership::InstanceDescription m_self;
    core::TimerService &m_timers;
    messages::Outbox &m_outbox;
    SlotRegistry &m_registry;
    TokenGatherer m_gatherer;
    std::shared_ptr<const configuration::Configuration> m_configuration = std::make_shared<configuration::Configuration>();
    /** Revision of the last configuration that moved shares between slots and that not all owners have confirmed; 0 if there is none. */
    core::Revision m_unconfirmedLayout = 0;
    /** This instance started after a change that moved shares between slots, so it doesn't know the layout before that change. */
    bool m_isEarlierLayoutUnknown = false;
    std::set<core::InstanceId> m_liveInstances;
    std::vector<core::InstanceId> m_dataCentreMembers;
    std::unordered_map<core::CustomerId, CustomerState> m_customers;
    std::unordered_map<core::RequestId, Reservation> m_reservations;
    std::unordered_map<core::RequestId, core::CustomerId> m_customerOfPending;
    /** Customers with recent demand or with grants of other instances. */
    std::unordered_set<core::CustomerId> m_activeCustomers;
    /** Time until which grants from a removed bucket may be in use. A new bucket for the same customer and slot refills only from that time on. */
    std::map<std::pair<core::CustomerId, SlotId>, absl::Time> m_removedBuckets;
    core::Signal<ReservationDecision> m_decided;
    std::uint64_t m_lastBucketId = 0;
    bool m_isDraining = false;
    core::Subscription m_tick;
    core::Subscription m_sweep;
};

} // namespace snipeferry::limits
