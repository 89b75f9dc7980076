#include "snipeferry/limits/reservations.h"

#include <algorithm>

namespace snipeferry::limits {

namespace {

constexpr absl::Duration TICK = absl::Milliseconds(100);
constexpr absl::Duration SWEEP_INTERVAL = absl::Milliseconds(25);
constexpr absl::Duration MIN_RETRY_AFTER = absl::Milliseconds(50);
constexpr absl::Duration MAX_RETRY_AFTER = absl::Minutes(5);
/** Shortest wait before another attempt to request tokens that the owners do not have yet. */
constexpr absl::Duration MIN_GATHER_INTERVAL = absl::Milliseconds(5);
/** 1 / REQUEST_MARGIN_DIVISOR of the missing tokens is requested in addition, because an owner may have less than estimated. */
constexpr MicroTokens REQUEST_MARGIN_DIVISOR = 16;
/** Smaller amounts are not fetched ahead of demand, since they are not worth a message. */
constexpr MicroTokens MIN_PREFETCH = MICRO_TOKENS_PER_TOKEN;
/** Owners estimated to have less than 1 / MIN_OWNER_ESTIMATE_DIVISOR of the wanted tokens are skipped when tokens are fetched ahead of demand. */
constexpr MicroTokens MIN_OWNER_ESTIMATE_DIVISOR = 8;
/** Unused grants are returned this long before they expire, so that the donor can still use the tokens. */
constexpr absl::Duration RETURN_BEFORE_EXPIRY = absl::Milliseconds(500);
/** Tokens are fetched ahead to cover the recent demand for this long. */
constexpr absl::Duration PREFETCH_HORIZON = absl::Milliseconds(500);
/** One instance fetches at most 1 / PREFETCH_BURST_DIVISOR of a customer's burst ahead of demand. */
constexpr MicroTokens PREFETCH_BURST_DIVISOR = 8;

} // namespace

Reservations::Reservations(
    LimitSettings settings, membership::InstanceDescription self, core::TimerService &timers, messages::Outbox &outbox, SlotRegistry &registry)
    : m_settings(settings),
      m_self(std::move(self)),
      m_timers(timers),
      m_outbox(outbox),
      m_registry(registry),
      m_gatherer(settings, m_self, timers, outbox)
{
    m_registry.acquired().subscribe([this](const SlotAcquired &event) { addSlot(event); });
    m_registry.lost().subscribe([this](const SlotLost &event) { removeSlot(event.slot); });
    m_registry.layoutConfirmed().subscribe([this](const LayoutConfirmed &event) { confirmLayout(event); });
    m_tick = m_timers.every(TICK, [this] { tick(); });
    m_sweep = m_timers.every(SWEEP_INTERVAL, [this] { sweep(); });
}

void Reservations::setMembers(const std::vector<membership::InstanceDescription> &members)
{
    m_liveInstances.clear();
    m_dataCentreMembers.clear();
    for (const membership::InstanceDescription &member : members) {
        m_liveInstances.insert(member.id);
        if (member.dataCentre == m_self.dataCentre && member.id != m_self.id) {
            m_dataCentreMembers.push_back(member.id);
        }
    }
}

void Reservations::reserve(const core::RequestId &request, const core::CustomerId &customer, core::Tokens amount, absl::Duration patience)
{
    const auto it = m_customers.find(customer);
    if (it == m_customers.end()) {
        refuse(request, core::makeError(core::ErrorKind::UnknownKey, "the customer is not configured"));
        return;
    }
    if (m_isDraining) {
        refuse(request, core::makeError(core::ErrorKind::InstanceDraining, "the instance is draining", MIN_RETRY_AFTER));
        return;
    }
    CustomerState &state = it->second;
    if (amount > state.burst) {
        refuse(request, core::makeError(core::ErrorKind::RequestExceedsBurst, "the request needs more tokens than the customer's burst"));
        return;
    }
    m_activeCustomers.insert(customer);
    const MicroTokens wanted = std::max<core::Tokens>(0, amount) * MICRO_TOKENS_PER_TOKEN;
    if (tryReserve(customer, state, request, wanted)) {
        m_decided.emit({request, std::nullopt});
        return;
    }

    // gather() refuses the reservation at once if there cannot be enough tokens within its maximum wait.
    Pending pending{request, wanted, m_timers.now() + patience, m_timers.after(patience, [this, customer, request] { refusePending(customer, request); })};
    state.pending.push_back(std::move(pending));
    m_customerOfPending[request] = customer;
    gather(customer);
}

bool Reservations::tryReserve(const core::CustomerId &customer, CustomerState &state, const core::RequestId &request, MicroTokens wanted)
{
    std::optional<std::vector<TokenPart>> parts = state.tokens.reserve(wanted, m_timers.now());
    if (!parts) {
        return false;
    }
    state.demand.add(wanted, m_timers.now());
    m_reservations[request] = {customer, wanted, std::move(*parts)};
    return true;
}

void Reservations::settle(const core::RequestId &request, core::Tokens used)
{
    const auto waiting = m_customerOfPending.find(request);
    if (waiting != m_customerOfPending.end()) {
        m_customers.at(waiting->second).pending.remove_if([&](const Pending &pending) { return pending.request == request; });
        m_customerOfPending.erase(waiting);
        return;
    }
    const auto it = m_reservations.find(request);
    if (it == m_reservations.end()) {
        return;
    }
    const Reservation reservation = std::move(it->second);
    m_reservations.erase(it);
    const auto customer = m_customers.find(reservation.customer);
    const MicroTokens unused = reservation.amount - std::max<core::Tokens>(0, used) * MICRO_TOKENS_PER_TOKEN;
    if (customer == m_customers.end() || unused <= 0) {
        return;
    }
    customer->second.demand.add(-unused, m_timers.now());
    for (const LateReturn &lateReturn : customer->second.tokens.creditUnused(reservation.parts, unused, m_timers.now())) {
        m_gatherer.returnLate(lateReturn);
    }
    retryPending(reservation.customer);
}

void Reservations::handleGrant(const core::InstanceId &donor, const TokenGrant &message)
{
    std::optional<HeldGrant> grant = m_gatherer.accept(donor, message);
    const auto it = m_customers.find(message.customer);
    if (it == m_customers.end()) {
        return;
    }
    if (grant && m_isDraining) {
        m_gatherer.returnGrant(message.customer, *grant);
        return;
    }
    if (grant) {
        it->second.tokens.addGrant(std::move(*grant));
        m_activeCustomers.insert(message.customer);
    }
    retryPending(message.customer);
    gather(message.customer);
}

void Reservations::retryPending(const core::CustomerId &customer)
{
    CustomerState &state = m_customers.at(customer);
    std::vector<core::RequestId> reservedRequests;
    for (auto it = state.pending.begin(); it != state.pending.end();) {
        if (!tryReserve(customer, state, it->request, it->wanted)) {
            ++it;
            continue;
        }
        reservedRequests.push_back(it->request);
        m_customerOfPending.erase(it->request);
        it = state.pending.erase(it);
    }
    for (const core::RequestId &request : reservedRequests) {
        m_decided.emit({request, std::nullopt});
    }
}

void Reservations::gather(const core::CustomerId &customer)
{
    const auto it = m_customers.find(customer);
    if (it == m_customers.end() || it->second.pending.empty()) {
        return;
    }

    // Finds the reservations that cannot be covered before their deadlines.
    CustomerState &state = it->second;
    const absl::Time now = m_timers.now();
    const std::vector<OwnerShare> owners = otherOwners(state);
    const MicroTokens availableOrRequested = state.tokens.available(now) + m_gatherer.inFlight(customer);
    const MicroTokens estimated = m_gatherer.estimate(customer, owners);
    MicroTokens wanted = 0;
    std::vector<core::RequestId> unsatisfiable;
    for (const Pending &pending : state.pending) {
        if (now + refillTime(state, wanted + pending.wanted - availableOrRequested - estimated) > pending.deadline) {
            unsatisfiable.push_back(pending.request);
        } else {
            wanted += pending.wanted;
        }
    }

    // Requests the missing tokens if the owners are estimated to have them; otherwise retries when the buckets may have refilled.
    const MicroTokens missing = wanted - availableOrRequested;
    if (missing > 0 && missing <= estimated) {
        m_gatherer.ask(customer, owners, missing + missing / REQUEST_MARGIN_DIVISOR + MICRO_TOKENS_PER_TOKEN, 0, true);
    } else if (missing > estimated) {
        state.gatherRetry = m_timers.after(std::max(MIN_GATHER_INTERVAL, refillTime(state, missing - estimated)), [this, customer] {
            retryPending(customer);
            gather(customer);
        });
    }
    for (const core::RequestId &request : unsatisfiable) {
        refusePending(customer, request);
    }
}

absl::Duration Reservations::refillTime(const CustomerState &state, MicroTokens amount)
{
    if (amount <= 0) {
        return absl::ZeroDuration();
    }
    const double perSecond = static_cast<double>(state.ratePerSecond) * MICRO_TOKENS_PER_TOKEN;
    return perSecond > 0 ? absl::Seconds(static_cast<double>(amount) / perSecond) : absl::InfiniteDuration();
}

void Reservations::refusePending(const core::CustomerId &customer, const core::RequestId &request)
{
    const auto it = m_customers.find(customer);
    if (it == m_customers.end()) {
        return;
    }
    CustomerState &state = it->second;
    const auto pending = std::find_if(state.pending.begin(), state.pending.end(), [&](const Pending &candidate) { return candidate.request == request; });
    if (pending == state.pending.end()) {
        return;
    }
    const core::RequestId refused = request;
    core::Error error = rateExceeded(customer, state, pending->wanted);
    m_customerOfPending.erase(refused);
    state.pending.erase(pending);
    refuse(refused, std::move(error));
}

void Reservations::sweep()
{
    // Requests the tokens of unanswered requests from other owners.
    for (const core::CustomerId &customer : m_gatherer.sweep()) {
        gather(customer);
    }
}

void Reservations::tick()
{
    for (auto it = m_removedBuckets.begin(); it != m_removedBuckets.end();) {
        it = it->second <= m_timers.now() ? m_removedBuckets.erase(it) : std::next(it);
    }
    const std::vector<core::CustomerId> active(m_activeCustomers.begin(), m_activeCustomers.end());
    for (const core::CustomerId &customer : active) {
        const auto it = m_customers.find(customer);
        if (it == m_customers.end()) {
            continue;
        }
        CustomerState &state = it->second;
        returnExpiringGrants(customer, state);
        prefetch(customer, state);
        if (!state.pending.empty()) {
            retryPending(customer);
        } else if (isIdle(state)) {
            m_activeCustomers.erase(customer);
        }
    }
}

void Reservations::returnExpiringGrants(const core::CustomerId &customer, CustomerState &state)
{
    for (const HeldGrant &grant : state.tokens.takeExpiringGrants(m_timers.now(), m_isDraining ? absl::InfiniteDuration() : RETURN_BEFORE_EXPIRY)) {
        m_gatherer.returnGrant(customer, grant);
    }
}

void Reservations::prefetch(const core::CustomerId &customer, CustomerState &state)
{
    if (m_isDraining) {
        return;
    }
    const absl::Time now = m_timers.now();
    const MicroTokens expected = static_cast<MicroTokens>(static_cast<double>(state.demand.perSecond(now)) * absl::ToDoubleSeconds(PREFETCH_HORIZON));
    const MicroTokens wanted = std::min(expected, state.burst * MICRO_TOKENS_PER_TOKEN / PREFETCH_BURST_DIVISOR);
    const MicroTokens availableOrRequested = state.tokens.available(now) + m_gatherer.inFlight(customer);
    if (wanted >= MIN_PREFETCH && availableOrRequested < wanted / 2) {
        m_gatherer.ask(customer, otherOwners(state), wanted - availableOrRequested, wanted / MIN_OWNER_ESTIMATE_DIVISOR, false);
    }
}

bool Reservations::isIdle(CustomerState &state) const
{
    return state.demand.perSecond(m_timers.now()) < MICRO_TOKENS_PER_TOKEN / 100 && state.tokens.availableInGrants(m_timers.now()) == 0;
}

std::vector<OwnerShare> Reservations::otherOwners(const CustomerState &state) const
{
    std::vector<OwnerShare> sameDataCentre;
    std::vector<OwnerShare> otherDataCentres;
    for (const HomeSlot &home : state.homes) {
        const core::InstanceId owner = m_registry.owner(home.slot);
        if (owner == m_self.id || m_liveInstances.count(owner) == 0) {
            continue;
        }
        std::vector<OwnerShare> &list = home.slot.dataCentre == m_self.dataCentre ? sameDataCentre : otherDataCentres;
        const auto it = std::find_if(list.begin(), list.end(), [&](const OwnerShare &share) { return share.owner == owner; });
        if (it == list.end()) {
            list.push_back({owner, home.share});
        } else {
            it->share.ratePerSecond += home.share.ratePerSecond;
            it->share.burst += home.share.burst;
        }
    }
    sameDataCentre.insert(sameDataCentre.end(), otherDataCentres.begin(), otherDataCentres.end());
    return sameDataCentre;
}

core::Error Reservations::rateExceeded(const core::CustomerId &customer, CustomerState &state, MicroTokens wanted)
{
    const MicroTokens availableOrRequested = state.tokens.available(m_timers.now()) + m_gatherer.inFlight(customer);
    const MicroTokens missing = wanted - availableOrRequested - m_gatherer.estimate(customer, otherOwners(state));
    const absl::Duration wait = std::clamp(refillTime(state, missing), MIN_RETRY_AFTER, MAX_RETRY_AFTER);
    return core::makeError(core::ErrorKind::RateExceeded, "the customer's rate is used up", wait);
}

void Reservations::refuse(const core::RequestId &request, core::Error error)
{
    m_decided.emit({request, std::move(error)});
}

void Reservations::drain()
{
    m_isDraining = true;
    std::vector<core::RequestId> waiting;
    for (auto &[customer, state] : m_customers) {
        for (const Pending &pending : state.pending) {
            waiting.push_back(pending.request);
        }
        state.pending.clear();
        returnExpiringGrants(customer, state);
    }
    m_customerOfPending.clear();
    for (const core::RequestId &request : waiting) {
        refuse(request, core::makeError(core::ErrorKind::InstanceDraining, "the instance is draining", MIN_RETRY_AFTER));
    }
}

core::Signal<ReservationDecision> &Reservations::decided()
{
    return m_decided;
}

std::vector<core::InstanceId> Reservations::homes(const core::CustomerId &customer) const
{
    std::vector<core::InstanceId> instances;
    const auto it = m_customers.find(customer);
    if (it == m_customers.end()) {
        return instances;
    }
    for (const HomeSlot &home : it->second.homes) {
        const core::InstanceId owner = m_registry.owner(home.slot);
        if (home.slot.dataCentre == m_self.dataCentre && !owner.isEmpty() && std::count(instances.begin(), instances.end(), owner) == 0) {
            instances.push_back(owner);
        }
    }
    return instances;
}

CustomerTokens *Reservations::tokensOf(const core::CustomerId &customer)
{
    const auto it = m_customers.find(customer);
    return it == m_customers.end() ? nullptr : &it->second.tokens;
}

} // namespace snipeferry::limits
