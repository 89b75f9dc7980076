#include "snipeferry/limits/reservations.h"

#include <algorithm>

// Updates the customers' shares when the configuration or the slots of this instance change.

namespace snipeferry::limits {

namespace {

/** Revision of the first accepted configuration; no tokens were issued before it. */
constexpr core::Revision FIRST_REVISION = 1;

} // namespace

void Reservations::configure(const configuration::Configuration &configuration)
{
    if (configuration.revision < m_configuration->revision) {
        return;
    }
    const std::shared_ptr<const configuration::Configuration> before = m_configuration;
    m_configuration = std::make_shared<configuration::Configuration>(configuration);
    if (before->revision == 0 && configuration.layoutRevision > 0) {
        m_isEarlierLayoutUnknown = true;
        m_unconfirmedLayout = configuration.layoutRevision;
    } else if (movesShares(*before, configuration)) {
        m_unconfirmedLayout = configuration.revision;
    }

    removeCustomersNotIn(*m_configuration);
    const bool hasLayoutChanged = before->regions != m_configuration->regions || before->slotsPerDataCentre != m_configuration->slotsPerDataCentre;
    for (const configuration::Customer &customer : m_configuration->customers) {
        configureCustomer(customer, before, hasLayoutChanged);
    }

    // From here on the shares of this instance do not exceed those of the new layout, so the records of its slots may state the new revision.
    m_registry.configure(*m_configuration);
    if (m_unconfirmedLayout > 0) {
        m_registry.confirmLayout(m_unconfirmedLayout);
    }
}

void Reservations::removeCustomersNotIn(const configuration::Configuration &configuration)
{
    std::unordered_set<core::CustomerId> configured;
    for (const configuration::Customer &customer : configuration.customers) {
        configured.insert(customer.id);
    }

    // Removes the tokens of customers that are no longer configured, and refuses their waiting reservations.
    std::vector<core::RequestId> waitingRequests;
    for (auto it = m_customers.begin(); it != m_customers.end();) {
        if (configured.count(it->first) != 0) {
            ++it;
            continue;
        }
        for (const Pending &pending : it->second.pending) {
            waitingRequests.push_back(pending.request);
        }
        for (const SlotId &slot : it->second.tokens.setHomes({}, m_timers.now())) {
            recordRemovedBucket(it->first, slot);
        }
        m_activeCustomers.erase(it->first);
        it = m_customers.erase(it);
    }
    for (const core::RequestId &request : waitingRequests) {
        m_customerOfPending.erase(request);
        refuse(request, core::makeError(core::ErrorKind::UnknownKey, "the customer is not configured"));
    }
}

void Reservations::configureCustomer(
    const configuration::Customer &customer, const std::shared_ptr<const configuration::Configuration> &before, bool hasLayoutChanged)
{
    const bool isNew = m_customers.count(customer.id) == 0;
    CustomerState &state = m_customers[customer.id];
    const bool hasMoved = !isNew && (hasLayoutChanged || state.allowedRegions != customer.allowedRegions);
    const bool hasLimitChanged = isNew || state.ratePerSecond != customer.ratePerSecond || state.burst != customer.burst;
    if (!hasMoved && !hasLimitChanged) {
        return;
    }
    if (hasMoved) {
        state.earlierLayouts.push_back({before, std::move(state.allowedRegions)});
    }
    state.ratePerSecond = customer.ratePerSecond;
    state.burst = customer.burst;
    state.allowedRegions = customer.allowedRegions;
    applyShares(customer, state);
}

void Reservations::applyShares(const configuration::Customer &customer, CustomerState &state)
{
    state.homes = homeSlotsWithCappedShares(customer, state);
    for (const SlotId &slot : state.tokens.setHomes(state.homes, m_timers.now())) {
        recordRemovedBucket(customer.id, slot);
    }
    for (const HomeSlot &home : state.homes) {
        if (m_registry.isIssuing(home.slot) && !state.tokens.hasBucket(home.slot)) {
            addBucket(customer.id, state, home, false);
        }
    }
}

std::vector<HomeSlot> Reservations::homeSlotsWithCappedShares(const configuration::Customer &customer, const CustomerState &state) const
{
    std::vector<HomeSlot> homes = homeSlots(*m_configuration, customer);
    if (m_isEarlierLayoutUnknown) {
        std::for_each(homes.begin(), homes.end(), [](HomeSlot &home) { home.share = SlotShare{}; });
    }

    // Limits each share to its value in every earlier layout that another instance may still use.
    for (const EarlierLayout &earlier : state.earlierLayouts) {
        configuration::Customer earlierCustomer = customer;
        earlierCustomer.allowedRegions = earlier.allowedRegions;
        const std::vector<HomeSlot> earlierHomes = homeSlots(*earlier.layoutConfiguration, earlierCustomer);
        for (HomeSlot &home : homes) {
            const auto it = std::find_if(earlierHomes.begin(), earlierHomes.end(), [&](const HomeSlot &candidate) { return candidate.slot == home.slot; });
            const SlotShare limit = it == earlierHomes.end() ? SlotShare{} : it->share;
            home.share = {std::min(home.share.ratePerSecond, limit.ratePerSecond), std::min(home.share.burst, limit.burst)};
        }
    }
    return homes;
}

void Reservations::confirmLayout(const LayoutConfirmed &event)
{
    if (event.revision < m_unconfirmedLayout) {
        return;
    }
    m_unconfirmedLayout = 0;
    m_isEarlierLayoutUnknown = false;
    for (const configuration::Customer &customer : m_configuration->customers) {
        CustomerState &state = m_customers.at(customer.id);
        state.earlierLayouts.clear();
        applyShares(customer, state);
    }
}

void Reservations::addSlot(const SlotAcquired &event)
{
    const bool startsFull = event.isFirstOwner && m_configuration->revision <= FIRST_REVISION;
    for (auto &[customer, state] : m_customers) {
        for (const HomeSlot &home : state.homes) {
            if (home.slot == event.slot) {
                addBucket(customer, state, home, startsFull);
            }
        }
    }
}

void Reservations::addBucket(const core::CustomerId &customer, CustomerState &state, const HomeSlot &home, bool isFull)
{
    absl::Time start = m_timers.now();
    const auto removed = m_removedBuckets.find({customer, home.slot});
    if (removed != m_removedBuckets.end()) {
        start = std::max(start, removed->second);
        isFull = false;
    }
    state.tokens.addBucket(home.slot, ++m_lastBucketId, SlotBucket(home.share, isFull ? home.share.burst : 0, start));
}

void Reservations::recordRemovedBucket(const core::CustomerId &customer, const SlotId &slot)
{
    m_removedBuckets[{customer, slot}] = m_timers.now() + m_settings.grantLifetime + m_settings.clockMargin;
}

void Reservations::removeSlot(const SlotId &slot)
{
    for (auto &[customer, state] : m_customers) {
        state.tokens.removeBucket(slot);
    }
}

} // namespace snipeferry::limits
