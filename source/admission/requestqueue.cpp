#include "snipeferry/admission/requestqueue.h"

#include <absl/container/flat_hash_map.h>

#include <algorithm>
#include <cmath>
#include <map>
#include <set>
#include <utility>

namespace snipeferry::admission {

namespace {

constexpr absl::Duration MIN_RETRY_AFTER = absl::Seconds(1);
constexpr absl::Duration MAX_RETRY_AFTER = absl::Seconds(60);
/** Time constant of the exponentially decaying average of the dispatch rate. */
constexpr double DISPATCH_RATE_TIME_CONSTANT_SECONDS = 10;
/** The dispatch rate is unknown until the queue has been busy for this long. */
constexpr double MIN_BUSY_SECONDS = 2;

using TimedRequest = std::pair<absl::Time, core::RequestId>;

/** The waiting requests of one customer. */
struct CustomerQueue
{
    /** Requests that are not held, by service and then by deadline. */
    std::map<core::ServiceId, std::set<TimedRequest>> ready;
    /** Virtual time of the customer in fair queueing: the cost of its dispatched requests divided by its weight. */
    double virtualTime = 0;
    int weight = 1;
    /** Number of waiting requests, including held ones. */
    std::size_t requestCount = 0;
    /** Sum of the costs of the waiting requests. */
    core::Tokens cost = 0;
};

} // namespace

class RequestQueue::Impl
{
public:
    explicit Impl(QueueSettings settings)
        : m_settings(settings)
    {
    }

    core::Expected<void> push(const QueuedRequest &request, absl::Time expectedStart)
    {
        if (expectedStart > request.deadline) {
            return tl::make_unexpected(core::makeError(core::ErrorKind::DeadlineUnreachable, "The request cannot start before its deadline.",
                std::clamp(expectedStart - request.deadline, MIN_RETRY_AFTER, MAX_RETRY_AFTER)));
        }

        // Lowers the bound of each customer as the queue fills, so that some places in the queue always remain for other customers.
        const std::size_t freePlaces = m_settings.maxRequests - std::min(m_settings.maxRequests, m_requests.size());
        const std::size_t bound = std::min(m_settings.maxRequestsPerCustomer, freePlaces);
        const auto existing = m_customerQueues.find(request.customer);
        const std::size_t waitingCount = existing == m_customerQueues.end() ? 0 : existing->second.requestCount;
        if (waitingCount >= bound) {
            return tl::make_unexpected(core::makeError(core::ErrorKind::QueueFull, "The customer's queue is full.", retryDelay(request)));
        }

        insert(request);
        return {};
    }

    std::optional<QueuedRequest> pop(absl::Time now, const std::function<bool(const QueuedRequest &)> &canRun)
    {
        releaseHolds(now);
        for (const std::pair<double, core::CustomerId> &entry : m_fairOrder) {
            CustomerQueue &customerQueue = m_customerQueues.at(entry.second);
            for (const auto &service : customerQueue.ready) {
                const QueuedRequest request = m_requests.at(service.second.begin()->second);
                if (!canRun(request)) {
                    continue;
                }
                recordDispatch(request, now);
                chargeAndTake(request, customerQueue);
                m_wasBusy = !m_fairOrder.empty();
                return request;
            }
        }
        return std::nullopt;
    }

    std::optional<QueuedRequest> take(const core::RequestId &id)
    {
        const auto it = m_requests.find(id);
        if (it == m_requests.end()) {
            return std::nullopt;
        }
        const QueuedRequest request = it->second;
        m_requests.erase(it);
        m_byDeadline.erase({request.deadline, id});
        m_waitingCost[request.service] -= request.cost;

        const auto ownQueue = m_customerQueues.find(request.customer);
        CustomerQueue &customerQueue = ownQueue->second;
        m_held.erase({request.holdUntil, id});
        removeReady(customerQueue, request);
        customerQueue.cost -= request.cost;
        if (--customerQueue.requestCount == 0) {
            // Stores the virtual time of a customer whose queue becomes empty, so that the customer gains no advantage when it sends requests again.
            m_idleVirtualTimes[request.customer] = customerQueue.virtualTime;
            m_customerQueues.erase(ownQueue);
        }
        return request;
    }

    std::vector<QueuedRequest> takeExpired(absl::Time now)
    {
        std::vector<QueuedRequest> expired;
        while (!m_byDeadline.empty() && m_byDeadline.begin()->first < now) {
            expired.push_back(*take(m_byDeadline.begin()->second));
        }
        return expired;
    }

