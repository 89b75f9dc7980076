#include "snipeferry/overload/customershares.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace snipeferry::overload {

namespace {

/** Time over which demand is averaged. An instance gets a few requests a second, and a peak moves to another region after about twelve seconds. */
constexpr absl::Duration AVERAGING_TIME = absl::Seconds(3);
/** The shares are computed anew at most this often. They change with the reports of other instances, of which several arrive in a second. */
constexpr absl::Duration REFRESH_PERIOD = absl::Milliseconds(250);
/** With more customers than this the period grows in proportion, because each computation goes over all of them. */
constexpr double CUSTOMERS_FOR_REFRESH_PERIOD = 1000.0;
/** Without a request that needs shares, idle customers and old reports are removed at this interval. */
constexpr absl::Duration CLEANUP_PERIOD = absl::Seconds(5);
/** A report counts in full up to this age, and less and less until MAX_REPORT_AGE. An instance of 64 sends one every 1.3 s. */
constexpr absl::Duration FULL_REPORT_AGE = absl::Seconds(2);
/** A customer without a request for this long, and without a recent report, is forgotten. Its sums have decayed to nothing by then. */
constexpr absl::Duration IDLE_TIME = absl::Seconds(15);
/**
 * Own requests that the mean of all customers counts as, when the tokens of a customer's requests are compared with what they are charged. A few requests
 * of very different sizes say little of one customer.
 */
constexpr double PRIOR_REQUESTS = 10.0;
/** Less than this fraction of the demand was refused: there is no shortage. */
constexpr double MIN_REFUSED_SHARE = 0.01;
/**
 * Fraction of the even share that a customer beyond it gets at the full bound. All even shares together are the whole room, with which a long wait would
 * never get shorter. The rest of the room is used at shorter waits.
 */
constexpr double FULL_BOUND_PART = 0.9;
/**
 * Weight of refusals at the full bound of the wait. What fills the wait up to there was admitted without room for it, so that the room is less than what was
 * admitted. Such refusals become rare once the shares are small enough.
 */
constexpr double FULL_WAIT_WEIGHT = 3.0;
/** Sums below this are zero. */
constexpr double NEGLIGIBLE = 1e-3;

absl::Duration refreshPeriod(std::size_t customers)
{
    return REFRESH_PERIOD * std::max(1.0, static_cast<double>(customers) / CUSTOMERS_FOR_REFRESH_PERIOD);
}

} // namespace

void CustomerShares::DecayingSum::add(double amount, absl::Time now)
{
    m_value = at(now) + amount;
    m_updatedAt = now;
}

double CustomerShares::DecayingSum::at(absl::Time now) const
{
    return m_value == 0 ? 0.0 : m_value * std::exp(-absl::FDivDuration(now - m_updatedAt, AVERAGING_TIME));
}

CustomerShares::CustomerShares(core::TimerService &timers, std::uint64_t seed)
    : m_timers(timers),
      m_random(seed)
{
}

void CustomerShares::setLimits(const std::vector<CustomerLimit> &limits)
{
    m_limits.clear();
    for (const CustomerLimit &limit : limits) {
        m_limits.emplace(limit.customer, limit);
    }
    for (CustomerState &state : m_customers) {
        applyLimit(state);
    }
}

void CustomerShares::applyLimit(CustomerState &state) const
{
    const auto it = m_limits.find(state.id);
    const bool hasLimit = it != m_limits.end() && it->second.perSecond > 0;
    state.unit = it != m_limits.end() && it->second.countsTokens ? Tokens : Requests;
    state.limitPerSecond = hasLimit ? it->second.perSecond : std::numeric_limits<double>::infinity();
}

CustomerShares::Index CustomerShares::indexOf(const core::CustomerId &customer)
{
    const auto it = m_indices.find(customer);
    if (it != m_indices.end()) {
        return it->second;
    }
    if (m_indices.size() >= MAX_CUSTOMERS) {
        return NO_CUSTOMER;
    }
    Index index = static_cast<Index>(m_customers.size());
    if (m_freeIndices.empty()) {
        m_customers.emplace_back();
    } else {
        index = m_freeIndices.back();
        m_freeIndices.pop_back();
    }
    CustomerState &state = m_customers[index];
    state = CustomerState();
    state.id = customer;
    applyLimit(state);
    m_indices.emplace(customer, index);
    return index;
}

