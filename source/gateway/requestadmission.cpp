#include "snipeferry/gateway/requestflow.h"
#include "snipeferry/overload/urgency.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <utility>

namespace snipeferry::gateway {

namespace {

/** Subtracted from the key withdrawal time, because clocks drift and timers fire late. */
constexpr absl::Duration KEY_CONFIRMATION_MARGIN = absl::Milliseconds(300);
/** Up to this age of the deployment's last confirmation, an unknown route or key is refused with a final error. Later the caller is told to retry. */
constexpr absl::Duration MAX_FRESH_DEPLOYMENT_AGE = absl::Milliseconds(2500);
/** Time for the last answers before a draining instance stops. */
constexpr absl::Duration LAST_ANSWERS_TIME = absl::Milliseconds(100);

} // namespace

bool RequestFlow::isDeploymentFresh() const
{
    return m_dependencies.timers.now() - m_confirmedAt < MAX_FRESH_DEPLOYMENT_AGE;
}

core::Expected<void> RequestFlow::identifyCustomer(OpenRequest &open) const
{
    if (open.route.isOpen || !m_routes->hasCustomers()) {
        return {};
    }
    // A newer deployment may have withdrawn the key since the last confirmation, so refuse all keys before the withdrawal time is over.
    if (m_dependencies.timers.now() - m_confirmedAt > m_settings.keyWithdrawalTime - KEY_CONFIRMATION_MARGIN) {
        return tl::make_unexpected(
            core::makeError(core::ErrorKind::PlatformUnavailable, "Keys cannot be checked: the deployment was not confirmed recently.", absl::Seconds(1)));
    }
    const Customer *customer = m_routes->findCustomerByKey(open.request.keyDigest);
    if (customer == nullptr) {
        if (!isDeploymentFresh()) {
            return tl::make_unexpected(
                core::makeError(core::ErrorKind::PlatformUnavailable, "The key is not known yet; the deployment may be outdated.", SHORT_RETRY_DELAY));
        }
        return tl::make_unexpected(core::makeError(core::ErrorKind::UnknownKey, "The key is not known."));
    }
    open.customer = customer->id;
    open.customerHomeRegions = customer->homeRegions;
    open.priority = overload::urgencyOf(customer->priority, open.route.priority);
    open.cost = 1;
    if (customer->countsTokens) {
        const double tokens = static_cast<double>(open.request.promptTokens + open.request.outputTokens);
        open.cost = open.request.hasTokenCounts ? tokens : customer->plainCost;
    }
    return {};
}

core::Expected<void> RequestFlow::checkDrain(const OpenRequest &open) const
{
    if (m_dependencies.timers.now() < m_refuseNewFrom) {
        return {};
    }
    // If the region's other instances are draining too, a request that can finish before the stop is better served here than in another region.
    if (!m_dependencies.fleet.hasReadyInstance(m_dependencies.fleet.self().region) && open.deadline <= m_stopAt) {
        return {};
    }
    return tl::make_unexpected(core::makeError(core::ErrorKind::InstanceDraining, "This instance is shutting down.", absl::Milliseconds(50)));
}

core::Expected<void> RequestFlow::admit(OpenRequest &open)
{
    if (m_routes == nullptr) {
        return tl::make_unexpected(core::makeError(core::ErrorKind::ConfigurationMissing, "This instance has no deployment yet.", SHORT_RETRY_DELAY));
    }
    const Route *route = m_routes->findRoute(open.request.host, open.request.http.target);
    if (route == nullptr) {
        if (!isDeploymentFresh()) {
            return tl::make_unexpected(core::makeError(
                core::ErrorKind::ConfigurationMissing, "No route matches the host and path yet; the deployment may be outdated.", SHORT_RETRY_DELAY));
        }
        return tl::make_unexpected(core::makeError(core::ErrorKind::UnknownService, "No route matches the host and path."));
    }
    open.route = *route;
    open.priority = overload::urgencyOf(std::nullopt, route->priority);
    open.deadline = open.arrivedAt + std::min(route->timeout, open.request.timeLimit);
    open.events = EventStream(open.request.lastEventId);

    core::Expected<void> identifiedCustomer = identifyCustomer(open);
    if (!identifiedCustomer) {
        return identifiedCustomer;
    }
    open.request.fingerprint = requestFingerprint(open.request, open.customer);
    open.content = RunContent(open.request.promptParts, open.request.fingerprint);
    core::Expected<void> drainCheck = checkDrain(open);
    if (!drainCheck) {
        return drainCheck;
    }
    // What is still open shortly before the stop is answered then, not cut.
    open.deadline = std::min(open.deadline, m_stopAt - LAST_ANSWERS_TIME);

    // Choose one of the route's services at random, by weight.
    int total = 0;
    for (const WeightedService &weightedService : open.route.services) {
        total += weightedService.weight;
    }
    if (total <= 0) {
        return tl::make_unexpected(core::makeError(core::ErrorKind::NoBackendServer, "The route has no service.", absl::Seconds(1)));
    }
    int draw = std::uniform_int_distribution<int>(0, total - 1)(m_random);
    for (const WeightedService &weightedService : open.route.services) {
        if (draw < weightedService.weight) {
            open.service = weightedService.service;
            break;
        }
        draw -= weightedService.weight;
    }

    // Reserve the tokens last, so that a request refused for another reason is not charged.
    core::Expected<void> reserved = m_dependencies.allowances.reserve(open.customer, open.cost);
    if (!reserved) {
        return reserved;
    }
    open.hasReservedTokens = true;
    if (!open.customer.isEmpty()) {
        m_dependencies.shares.noteRequest(open.service, open.priority, open.customer, workOf(open), open.cost);
    }
    m_dependencies.repeats.noteRequest(open.service);
    return {};
}

void RequestFlow::beginDrain(absl::Time stopAt)
{
    m_refuseNewFrom = m_dependencies.timers.now() + DRAIN_GRACE;
    m_stopAt = stopAt;
    for (auto &entry : m_openRequests) {
        entry.second->deadline = std::min(entry.second->deadline, m_stopAt - LAST_ANSWERS_TIME);
    }
}

void RequestFlow::confirmDeployment(absl::Time at)
{
    m_confirmedAt = std::max(m_confirmedAt, at);
}

void RequestFlow::configure(std::shared_ptr<const RouteTable> routes)
{
    m_routes = std::move(routes);
}

} // namespace snipeferry::gateway