    std::vector<QueuedRequest> takeCustomer(const core::CustomerId &customer)
    {
        std::vector<core::RequestId> ids;
        for (const auto &waiting : m_requests) {
            if (waiting.second.customer == customer) {
                ids.push_back(waiting.first);
            }
        }
        std::sort(ids.begin(), ids.end());
        std::vector<QueuedRequest> taken;
        taken.reserve(ids.size());
        for (const core::RequestId &id : ids) {
            taken.push_back(*take(id));
        }
        return taken;
    }

    core::Tokens costAhead(const core::CustomerId &customer, int weight, core::Tokens cost) const
    {
        const auto own = m_customerQueues.find(customer);
        const core::Tokens ownBacklog = own == m_customerQueues.end() ? 0 : own->second.cost;
        const double start = own == m_customerQueues.end() ? startVirtualTime(customer) : own->second.virtualTime;
        const double finish = start + static_cast<double>(ownBacklog + cost) / std::max(1, weight);
        double ahead = static_cast<double>(ownBacklog);
        for (const std::pair<double, core::CustomerId> &entry : m_fairOrder) {
            if (entry.first >= finish) {
                break;
            }
            if (entry.second == customer) {
                continue;
            }
            const CustomerQueue &customerQueue = m_customerQueues.at(entry.second);
            ahead += std::min(static_cast<double>(customerQueue.cost), (finish - entry.first) * customerQueue.weight);
        }
        return static_cast<core::Tokens>(ahead);
    }

    absl::Time expectedStart(const core::CustomerId &customer, int weight, core::Tokens cost, absl::Time now) const
    {
        const double rate = dispatchRate();
        if (m_fairOrder.empty() || rate <= 0) {
            return now;
        }
        return now + absl::Seconds(static_cast<double>(costAhead(customer, weight, cost)) / rate);
    }

    std::size_t size() const
    {
        return m_requests.size();
    }

    core::Tokens waitingCost(const core::ServiceId &service) const
    {
        const auto it = m_waitingCost.find(service);
        return it == m_waitingCost.end() ? 0 : it->second;
    }

private:
    void insert(const QueuedRequest &request)
    {
        if (!m_requests.emplace(request.request, request).second) {
            return;
        }
        m_byDeadline.emplace(request.deadline, request.request);
        m_waitingCost[request.service] += request.cost;

        const double start = startVirtualTime(request.customer);
        const auto inserted = m_customerQueues.try_emplace(request.customer);
        CustomerQueue &customerQueue = inserted.first->second;
        if (inserted.second) {
            customerQueue.virtualTime = start;
            m_idleVirtualTimes.erase(request.customer);
        }
        customerQueue.weight = std::max(1, request.weight);
        customerQueue.cost += request.cost;
        ++customerQueue.requestCount;
        if (request.holdUntil == absl::InfinitePast()) {
            makeReady(request);
        } else {
            m_held.emplace(request.holdUntil, request.request);
        }
    }

    /** Returns the virtual time at which a customer without waiting requests starts: that of the queue or that of the customer, whichever is later. */
    double startVirtualTime(const core::CustomerId &customer) const
    {
        const auto idleVirtualTime = m_idleVirtualTimes.find(customer);
        return idleVirtualTime == m_idleVirtualTimes.end() ? m_virtualTime : std::max(m_virtualTime, idleVirtualTime->second);
    }

    /** Makes held requests ready if their hold has ended. */
    void releaseHolds(absl::Time now)
    {
        while (!m_held.empty() && m_held.begin()->first <= now) {
            const QueuedRequest &request = m_requests.at(m_held.begin()->second);
            m_held.erase(m_held.begin());
            makeReady(request);
        }
    }

    void makeReady(const QueuedRequest &request)
    {
        CustomerQueue &customerQueue = m_customerQueues.at(request.customer);

        // Advances the virtual time of a customer that had no ready requests, so that the customer gains no priority from this idle time.
        if (customerQueue.ready.empty()) {
            customerQueue.virtualTime = std::max(customerQueue.virtualTime, m_virtualTime);
            m_fairOrder.emplace(customerQueue.virtualTime, request.customer);
        }
        customerQueue.ready[request.service].emplace(request.deadline, request.request);
    }

    void removeReady(CustomerQueue &customerQueue, const QueuedRequest &request)
    {
        const auto service = customerQueue.ready.find(request.service);
        if (service == customerQueue.ready.end() || service->second.erase({request.deadline, request.request}) == 0) {
            return;
        }
        if (service->second.empty()) {
            customerQueue.ready.erase(service);
        }
        if (customerQueue.ready.empty()) {
            m_fairOrder.erase({customerQueue.virtualTime, request.customer});
        }
    }

