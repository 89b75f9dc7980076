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

/** State during planning: the servers, with all orders planned so far applied to them, and the rest of the budget. */
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
        const auto loadingCount = std::count_if(m_runners.begin(), m_runners.end(), [](const Runner &runner) { return runner.isLoading; });
        m_loadsLeft = budget.maxLoading - static_cast<int>(loadingCount);
    }

    /**
     * Adds one order for the demand with the smallest share of its servers assigned, among the unmet demands that a spare server and the rest of the
     * budget allow.
     * @return whether an order was added
     */
    bool addOrder(bool keepsWeights)
    {
        std::vector<const Demand *> unmet;
        for (const Demand &demand : m_demands) {
            if (assignedCount(demand.assignment) < demand.runners) {
                unmet.push_back(&demand);
            }
        }
        std::stable_sort(unmet.begin(), unmet.end(), [this](const Demand *left, const Demand *right) { return assignedShare(*left) < assignedShare(*right); });
        for (const Demand *demand : unmet) {
            Runner *spareServer = findSpareServer(demand->assignment, keepsWeights);
            const bool isAffordable = keepsWeights || (demand->weightBytes <= m_bytesLeft && m_loadsLeft > 0);
            if (spareServer != nullptr && isAffordable) {
                reassign(*spareServer, *demand, keepsWeights);
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
    int assignedCount(const Assignment &assignment) const
    {
        return static_cast<int>(std::count_if(m_runners.begin(), m_runners.end(), [&](const Runner &runner) { return runner.assignment == assignment; }));
    }

    double assignedShare(const Demand &demand) const
    {
        return static_cast<double>(assignedCount(demand.assignment)) / demand.runners;
    }

    int demandedCount(const Assignment &assignment) const
    {
        const auto it = std::find_if(m_demands.begin(), m_demands.end(), [&](const Demand &demand) { return demand.assignment == assignment; });
        return it == m_demands.end() ? 0 : it->runners;
    }

    /**
     * Returns the least busy server that its current assignment does not need, or nullptr.
     * @param keepsWeights whether the server must already have the weights of the target; if false, it must have other weights
     */
    Runner *findSpareServer(const Assignment &target, bool keepsWeights)
    {
        Runner *leastBusy = nullptr;
        for (Runner &runner : m_runners) {
            const bool isSpare = !runner.isLoading && assignedCount(runner.assignment) > demandedCount(runner.assignment);
            const bool isUsable = haveSameWeights(runner.assignment, target) == keepsWeights;
            if (isSpare && isUsable && (leastBusy == nullptr || runner.busy < leastBusy->busy)) {
                leastBusy = &runner;
            }
        }
        return leastBusy;
    }

    void reassign(Runner &runner, const Demand &demand, bool keepsWeights)
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
    const double recomputeSeconds = static_cast<double>(move.cachedTokens) / move.prefillTokensPerSecond;
    const double transferSeconds = static_cast<double>(move.cacheBytes) * BITS_PER_BYTE / move.linkBitsPerSecond + absl::ToDoubleSeconds(move.linkLatency);
    return transferSeconds < MAX_MOVE_SHARE * recomputeSeconds;
}

} // namespace snipeferry::placement
