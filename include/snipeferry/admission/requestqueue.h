#pragma once

#include "snipeferry/core/error.h"
#include "snipeferry/core/ids.h"

#include <absl/time/time.h>

#include <functional>
#include <memory>
#include <optional>
#include <vector>

/**
 * Queue of requests that wait to be dispatched at an instance.
 */
namespace snipeferry::admission {

/** One waiting request. */
struct QueuedRequest
{
    core::RequestId request;
    core::CustomerId customer;
    core::ServiceId service;
    /** The customer's share of the queue relative to other customers. */
    int weight = 1;
    /** Expected tokens of the request. Fair queueing charges them to the customer. */
    core::Tokens cost = 1;
    /** When the first byte of the answer is due. */
    absl::Time deadline;
    /** The request is not dispatched before this time. */
    absl::Time holdUntil = absl::InfinitePast();
};

struct QueueSettings
{
    std::size_t maxRequests = 1000;
    /** Number of requests of one customer that can wait. */
    std::size_t maxRequestsPerCustomer = 250;
};

/**
 * Bounded queue with weighted fair queueing between customers and earliest deadline first within each customer and service.
 */
class RequestQueue
{
public:
    explicit RequestQueue(QueueSettings settings);
    ~RequestQueue();

    /**
     * @brief Adds a request.
     * @param expectedStart when the request is expected to leave the queue; the request is refused if this time is after its deadline
     * @return nothing on success; otherwise a QueueFull or DeadlineUnreachable error with a retry time
     */
    core::Expected<void> push(const QueuedRequest &request, absl::Time expectedStart);

    /**
     * @brief Removes and returns the next request in fair order that can run.
     * @param now current time; requests that are held until a later time are skipped
     * @param canRun returns whether a request can be dispatched now; called at most once for each customer and service
     */
    std::optional<QueuedRequest> pop(absl::Time now, const std::function<bool(const QueuedRequest &)> &canRun);

    /** @brief Removes a request, for example when its caller has disconnected. @return whether the request was in the queue */
    bool remove(const core::RequestId &request);

    /** @brief Removes and returns all requests whose deadline has passed. */
    std::vector<QueuedRequest> takeExpired(absl::Time now);

    /** @brief Removes and returns all requests of a customer, for example when its API keys are withdrawn. */
    std::vector<QueuedRequest> takeCustomer(const core::CustomerId &customer);

    std::size_t size() const;

    /** @brief Returns the sum of the expected tokens of all requests that wait for a service. */
    core::Tokens waitingCost(const core::ServiceId &service) const;

    /**
     * @brief Returns the expected tokens of the waiting requests that fair order dispatches before a new request of a customer.
     * @param weight the customer's weight
     * @param cost expected tokens of the new request
     */
    core::Tokens costAhead(const core::CustomerId &customer, int weight, core::Tokens cost) const;

    /**
     * @brief Estimates when a new request of a customer would leave the queue, from the rate of recent dispatches.
     * @return the estimated time, or now if no request is ready to be dispatched or the rate is not known yet
     */
    absl::Time expectedStart(const core::CustomerId &customer, int weight, core::Tokens cost, absl::Time now) const;

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace snipeferry::admission