    /** Removes the request from the queue and charges its cost to the customer's virtual time. */
    void chargeAndTake(const QueuedRequest &request, CustomerQueue &customerQueue)
    {
        m_virtualTime = std::max(m_virtualTime, customerQueue.virtualTime);
        m_fairOrder.erase({customerQueue.virtualTime, request.customer});
        customerQueue.virtualTime += static_cast<double>(std::max<core::Tokens>(1, request.cost)) / customerQueue.weight;
        m_fairOrder.emplace(customerQueue.virtualTime, request.customer);
        take(request.request);
        removeReachedVirtualTimes();
    }

    /** Removes stored virtual times that the queue's virtual time has reached. */
    void removeReachedVirtualTimes()
    {
        if (m_idleVirtualTimes.size() <= m_settings.maxRequests) {
            return;
        }
        absl::erase_if(m_idleVirtualTimes, [this](const auto &idleVirtualTime) { return idleVirtualTime.second <= m_virtualTime; });
    }

    /** Adds this request and the time since the previous dispatch to the dispatch rate, if requests were still ready after the previous dispatch. */
    void recordDispatch(const QueuedRequest &request, absl::Time now)
    {
        if (m_wasBusy) {
            const double seconds = absl::ToDoubleSeconds(now - m_lastDispatch);
            const double kept = std::exp(-seconds / DISPATCH_RATE_TIME_CONSTANT_SECONDS);
            m_busySeconds = m_busySeconds * kept + seconds;
            m_dispatchedCost = m_dispatchedCost * kept + static_cast<double>(request.cost);
        }
        m_lastDispatch = now;
    }

    /** Returns the tokens dispatched per second while requests are ready, or 0 if the rate is unknown. */
    double dispatchRate() const
    {
        return m_busySeconds < MIN_BUSY_SECONDS ? 0 : m_dispatchedCost / m_busySeconds;
    }

    /** Returns the retry time for a refused request: the time in which half of the cost ahead of the request will be dispatched. */
    absl::Duration retryDelay(const QueuedRequest &request) const
    {
        const double rate = dispatchRate();
        const double ahead = static_cast<double>(costAhead(request.customer, request.weight, request.cost));
        return rate <= 0 ? MIN_RETRY_AFTER : std::clamp(absl::Seconds(ahead / 2 / rate), MIN_RETRY_AFTER, MAX_RETRY_AFTER);
    }

    QueueSettings m_settings;
    absl::flat_hash_map<core::RequestId, QueuedRequest> m_requests;
    std::map<core::CustomerId, CustomerQueue> m_customerQueues;
    /** Customers with ready requests, ordered by virtual time. */
    std::set<std::pair<double, core::CustomerId>> m_fairOrder;
    /** Virtual times of customers without waiting requests. */
    absl::flat_hash_map<core::CustomerId, double> m_idleVirtualTimes;
    std::set<TimedRequest> m_byDeadline;
    /** Held requests, ordered by the end of the hold. */
    std::set<TimedRequest> m_held;
    absl::flat_hash_map<core::ServiceId, core::Tokens> m_waitingCost;
    double m_virtualTime = 0;
    /** Exponentially decayed sum of the time in which requests were ready. */
    double m_busySeconds = 0;
    /** Exponentially decayed sum of the cost that was dispatched in this time. */
    double m_dispatchedCost = 0;
    /** Requests were still ready after the last dispatch. */
    bool m_wasBusy = false;
    absl::Time m_lastDispatch = absl::InfinitePast();
};

RequestQueue::RequestQueue(QueueSettings settings)
    : m_impl(std::make_unique<Impl>(settings))
{
}

RequestQueue::~RequestQueue() = default;

core::Expected<void> RequestQueue::push(const QueuedRequest &request, absl::Time expectedStart)
{
    return m_impl->push(request, expectedStart);
}

std::optional<QueuedRequest> RequestQueue::pop(absl::Time now, const std::function<bool(const QueuedRequest &)> &canRun)
{
    return m_impl->pop(now, canRun);
}

bool RequestQueue::remove(const core::RequestId &request)
{
    return m_impl->take(request).has_value();
}

std::vector<QueuedRequest> RequestQueue::takeExpired(absl::Time now)
{
    return m_impl->takeExpired(now);
}

std::vector<QueuedRequest> RequestQueue::takeCustomer(const core::CustomerId &customer)
{
    return m_impl->takeCustomer(customer);
}

std::size_t RequestQueue::size() const
{
    return m_impl->size();
}

core::Tokens RequestQueue::waitingCost(const core::ServiceId &service) const
{
    return m_impl->waitingCost(service);
}

absl::Time RequestQueue::expectedStart(const core::CustomerId &customer, int weight, core::Tokens cost, absl::Time now) const
{
    return m_impl->expectedStart(customer, weight, cost, now);
}

core::Tokens RequestQueue::costAhead(const core::CustomerId &customer, int weight, core::Tokens cost) const
{
    return m_impl->costAhead(customer, weight, cost);
}

} // namespace snipeferry::admission
