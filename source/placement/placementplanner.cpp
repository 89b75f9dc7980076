#include "snipeferry/placement/placementplanner.h"

#include <algorithm>

namespace snipeferry::placement {

namespace {

/** A cache move must take less than this share of the time that a new prefill takes. */
constexpr double MAX_MOVE_SHARE = 0.5;
constexpr double BITS_PER_BYTE = 8;

bool haveSameWeights(const Assignment &left, const Assignment &right)
{
    return left.service == right.service && left.version == right.version;
}

/** State of the planning: the servers with the orders so far applied, and what is left of the budget. */
class Plan
{
public:
    Plan(std::vector<Runner> runners, const std::vector<Demand> &demands, const PlacementBudget &budget, std::int64_t fencingNumber)
        : m_runners(std::move(runners)),
          m_demands(demands),
          m_bytesLeft(budget.loadBytes),
          m_fencingNumber(fencingNumber)
    {
        std::sort(m_runners.begin(), m_runners.end(), [](const Runner &left, const Runner &right) { return left.id < right.id; });
        const auto loading = std::count_if(m_runners.begin(), m_runners.end(), [](const Runner &runner) { return runner.isLoading; });
        m_loadsLeft = budget.maxLoading - static_cast<int>(loading);
    }

    /** Adds one order for the assignment that lacks the largest share of its servers and can get one. @return whether an order was added */
    bool addOrder(bool keepsWeights)
    {
        std::vector<const Demand *> unmet;
        for (const Demand &demand : m_demands) {
            if (count(demand.assignment) < demand.runners) {
                unmet.push_back(&demand);
            }
        }
        std::stable_sort(unmet.begin(), unmet.end(), [this](const Demand *left, const Demand *right) { return served(*left) < served(*right); });
        for (const Demand *demand : unmet) {
            Runner *donor = findDonor(demand->assignment, keepsWeights);
            const bool isAffordable = keepsWeights || (demand->weightBytes <= m_bytesLeft && m_loadsLeft > 0);
            if (donor != nullptr && isAffordable) {
                order(*donor, *demand, keepsWeights);
                return true;
            }
        }
        return false;
    }

    std::vector<Order> takeOrders()
    {
        return std::move(m_orders);
    }

private:
    int count(const Assignment &assignment) const
    {
        return static_cast<int>(std::count_if(m_runners.begin(), m_runners.end(), [&](const Runner &runner) { return runner.assignment == assignment; }));
    }

    double served(const Demand &demand) const
    {
        return static_cast<double>(count(demand.assignment)) / demand.runners;
    }

    int wanted(const Assignment &assignment) const
    {
        const auto it = std::find_if(m_demands.begin(), m_demands.end(), [&](const Demand &demand) { return demand.assignment == assignment; });
        return it == m_demands.end() ? 0 : it->runners;
    }

    /** Returns the least busy server that its current assignment does not need, or nullptr. */
    Runner *findDonor(const Assignment &target, bool keepsWeights)
    {
        Runner *leastBusy = nullptr;
        for (Runner &runner : m_runners) {
            const bool isSpare = !runner.isLoading && count(runner.assignment) > wanted(runner.assignment);
            const bool isUsable = haveSameWeights(runner.assignment, target) == keepsWeights;
            if (isSpare && isUsable && (leastBusy == nullptr || runner.busy < leastBusy->busy)) {
                leastBusy = &runner;
            }
        }
        return leastBusy;
    }

    void order(Runner &runner, const Demand &demand, bool keepsWeights)
    {
        m_orders.push_back({runner.id, demand.assignment, m_fencingNumber, keepsWeights});
        runner.assignment = demand.assignment;
        if (!keepsWeights) {
            runner.isLoading = true;
            m_bytesLeft -= demand.weightBytes;
            --m_loadsLeft;
        }
    }

    std::vector<Runner> m_runners;
    const std::vector<Demand> &m_demands;
    std::int64_t m_bytesLeft;
    int m_loadsLeft = 0;
    std::int64_t m_fencingNumber;
    std::vector<Order> m_orders;
};

} // namespace

std::vector<Order> planPlacement(
    const std::vector<Runner> &runners, const std::vector<Demand> &demands, const PlacementBudget &budget, std::int64_t fencingNumber)
{
    Plan plan(runners, demands, budget, fencingNumber);
    while (plan.addOrder(true)) { }
    while (plan.addOrder(false)) { }
    return plan.takeOrders();
}

bool paysToMoveCache(const CacheMove &move)
{
    const double recompute = static_cast<double>(move.cachedTokens) / move.prefillTokensPerSecond;
    const double transfer = static_cast<double>(move.cacheBytes) * BITS_PER_BYTE / move.linkBitsPerSecond + absl::ToDoubleSeconds(move.linkLatency);
    return transfer < MAX_MOVE_SHARE * recompute;
}

} // namespace snipeferry::placement