void CustomerShares::noteReport(const core::InstanceId &from, const std::vector<CustomerDemand> &demands)
{
    if (m_timers.now() - m_reportsRefreshedAt >= CLEANUP_PERIOD) {
        refreshReports();
    }
    Report &report = m_reports[from];
    report.receivedAt = m_timers.now();
    report.demands.clear();
    for (const CustomerDemand &demand : demands) {
        // Most customers of a large deployment ask for nothing at any moment.
        const bool isUsable = std::isfinite(demand.perSecond) && demand.perSecond > NEGLIGIBLE;
        const Index index = isUsable ? indexOf(demand.customer) : NO_CUSTOMER;
        if (index != NO_CUSTOMER) {
            report.demands.emplace_back(index, static_cast<float>(demand.perSecond));
        }
    }
}

void CustomerShares::noteRequest(const core::ServiceId &service, int level, const core::CustomerId &customer, double work, double charge)
{
    const absl::Time now = m_timers.now();
    if (now - m_reportsRefreshedAt >= CLEANUP_PERIOD) {
        refreshReports();
    }
    Group &group = m_groups[{service, level}];
    group.asked.add(work, now);
    const Index index = indexOf(customer);
    if (index == NO_CUSTOMER) {
        return;
    }
    CustomerState &state = m_customers[index];
    state.lastRequestAt = now;
    state.charged.add(charge, now);
    group.work[index].add(work, now);
    m_requestCounts[state.unit].add(1, now);
    m_charged[state.unit].add(charge, now);
}

void CustomerShares::noteRefusal(const core::ServiceId &service, int level, double work, double factor)
{
    const absl::Time now = m_timers.now();
    Group &group = m_groups[{service, level}];
    const double weight = factor < 1.0 ? 1.0 : FULL_WAIT_WEIGHT;
    group.asked.add((weight - 1.0) * work, now);
    group.refused.add(weight * work, now);
}

void CustomerShares::refreshReports()
{
    const absl::Time now = m_timers.now();
    if (now - m_reportsRefreshedAt < refreshPeriod(m_indices.size())) {
        return;
    }
    m_reportsRefreshedAt = now;
    for (CustomerState &state : m_customers) {
        state.reportedPerSecond = 0;
        state.isReported = false;
    }
    for (auto it = m_reports.begin(); it != m_reports.end();) {
        const absl::Duration age = now - it->second.receivedAt;
        if (age > MAX_REPORT_AGE) {
            m_reports.erase(it++);
            continue;
        }
        const double weight = std::min(1.0, absl::FDivDuration(MAX_REPORT_AGE - age, MAX_REPORT_AGE - FULL_REPORT_AGE));
        for (const std::pair<Index, float> &demand : it->second.demands) {
            CustomerState &state = m_customers[demand.first];
            state.reportedPerSecond += weight * static_cast<double>(demand.second);
            state.isReported = true;
        }
        ++it;
    }
    for (auto it = m_indices.begin(); it != m_indices.end();) {
        const CustomerState &state = m_customers[it->second];
        if (state.isReported || now - state.lastRequestAt < IDLE_TIME) {
            ++it;
            continue;
        }
        for (auto &entry : m_groups) {
            entry.second.work.erase(it->second);
            entry.second.shares.erase(it->second);
        }
        m_freeIndices.push_back(it->second);
        m_indices.erase(it++);
    }
}

