#include "snipeferry/gateway/requestflow.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <utility>

namespace snipeferry::gateway {

namespace {

/** A key's confirmation counts for this much less than its bound: clocks drift and timers fire late. */
constexpr absl::Duration KEY_MARGIN = absl::Milliseconds(300);
/** Age of the deployment up to which unknown routes and keys are refused for good. */
constexpr absl::Duration FRESH_DEPLOYMENT = absl::Milliseconds(2500);
/** Callers keep a directory answer this long; until then a leaving instance serves them like any other. */
constexpr absl::Duration DRAIN_COURTESY = absl::Milliseconds(2200);

} // namespace

bool RequestFlow::isDeploymentFresh() const
{
    return m_parts.timers.now() - m_confirmedAt < FRESH_DEPLOYMENT;
}

core::Expected<void> RequestFlow::identify(Open &open) const
{
    if (open.route.isOpen || !m_routes->hasCustomers()) {
        return {};
    }
    // A key counts only while no newer deployment can have withdrawn it for too long.
    if (m_parts.timers.now() - m_confirmedAt > m_settings.keyWithdrawalTime - KEY_MARGIN) {
        return tl::make_unexpected(
            core::makeError(core::ErrorKind::PlatformUnavailable, "Keys cannot be checked against the newest deployment.", absl::Seconds(1)));
    }
    const Customer *customer = m_routes->findCustomerByKey(open.request.keyDigest);
    if (customer == nullptr) {
        if (!isDeploymentFresh()) {
            return tl::make_unexpected(core::makeError(core::ErrorKind::PlatformUnavailable, "The key is not known yet.", SOON));
        }
        return tl::make_unexpected(core::makeError(core::ErrorKind::UnknownKey, "The key is not known."));
    }
    open.customer = customer->id;
    open.customerHomes = customer->homeRegions;
    open.priority = customer->priority.value_or(open.route.priority);
    open.cost = 1;
    if (customer->countsTokens) {
        const double tokens = static_cast<double>(open.request.promptTokens + open.request.outputTokens);
        open.cost = open.request.hasTokenCounts ? tokens : customer->plainCost;
    }
    return {};
}

core::Expected<void> RequestFlow::checkDrain(const Open &open) const
{
    if (m_parts.timers.now() < m_drainFrom) {
        return {};
    }
    // With others of the region leaving too, what can still be answered in time is better served here than far away.
    if (!m_parts.fleet.hasReadyInstance(m_parts.fleet.self().region) && open.deadline <= m_stopAt) {
        return {};
    }
    return tl::make_unexpected(core::makeError(core::ErrorKind::InstanceDraining, "This instance is leaving.", absl::Milliseconds(50)));
}

core::Expected<void> RequestFlow::admit(Open &open)
{
    if (m_routes == nullptr) {
        return tl::make_unexpected(core::makeError(core::ErrorKind::ConfigurationMissing, "No deployment is known yet.", SOON));
    }
    const Route *route = m_routes->findRoute(open.request.host, open.request.http.target);
    if (route == nullptr) {
        if (!isDeploymentFresh()) {
            return tl::make_unexpected(core::makeError(core::ErrorKind::ConfigurationMissing, "The route is not known yet.", SOON));
        }
        return tl::make_unexpected(core::makeError(core::ErrorKind::UnknownService, "No route matches host and path."));
    }
    open.route = *route;
    open.priority = route->priority;
    open.deadline = open.arrivedAt + std::min(route->timeout, open.request.timeLimit);
    open.events = EventStream(open.request.lastEventId);

    core::Expected<void> identified = identify(open);
    if (!identified) {
        return identified;
    }
    core::Expected<void> stays = checkDrain(open);
    if (!stays) {
        return stays;
    }

    // Choose the service by weight.
    int total = 0;
    for (const WeightedService &part : open.route.services) {
        total += part.weight;
    }
    if (total <= 0) {
        return tl::make_unexpected(core::makeError(core::ErrorKind::NoBackendServer, "The route leads to no service.", absl::Seconds(1)));
    }
    int drawn = std::uniform_int_distribution<int>(0, total - 1)(m_random);
    for (const WeightedService &part : open.route.services) {
        if (drawn < part.weight) {
            open.service = part.service;
            break;
        }
        drawn -= part.weight;
    }

    // Charge the customer last, so that what is refused for other reasons costs nothing.
    core::Expected<void> reserved = m_parts.allowances.reserve(open.customer, open.cost);
    if (!reserved) {
        return reserved;
    }
    open.holdsTokens = true;
    m_parts.repeats.noteRequest(open.service);
    return {};
}

void RequestFlow::beginDrain(absl::Time stopAt)
{
    m_drainFrom = m_parts.timers.now() + DRAIN_COURTESY;
    m_stopAt = stopAt;
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
