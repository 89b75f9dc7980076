#include "snipeferry/gateway/ratelimiter.h"

#include <algorithm>

namespace snipeferry::gateway {

namespace {

/** Fraction of its share of the burst that a started process begins with. What it spent earlier is unknown, but it refilled nothing while down. */
constexpr double INITIAL_FILL_SHARE = 0.5;
/** A started process that knows no other instance waits this long for one. Expired announcements are in the store again by then. */
constexpr absl::Duration DISCOVERY_TIME = absl::Seconds(2);
/** Approximate time over which the demand is averaged. */
constexpr absl::Duration DEMAND_AVERAGING_TIME = absl::Seconds(1);
/** Fraction of the tokens above this instance's fair balance that it grants at once. */
constexpr double GRANTED_SURPLUS_SHARE = 0.8;
/** Smallest grant, as a fraction of an instance's share of the burst. A smaller one does not justify a message. */
constexpr double MIN_GRANT_SHARE = 0.01;
/** Demand, as a fraction of the rate, that the fair balance assumes in addition to the measured one, so that an idle instance keeps some tokens. */
constexpr double IDLE_DEMAND_SHARE = 0.01;
/** The same for all instances of a fleet with relays together. */
constexpr double FLEET_IDLE_DEMAND_SHARE = 0.1;
/** Idle tokens that a relay keeps for each of its clients, as a multiple of those that the client keeps itself. */
constexpr double IDLE_CLIENT_FACTOR = 4.0;
/** An instance that has not reported to this relay for this long has no demand. */
constexpr absl::Duration CLIENT_REPORT_LIFETIME = absl::Seconds(3);
/** Fraction of the tolerance that the buckets use. The rest covers changes of the number of instances. */
constexpr double USED_TOLERANCE_SHARE = 0.7;
constexpr absl::Duration MAX_RETRY_AFTER = absl::Seconds(10);
/**
 * A request that costs more than this many equal shares of the burst is admitted at this balance and leaves a negative one.
 * The shares beyond this instance's own come from other instances.
 */
constexpr double MAX_REQUIRED_SHARES = 3.0;
/** Balance, as a fraction of the equal share, below which other instances are asked for tokens even after an admitted request. */
constexpr double LOW_BALANCE_SHARE = 0.3;
/** Balance, as a fraction of the equal share, that this instance keeps when others request tokens. */
constexpr double RETAINED_SHARE = 0.2;
/** The other instances of the region answer a request for tokens within this time. */
constexpr absl::Duration PEER_ANSWER_TIME = absl::Milliseconds(40);
constexpr absl::Duration PEER_REQUEST_INTERVAL = absl::Milliseconds(50);
/** Interval after a request that brought too few tokens, because the other instances are short of them as well. */
constexpr absl::Duration PEER_REQUEST_BACKOFF = absl::Milliseconds(500);
/** Fraction of the requested tokens below which the grants have fallen short. */
constexpr double SUFFICIENT_GRANT_SHARE = 0.5;

} // namespace

RateLimiter::RateLimiter(AllowanceSettings settings, core::TimerService &timers)
    : m_settings(settings),
      m_timers(timers),
      m_startedAt(timers.now())
{
}

void RateLimiter::configure(const std::vector<Customer> &customers)
{
    absl::flat_hash_map<core::CustomerId, Bucket> buckets;
    const int count = instanceCount();
    for (const Customer &customer : customers) {
        if (customer.ratePerSecond <= 0) {
            continue;
        }
        // Part of the tolerance is added because a limit divided among several instances would otherwise refuse requests that are within it.
        const double rate = customer.ratePerSecond * (1.0 + USED_TOLERANCE_SHARE * m_settings.excess);
        const double burst = customer.burst + USED_TOLERANCE_SHARE * m_settings.slack;
        Bucket bucket;
        const auto existing = m_buckets.find(customer.id);
        if (existing != m_buckets.end()) {
            refill(existing->second);
            bucket = existing->second;
            bucket.balance = std::min(bucket.balance, burst);
        } else {
            // A started process has no tokens until it knows the number of instances.
            bucket.balance = m_isInstanceCountKnown ? INITIAL_FILL_SHARE * burst / count : 0.0;
            bucket.updatedAt = m_timers.now();
            bucket.demandUpdatedAt = m_timers.now();
        }
        bucket.rate = rate;
        bucket.burst = burst;
        buckets.emplace(customer.id, bucket);
    }
    m_buckets = std::move(buckets);
}

void RateLimiter::setInstanceCount(int count)
{
    m_pendingInstanceCount = std::max(1, count);
    if (m_pendingInstanceCount > m_instanceCount) {
        scaleBalances(static_cast<double>(m_instanceCount) / m_pendingInstanceCount);
    }
    if (m_pendingInstanceCount >= m_instanceCount) {
        m_instanceCount = m_pendingInstanceCount;
        m_countDecreaseAt = absl::InfiniteFuture();
        if (m_instanceCount > 1) {
            initializeBalances();
        }
    } else if (m_countDecreaseAt == absl::InfiniteFuture()) {
        m_countDecreaseAt = m_timers.now() + COUNT_DECREASE_DELAY;
    }
}

void RateLimiter::initializeBalances()
{
    if (m_isInstanceCountKnown) {
        return;
    }
    m_isInstanceCountKnown = true;
    for (auto &entry : m_buckets) {
        entry.second.updatedAt = m_timers.now();
        entry.second.balance = std::max(entry.second.balance, INITIAL_FILL_SHARE * entry.second.burst / m_instanceCount);
    }
}

void RateLimiter::scaleBalances(double factor)
{
    // The newly known instances have refilled their own shares meanwhile, so this one may keep only its part of the balance.
    for (auto &entry : m_buckets) {
        refill(entry.second);
        if (entry.second.balance > 0) {
            entry.second.balance *= factor;
        }
    }
}

int RateLimiter::instanceCount()
{
    if (m_timers.now() >= m_countDecreaseAt) {
        m_instanceCount = m_pendingInstanceCount;
        m_countDecreaseAt = absl::InfiniteFuture();
    }
    return m_instanceCount;
}

void RateLimiter::refill(Bucket &bucket)
{
    const absl::Time now = m_timers.now();
    if (!m_isInstanceCountKnown && now >= m_startedAt + DISCOVERY_TIME) {
        initializeBalances();
    }
    const double seconds = absl::ToDoubleSeconds(now - bucket.updatedAt);
    bucket.updatedAt = now;
    const int count = instanceCount();
    if (!m_isInstanceCountKnown) {
        return;
    }
    // Tokens from other instances may raise the balance above this instance's share. They are kept, but the refill adds nothing then.
    const double maxBalance = bucket.burst / count;
    if (bucket.balance < maxBalance) {
        bucket.balance = std::min(maxBalance, bucket.balance + seconds * bucket.rate / count);
    }
}

void RateLimiter::updateDemand(Bucket &bucket)
{
    const absl::Time now = m_timers.now();
    const absl::Duration elapsed = now - bucket.demandUpdatedAt;
    if (elapsed < absl::Milliseconds(50)) {
        return;
    }
    const double weight = std::min(1.0, absl::FDivDuration(elapsed, DEMAND_AVERAGING_TIME));
    bucket.demand += weight * (bucket.costSinceDemandUpdate / absl::ToDoubleSeconds(elapsed) - bucket.demand);
    bucket.costSinceDemandUpdate = 0;
    bucket.demandUpdatedAt = now;
}

core::Expected<void> RateLimiter::reserve(const core::CustomerId &customer, double cost)
{
    const auto it = m_buckets.find(customer);
    if (it == m_buckets.end()) {
        return {};
    }
    Bucket &bucket = it->second;
    refill(bucket);
    bucket.costSinceDemandUpdate += cost;
    // The negative balances of all instances together must stay within the tolerance. A large request is therefore admitted only
    // when most of its tokens are available.
    const double equalShare = bucket.burst / instanceCount();
    // If the other instances have no tokens or cannot be reached, this instance's share alone decides.
    const bool usesOwnShareOnly = instanceCount() < 2 || haveGrantsFallenShort(bucket);
    const double required = std::min(cost, usesOwnShareOnly ? equalShare : MAX_REQUIRED_SHARES * equalShare);
    if (bucket.balance >= required) {
        bucket.balance -= cost;
        if (bucket.balance < LOW_BALANCE_SHARE * equalShare) {
            requestFromPeers(equalShare - bucket.balance, customer, bucket);
        }
        return {};
    }
    requestFromPeers(std::max(required, equalShare) - bucket.balance, customer, bucket);
    const double refillRate = bucket.rate / instanceCount();
    const absl::Duration wait = std::min(MAX_RETRY_AFTER, absl::Seconds((required - bucket.balance) / std::max(1.0, refillRate)));
    return tl::make_unexpected(core::makeError(core::ErrorKind::RateExceeded, "The customer's rate limit is exceeded.", wait));
}

bool RateLimiter::haveGrantsFallenShort(const Bucket &bucket) const
{
    return m_timers.now() - bucket.lastPeerRequestAt >= PEER_ANSWER_TIME
        && bucket.receivedSincePeerRequest < SUFFICIENT_GRANT_SHARE * bucket.requestedFromPeers;
}

void RateLimiter::requestFromPeers(double tokens, const core::CustomerId &customer, Bucket &bucket)
{
    const absl::Time now = m_timers.now();
    if (instanceCount() < 2 || now - bucket.lastPeerRequestAt < (haveGrantsFallenShort(bucket) ? PEER_REQUEST_BACKOFF : PEER_REQUEST_INTERVAL)) {
        return;
    }
    bucket.lastPeerRequestAt = now;
    bucket.requestedFromPeers = tokens;
    bucket.receivedSincePeerRequest = 0;
    m_shortages.emit(AllowanceShortage{customer, tokens});
}

double RateLimiter::grantOnRequest(const core::CustomerId &customer, double tokens)
{
    const auto it = m_buckets.find(customer);
    if (it == m_buckets.end()) {
        return 0;
    }
    Bucket &bucket = it->second;
    refill(bucket);
    const double equalShare = bucket.burst / instanceCount();
    const double granted = std::min(tokens, bucket.balance - RETAINED_SHARE * equalShare);
    if (granted < MIN_GRANT_SHARE * equalShare) {
        return 0;
    }
    bucket.balance -= granted;
    return granted;
}

core::Signal<AllowanceShortage> &RateLimiter::shortages()
{
    return m_shortages;
}

bool RateLimiter::isAwaitingGrants(const core::CustomerId &customer) const
{
    const auto it = m_buckets.find(customer);
    return it != m_buckets.end() && m_timers.now() - it->second.lastPeerRequestAt < PEER_ANSWER_TIME;
}

void RateLimiter::refund(const core::CustomerId &customer, double cost)
{
    const auto it = m_buckets.find(customer);
    if (it != m_buckets.end()) {
        it->second.balance = std::min(it->second.burst, it->second.balance + cost);
    }
}

void RateLimiter::setUsesRelays(bool usesRelays)
{
    m_usesRelays = usesRelays;
}

double RateLimiter::idleDemand(const Bucket &bucket)
{
    return bucket.rate * (m_usesRelays ? FLEET_IDLE_DEMAND_SHARE / instanceCount() : IDLE_DEMAND_SHARE);
}

double RateLimiter::demandWithClients(const Bucket &bucket)
{
    // Idle clients count too, so that most tokens are at the relay when one of them gets a request.
    return bucket.demand + bucket.clientDemand + IDLE_CLIENT_FACTOR * idleDemand(bucket) * static_cast<double>(m_clientReports.size());
}

void RateLimiter::noteClientReports(const core::InstanceId &client, const std::vector<AllowanceReport> &clientReports)
{
    ClientReports &last = m_clientReports[client];
    addClientDemand(last.reports, -1);
    last = ClientReports{m_timers.now(), clientReports};
    addClientDemand(last.reports, 1);
}

void RateLimiter::addClientDemand(const std::vector<AllowanceReport> &clientReports, double sign)
{
    for (const AllowanceReport &report : clientReports) {
        const auto it = m_buckets.find(report.customer);
        if (it != m_buckets.end()) {
            it->second.clientDemand = std::max(0.0, it->second.clientDemand + sign * report.demand);
        }
    }
}

void RateLimiter::removeSilentClients()
{
    const absl::Time limit = m_timers.now() - CLIENT_REPORT_LIFETIME;
    for (auto it = m_clientReports.begin(); it != m_clientReports.end();) {
        if (it->second.receivedAt < limit) {
            addClientDemand(it->second.reports, -1);
            m_clientReports.erase(it++);
        } else {
            ++it;
        }
    }
}

std::vector<AllowanceReport> RateLimiter::reports()
{
    removeSilentClients();
    std::vector<AllowanceReport> all;
    all.reserve(m_buckets.size());
    for (auto &entry : m_buckets) {
        refill(entry.second);
        updateDemand(entry.second);
        all.push_back({entry.first, entry.second.balance, demandWithClients(entry.second)});
    }
    return all;
}

std::vector<AllowanceGrant> RateLimiter::grantsFor(const core::InstanceId & /*peer*/, const std::vector<AllowanceReport> &peerReports)
{
    std::vector<AllowanceGrant> grants;
    for (const AllowanceReport &report : peerReports) {
        const auto it = m_buckets.find(report.customer);
        if (it == m_buckets.end()) {
            continue;
        }
        Bucket &bucket = it->second;
        refill(bucket);
        // The fair balance divides the tokens of both instances in proportion to their demands.
        const double idle = idleDemand(bucket);
        const double ownDemand = demandWithClients(bucket);
        const double totalBalance = bucket.balance + report.balance;
        const double fairBalance = totalBalance * (ownDemand + idle) / (ownDemand + report.demand + 2 * idle);
        const double remainingCapacity = bucket.burst - report.balance;
        const double tokens = std::min(GRANTED_SURPLUS_SHARE * (bucket.balance - fairBalance), remainingCapacity);
        if (tokens > MIN_GRANT_SHARE * bucket.burst / instanceCount()) {
            bucket.balance -= tokens;
            grants.push_back({report.customer, tokens});
        }
    }
    return grants;
}

void RateLimiter::receive(const std::vector<AllowanceGrant> &grants)
{
    for (const AllowanceGrant &grant : grants) {
        const auto it = m_buckets.find(grant.customer);
        if (it != m_buckets.end() && grant.tokens > 0) {
            refill(it->second);
            it->second.balance = std::min(it->second.burst, it->second.balance + grant.tokens);
            it->second.receivedSincePeerRequest += grant.tokens;
        }
    }
}

} // namespace snipeferry::gateway