std::vector<std::pair<CustomerShares::Index, double>> CustomerShares::demandsOf(const Group &group) const
{
    const absl::Time now = m_timers.now();
    const double seconds = absl::ToDoubleSeconds(AVERAGING_TIME);
    // Reports say what a customer asks for in all, in the unit of its rate limit. The group's part of that is estimated from the own requests.
    std::array<double, UNIT_COUNT> groupWork{};
    for (const auto &entry : group.work) {
        groupWork[m_customers[entry.first].unit] += entry.second.at(now);
    }
    std::array<double, UNIT_COUNT> meanRatio{};
    std::array<double, UNIT_COUNT> priorCharge{};
    for (int unit = 0; unit < UNIT_COUNT; ++unit) {
        const double charged = m_charged[unit].at(now);
        const double requests = m_requestCounts[unit].at(now);
        if (charged > NEGLIGIBLE && requests > NEGLIGIBLE) {
            meanRatio[unit] = groupWork[unit] / charged;
            priorCharge[unit] = PRIOR_REQUESTS * charged / requests;
        }
    }
    std::vector<std::pair<Index, double>> demands;
    demands.reserve(m_indices.size());
    for (const auto &entry : m_indices) {
        const CustomerState &state = m_customers[entry.second];
        const auto ownWork = group.work.find(entry.second);
        const double work = ownWork == group.work.end() ? 0.0 : ownWork->second.at(now);
        const double charged = state.charged.at(now);
        const double prior = priorCharge[state.unit];
        const double ratio = charged + prior > 0 ? (work + prior * meanRatio[state.unit]) / (charged + prior) : 0.0;
        // Requests beyond the rate limit are refused before they reach the backend servers.
        const double reported = std::clamp(state.limitPerSecond - charged / seconds, 0.0, state.reportedPerSecond);
        const double demand = work / seconds + ratio * reported;
        if (demand > NEGLIGIBLE) {
            demands.emplace_back(entry.second, demand);
        }
    }
    return demands;
}

void CustomerShares::refreshShares(Group &group)
{
    const absl::Time now = m_timers.now();
    if (now - group.computedAt < refreshPeriod(m_indices.size())) {
        return;
    }
    group.computedAt = now;
    group.shares.clear();
    const double asked = group.asked.at(now);
    const double refusedShare = asked > NEGLIGIBLE ? std::min(1.0, group.refused.at(now) / asked) : 0.0;
    if (refusedShare < MIN_REFUSED_SHARE) {
        return;
    }
    std::vector<std::pair<Index, double>> demands = demandsOf(group);
    if (demands.size() < 2) {
        return;
    }
    std::sort(demands.begin(), demands.end(), [](const auto &left, const auto &right) { return left.second < right.second; });
    double room = 0;
    for (const std::pair<Index, double> &demand : demands) {
        room += (1.0 - refusedShare) * demand.second;
    }
    // Max-min fairness: whoever asks for less than an equal part of what is left gets all of it, and the rest is divided among the others.
    double evenShare = 0;
    for (std::size_t position = 0; position < demands.size(); ++position) {
        evenShare = room / static_cast<double>(demands.size() - position);
        if (demands[position].second > evenShare) {
            break;
        }
        room -= demands[position].second;
    }
    // The wait refuses what exceeds the room. The shares only say who is refused first, so the customer with the least demand always has 1.
    const double best = std::min(1.0, evenShare / demands.front().second);
    if (best <= 0) {
        // Everything is refused, so that there is nothing to divide.
        return;
    }
    for (const std::pair<Index, double> &demand : demands) {
        const double share = std::min(1.0, evenShare / demand.second) / best;
        if (share < 1.0) {
            group.shares.emplace(demand.first, share);
        }
    }
}

double CustomerShares::share(const core::ServiceId &service, int level, const core::CustomerId &customer)
{
    const auto group = m_groups.find({service, level});
    if (group == m_groups.end()) {
        return 1.0;
    }
    refreshReports();
    refreshShares(group->second);
    const auto index = m_indices.find(customer);
    if (index == m_indices.end()) {
        return 1.0;
    }
    const auto own = group->second.shares.find(index->second);
    return own == group->second.shares.end() ? 1.0 : own->second;
}

double CustomerShares::boundFactor(const core::ServiceId &service, int level, const core::CustomerId &customer)
{
    const double own = share(service, level, customer);
    if (own >= 1.0 || std::uniform_real_distribution<double>(0.0, 1.0)(m_random) < FULL_BOUND_PART * own) {
        return 1.0;
    }
    return std::max(MIN_FACTOR, own);
}

std::size_t CustomerShares::customerCount() const
{
    return m_indices.size();
}

} // namespace snipeferry::overload
