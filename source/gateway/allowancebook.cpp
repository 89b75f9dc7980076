#include "snipeferry/gateway/allowancebook.h"

#include <algorithm>

namespace snipeferry::gateway {

namespace {

/** Part of a full bucket to start with: nobody knows what was spent before. A process that was down did not refill its part meanwhile. */
constexpr double START_FILL = 0.5;
/** A started process that knows no other instance waits this long for them; announcements that lapsed are back in the store by then. */
constexpr absl::Duration START_PAUSE = absl::Seconds(2);
/** Demand is averaged over about this time. */
constexpr absl::Duration DEMAND_PERIOD = absl::Seconds(1);
/** Part of the tokens above the fair part that is given away at once. */
constexpr double GIVE_SHARE = 0.8;
/** Smallest grant as a part of the burst; smaller ones are not worth a message. */
constexpr double MIN_GRANT_SHARE = 0.01;
/** Fair parts count this share of the rate as demand of an idle instance, so that it keeps tokens for a start. */
constexpr double IDLE_DEMAND_SHARE = 0.01;
/** Part of the tolerated excess that is used; the rest covers changes of the number of instances. */
constexpr double USED_TOLERANCE = 0.7;
constexpr absl::Duration LONGEST_RETRY = absl::Seconds(10);
/** A request that needs more than this many own parts passes with them, and leaves a debt; the parts beyond the own come from others. */
constexpr double MOST_PARTS_NEEDED = 3.0;
/** Part of the own share below which others are asked also after a request has passed. */
constexpr double SHORT_SHARE = 0.3;
/** Part of the own share that is kept when others ask. */
constexpr double KEPT_SHARE = 0.2;
/** Others in the region answer within this time. */
constexpr absl::Duration ANSWER_TIME = absl::Milliseconds(40);
constexpr absl::Duration ASK_PERIOD = absl::Milliseconds(50);
/** Time until the next asking when little came: the others are short as well. */
constexpr absl::Duration POOR_ASK_PERIOD = absl::Milliseconds(500);
/** Part of what was asked for that counts as little. */
constexpr double POOR_ANSWER_SHARE = 0.5;

} // namespace

AllowanceBook::AllowanceBook(AllowanceSettings settings, core::TimerService &timers)
    : m_settings(settings),
      m_timers(timers),
      m_startedAt(timers.now())
{
}

void AllowanceBook::configure(const std::vector<Customer> &customers)
{
    absl::flat_hash_map<core::CustomerId, Bucket> buckets;
    const int count = instanceCount();
    for (const Customer &customer : customers) {
        if (customer.ratePerSecond <= 0) {
            continue;
        }
        // The tolerance is what a limit kept by several instances needs, so that no request within it is refused.
        const double rate = customer.ratePerSecond * (1.0 + USED_TOLERANCE * m_settings.excess);
        const double burst = customer.burst + USED_TOLERANCE * m_settings.slack;
        Bucket bucket;
        const auto before = m_buckets.find(customer.id);
        if (before != m_buckets.end()) {
            refill(before->second);
            bucket = before->second;
            bucket.balance = std::min(bucket.balance, burst);
        } else {
            // A started process has nothing until it knows among how many the rate is split.
            bucket.balance = m_isFleetKnown ? START_FILL * burst / count : 0.0;
            bucket.updatedAt = m_timers.now();
            bucket.demandUpdatedAt = m_timers.now();
        }
        bucket.rate = rate;
        bucket.burst = burst;
        buckets.emplace(customer.id, bucket);
    }
    m_buckets = std::move(buckets);
}

void AllowanceBook::setInstanceCount(int count)
{
    m_pendingCount = std::max(1, count);
    if (m_pendingCount > m_count) {
        shrinkBalances(static_cast<double>(m_count) / m_pendingCount);
    }
    if (m_pendingCount >= m_count) {
        m_count = m_pendingCount;
        m_shrinkAt = absl::InfiniteFuture();
        if (m_count > 1) {
            learnFleet();
        }
    } else if (m_shrinkAt == absl::InfiniteFuture()) {
        m_shrinkAt = m_timers.now() + SHRINK_DELAY;
    }
}

void AllowanceBook::learnFleet()
{
    if (m_isFleetKnown) {
        return;
    }
    m_isFleetKnown = true;
    for (auto &entry : m_buckets) {
        entry.second.updatedAt = m_timers.now();
        entry.second.balance = std::max(entry.second.balance, START_FILL * entry.second.burst / m_count);
    }
}

void AllowanceBook::shrinkBalances(double share)
{
    // What had been this instance's is now also its newly known neighbours', who refilled their own parts all the while.
    for (auto &entry : m_buckets) {
        refill(entry.second);
        if (entry.second.balance > 0) {
            entry.second.balance *= share;
        }
    }
}

int AllowanceBook::instanceCount()
{
    if (m_timers.now() >= m_shrinkAt) {
        m_count = m_pendingCount;
        m_shrinkAt = absl::InfiniteFuture();
    }
    return m_count;
}

void AllowanceBook::refill(Bucket &bucket)
{
    const absl::Time now = m_timers.now();
    if (!m_isFleetKnown && now >= m_startedAt + START_PAUSE) {
        learnFleet();
    }
    const double seconds = absl::ToDoubleSeconds(now - bucket.updatedAt);
    bucket.updatedAt = now;
    const int count = instanceCount();
    if (!m_isFleetKnown) {
        return;
    }
    // Received tokens may lie above this instance's own part; they stay, but nothing is added to them.
    const double cap = bucket.burst / count;
    if (bucket.balance < cap) {
        bucket.balance = std::min(cap, bucket.balance + seconds * bucket.rate / count);
    }
}

void AllowanceBook::updateDemand(Bucket &bucket)
{
    const absl::Time now = m_timers.now();
    const absl::Duration passed = now - bucket.demandUpdatedAt;
    if (passed < absl::Milliseconds(50)) {
        return;
    }
    const double weight = std::min(1.0, absl::FDivDuration(passed, DEMAND_PERIOD));
    bucket.demand += weight * (bucket.askedSinceUpdate / absl::ToDoubleSeconds(passed) - bucket.demand);
    bucket.askedSinceUpdate = 0;
    bucket.demandUpdatedAt = now;
}

core::Expected<void> AllowanceBook::reserve(const core::CustomerId &customer, double cost)
{
    const auto it = m_buckets.find(customer);
    if (it == m_buckets.end()) {
        return {};
    }
    Bucket &bucket = it->second;
    refill(bucket);
    bucket.askedSinceUpdate += cost;
    // Debts of all instances together must stay within the tolerance, so most of a large request is there before it passes.
    const double part = bucket.burst / instanceCount();
    // Where others have nothing, or cannot be reached, the own part alone decides.
    const bool isAlone = instanceCount() < 2 || wasAnsweredPoorly(bucket);
    const double needed = std::min(cost, isAlone ? part : MOST_PARTS_NEEDED * part);
    if (bucket.balance >= needed) {
        bucket.balance -= cost;
        if (bucket.balance < SHORT_SHARE * part) {
            askFor(part - bucket.balance, customer, bucket);
        }
        return {};
    }
    askFor(std::max(needed, part) - bucket.balance, customer, bucket);
    const double refillRate = bucket.rate / instanceCount();
    const absl::Duration wait = std::min(LONGEST_RETRY, absl::Seconds((needed - bucket.balance) / std::max(1.0, refillRate)));
    return tl::make_unexpected(core::makeError(core::ErrorKind::RateExceeded, "The customer's rate is used up.", wait));
}

bool AllowanceBook::wasAnsweredPoorly(const Bucket &bucket) const
{
    return m_timers.now() - bucket.askedAt >= ANSWER_TIME && bucket.received < POOR_ANSWER_SHARE * bucket.askedFor;
}

void AllowanceBook::askFor(double tokens, const core::CustomerId &customer, Bucket &bucket)
{
    const absl::Time now = m_timers.now();
    if (instanceCount() < 2 || now - bucket.askedAt < (wasAnsweredPoorly(bucket) ? POOR_ASK_PERIOD : ASK_PERIOD)) {
        return;
    }
    bucket.askedAt = now;
    bucket.askedFor = tokens;
    bucket.received = 0;
    m_shortages.emit(AllowanceShortage{customer, tokens});
}

double AllowanceBook::giveOnDemand(const core::CustomerId &customer, double tokens)
{
    const auto it = m_buckets.find(customer);
    if (it == m_buckets.end()) {
        return 0;
    }
    Bucket &bucket = it->second;
    refill(bucket);
    const double part = bucket.burst / instanceCount();
    const double given = std::min(tokens, bucket.balance - KEPT_SHARE * part);
    if (given < MIN_GRANT_SHARE * part) {
        return 0;
    }
    bucket.balance -= given;
    return given;
}

core::Signal<AllowanceShortage> &AllowanceBook::shortages()
{
    return m_shortages;
}

bool AllowanceBook::isAwaiting(const core::CustomerId &customer) const
{
    const auto it = m_buckets.find(customer);
    return it != m_buckets.end() && m_timers.now() - it->second.askedAt < ANSWER_TIME;
}

void AllowanceBook::refund(const core::CustomerId &customer, double cost)
{
    const auto it = m_buckets.find(customer);
    if (it != m_buckets.end()) {
        it->second.balance = std::min(it->second.burst, it->second.balance + cost);
    }
}

std::vector<AllowanceReport> AllowanceBook::reports()
{
    std::vector<AllowanceReport> all;
    all.reserve(m_buckets.size());
    for (auto &entry : m_buckets) {
        refill(entry.second);
        updateDemand(entry.second);
        all.push_back({entry.first, entry.second.balance, entry.second.demand});
    }
    return all;
}

std::vector<AllowanceGrant> AllowanceBook::grantsFor(const core::InstanceId & /*peer*/, const std::vector<AllowanceReport> &peerReports)
{
    std::vector<AllowanceGrant> grants;
    for (const AllowanceReport &report : peerReports) {
        const auto it = m_buckets.find(report.customer);
        if (it == m_buckets.end()) {
            continue;
        }
        Bucket &bucket = it->second;
        refill(bucket);
        // Both together share their tokens in proportion to demand.
        const double idle = IDLE_DEMAND_SHARE * bucket.rate;
        const double total = bucket.balance + report.balance;
        const double ownPart = total * (bucket.demand + idle) / (bucket.demand + report.demand + 2 * idle);
        const double room = bucket.burst - report.balance;
        const double tokens = std::min(GIVE_SHARE * (bucket.balance - ownPart), room);
        if (tokens > MIN_GRANT_SHARE * bucket.burst / instanceCount()) {
            bucket.balance -= tokens;
            grants.push_back({report.customer, tokens});
        }
    }
    return grants;
}

void AllowanceBook::receive(const std::vector<AllowanceGrant> &grants)
{
    for (const AllowanceGrant &grant : grants) {
        const auto it = m_buckets.find(grant.customer);
        if (it != m_buckets.end() && grant.tokens > 0) {
            refill(it->second);
            it->second.balance = std::min(it->second.burst, it->second.balance + grant.tokens);
            it->second.received += grant.tokens;
        }
    }
}

} // namespace snipeferry::gateway
