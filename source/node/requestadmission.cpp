#include "requestflow.h"

#include <absl/strings/ascii.h>

namespace snipeferry::node {

namespace {

constexpr absl::Duration TICK_INTERVAL = absl::Milliseconds(20);
constexpr absl::Duration RETRY_AFTER = absl::Seconds(1);
constexpr absl::Duration FORWARD_DEDUPLICATION_TIME = absl::Minutes(5);
constexpr const char ANONYMOUS_CUSTOMER[] = "anonymous";

bool isSafeMethod(const std::string &method)
{
    return method == "GET" || method == "HEAD" || method == "OPTIONS";
}

bool isServiceAllowed(const configuration::Customer &customer, const core::ServiceId &service)
{
    const std::vector<core::ServiceId> &services = customer.services;
    return services.empty() || std::find(services.begin(), services.end(), service) != services.end();
}

} // namespace

RequestFlow::RequestFlow(const NodeSettings &settings, RequestComponents components)
    : m_settings(settings),
      m_components(components),
      m_queue(settings.queue),
      m_lastActiveAt(components.timers.now())
{
    m_components.limits.decided().subscribe([this](const limits::ReservationDecision &decision) { reservationDecided(decision); });
    m_components.operations.decided().subscribe([this](const operations::OperationDecision &decision) { operationDecided(decision); });
    m_tickTimer = m_components.timers.every(TICK_INTERVAL, [this] {
        expireTimeouts();
        dispatchQueued();
    });
}

void RequestFlow::close()
{
    m_isClosed = true;
}

std::size_t RequestFlow::openCount() const
{
    return m_openRequests.size();
}

std::size_t RequestFlow::queuedCount() const
{
    return m_queue.size();
}

void RequestFlow::handle(const messages::RequestArrived &event)
{
    std::unique_ptr<OpenRequest> open = std::make_unique<OpenRequest>();
    open->request = event.request;
    receive(std::move(open));
}

void RequestFlow::receive(std::unique_ptr<OpenRequest> open)
{
    const core::RequestId id = open->request.id;
    const auto [it, isNew] = m_openRequests.emplace(id, std::move(open));
    if (!isNew) {
        return;
    }
    OpenRequest &request = *it->second;
    request.arrived = m_components.timers.now();

    // Authenticate the caller and look up the settings of service and route.
    if (m_isClosed) {
        fail(request, core::makeError(core::ErrorKind::InstanceDraining, "this instance is draining", RETRY_AFTER));
        return;
    }
    const core::Expected<void> authenticated = authenticate(request);
    if (!authenticated) {
        fail(request, authenticated.error());
        return;
    }
    request.deadline = request.arrived + std::min(request.rules.deadline, request.isForwarded() ? request.timeLeft : absl::InfiniteDuration());
    setTimeoutAt(request, request.deadline);
    m_retryBudget.addRequest();

    // The origin of a forwarded request has already charged the rate limit and claimed the operation.
    if (request.isForwarded()) {
        enqueue(request);
        return;
    }
    if (request.rules.isOpen) {
        claimOperation(request);
        return;
    }
    request.stage = RequestStage::AwaitingTokens;
    m_components.limits.reserve(id, request.customer, request.rules.cost, m_settings.limitPatience);
}

core::Expected<void> RequestFlow::authenticate(OpenRequest &open) const
{
    const std::shared_ptr<const configuration::Configuration> configuration = m_components.configurations.current();
    if (configuration == nullptr) {
        return tl::unexpected(core::makeError(core::ErrorKind::ConfigurationMissing, "this instance has no configuration yet", RETRY_AFTER));
    }
    core::Expected<void> rules = applyRules(open, *configuration);
    if (!rules) {
        return rules;
    }
    if (open.rules.isOpen) {
        open.customer = core::CustomerId(ANONYMOUS_CUSTOMER);
        return {};
    }

    // The API key determines the customer.
    const configuration::KeyStatus key = m_components.configurations.keyStatus(open.request.keyDigest);
    if (key.customer.isEmpty()) {
        return tl::unexpected(key.wasWithdrawn ? core::makeError(core::ErrorKind::KeyWithdrawn, "the key was withdrawn")
                                               : core::makeError(core::ErrorKind::UnknownKey, "the request carries no known key"));
    }
    if (open.isForwarded() && open.customer != key.customer) {
        return tl::unexpected(core::makeError(core::ErrorKind::UnknownKey, "the key belongs to another customer here"));
    }
    open.customer = key.customer;
    return checkStillAllowed(open);
}

core::Expected<void> RequestFlow::applyRules(OpenRequest &open, const configuration::Configuration &configuration) const
{
    const configuration::Service *service = configuration::findService(configuration, open.request.service);
    if (service == nullptr) {
        return tl::unexpected(core::makeError(core::ErrorKind::UnknownService, "no such service"));
    }
    open.rules.isModelEngine = service->type == configuration::ServiceType::ModelEngine;
    open.rules.deadline = service->deadline;
    open.rules.holdLimit = service->holdLimit;
    open.rules.isIdempotent = open.rules.isModelEngine || isSafeMethod(open.request.method);

    const configuration::Route *route = configuration::findRoute(*service, open.request.path);
    if (route != nullptr) {
        open.rules.isIdempotent = route->isIdempotent;
        open.rules.isOpen = route->isOpen;
        open.rules.cost = route->callCost;
        open.rules.routeName = route->pathPrefix;
    }
    if (open.rules.isModelEngine) {
        const core::Tokens bound = open.request.tokenBound;
        open.rules.cost = bound > 0 ? bound : open.request.promptTokens + service->defaultMaxTokens;
    }
    return {};
}

core::Expected<void> RequestFlow::checkStillAllowed(const OpenRequest &open) const
{
    const std::shared_ptr<const configuration::Configuration> configuration = m_components.configurations.current();
    const configuration::Service *service = configuration::findService(*configuration, open.request.service);
    if (service == nullptr) {
        return tl::unexpected(core::makeError(core::ErrorKind::UnknownService, "the service was removed"));
    }
    if (open.rules.isOpen) {
        const configuration::Route *route = configuration::findRoute(*service, open.request.path);
        const bool isStillOpen = route != nullptr && route->isOpen;
        return isStillOpen ? core::Expected<void>() : tl::unexpected(core::makeError(core::ErrorKind::UnknownKey, "the route is no longer open"));
    }

    // The API key must still belong to this customer.
    if (m_components.configurations.keyStatus(open.request.keyDigest).customer != open.customer) {
        return tl::unexpected(core::makeError(core::ErrorKind::KeyWithdrawn, "the key was withdrawn"));
    }
    const configuration::Customer *customer = configuration::findCustomer(*configuration, open.customer);
    if (customer == nullptr) {
        return tl::unexpected(core::makeError(core::ErrorKind::KeyWithdrawn, "the customer was removed"));
    }
    if (!isServiceAllowed(*customer, service->id)) {
        return tl::unexpected(core::makeError(core::ErrorKind::UnknownService, "the customer may not call this service"));
    }

    // If the region is fixed, because the request is running or was forwarded here, this region must still be allowed.
    const core::RegionId ownRegion = configuration::regionOf(*configuration, m_settings.self.dataCentre);
    const core::RegionId runRegion = open.isRunning() ? open.choice.region : ownRegion;
    const bool isRegionFixed = open.isForwarded() || open.isRunning();
    if (customer->allowedRegions.empty() || (isRegionFixed && !configuration::isRegionAllowed(*customer, runRegion))) {
        return tl::unexpected(core::makeError(core::ErrorKind::RegionNotAllowed, "the customer's requests may not run in this region"));
    }
    return {};
}

std::vector<core::RegionId> RequestFlow::allowedRegions(const OpenRequest &open) const
{
    const std::shared_ptr<const configuration::Configuration> configuration = m_components.configurations.current();
    const configuration::Customer *customer = configuration::findCustomer(*configuration, open.customer);
    if (customer != nullptr) {
        return customer->allowedRegions;
    }
    std::vector<core::RegionId> all;
    if (open.rules.isOpen) {
        for (const configuration::Region &region : configuration->regions) {
            all.push_back(region.id);
        }
    }
    return all;
}

void RequestFlow::reservationDecided(const limits::ReservationDecision &decision)
{
    const auto it = m_openRequests.find(decision.request);
    if (it == m_openRequests.end() || it->second->stage != RequestStage::AwaitingTokens) {
        return;
    }
    OpenRequest &open = *it->second;
    if (decision.refusal.has_value()) {
        fail(open, *decision.refusal);
        return;
    }
    open.holdsTokens = true;
    claimOperation(open);
}

void RequestFlow::claimOperation(OpenRequest &open)
{
    if (!open.isOperation()) {
        enqueue(open);
        return;
    }
    open.stage = RequestStage::AwaitingOperation;
    m_components.operations.begin(open.request, open.customer);
}

void RequestFlow::operationDecided(const operations::OperationDecision &decision)
{
    const auto it = m_openRequests.find(decision.request);
    const bool isAwaited = it != m_openRequests.end() && it->second->stage == RequestStage::AwaitingOperation;
    if (!isAwaited) {
        // The caller disconnected before the right to run was granted, so the operation has not run.
        if (decision.verdict == operations::OperationDecision::Verdict::Run) {
            m_components.operations.finish(decision.request, operations::RunOutcome::NotRun, std::nullopt);
        }
        return;
    }

    OpenRequest &open = *it->second;
    switch (decision.verdict) {
    case operations::OperationDecision::Verdict::Run:
        open.holdsOperation = true;
        enqueue(open);
        return;
    case operations::OperationDecision::Verdict::Replay:
        replay(open, *decision.answer);
        return;
    case operations::OperationDecision::Verdict::Refuse:
        fail(open, *decision.refusal);
        return;
    }
}

void RequestFlow::replay(OpenRequest &open, const operations::StoredAnswer &answer)
{
    std::vector<Header> headers = answer.headers;
    headers.push_back({"Idempotent-Replay", "true"});
    open.rules.cost = 0;
    sendAnswerHead(open, answer.status, std::move(headers));
    sendAnswerData(open, answer.body);
    finishAnswer(open);
}

void RequestFlow::enqueue(OpenRequest &open)
{
    const absl::Time now = m_components.timers.now();
    if (!open.isForwarded()) {
        open.version = m_components.rollouts.chooseVersion(open.request.service, open.rules.routeName);
    }

    admission::QueuedRequest queued{open.request.id, open.customer, open.request.service, 1, open.rules.cost, open.deadline};
    const configuration::Customer *customer = configuration::findCustomer(*m_components.configurations.current(), open.customer);
    queued.weight = customer == nullptr ? 1 : customer->weight;

    open.stage = RequestStage::Queued;
    const bool isFull = m_components.router.freeSlots(open.request.service, open.version) == 0;
    const bool isEstimated = isFull && open.rules.holdLimit <= absl::ZeroDuration();
    const absl::Time start = isEstimated ? m_queue.expectedStart(open.customer, queued.weight, queued.cost, now) : now;
    const core::Expected<void> accepted = m_queue.push(queued, start);
    if (!accepted) {
        fail(open, accepted.error());
        return;
    }
    dispatchQueued();
}

void RequestFlow::handleForward(const core::InstanceId &from, const ForwardRequest &message)
{
    // Ignore a repeated message, so that the request does not run twice.
    const absl::Time now = m_components.timers.now();
    if (!m_recentForwards.emplace(message.request.id, now + FORWARD_DEDUPLICATION_TIME).second) {
        return;
    }
    std::unique_ptr<OpenRequest> open = std::make_unique<OpenRequest>();
    open->request = message.request;
    open->origin = from;
    open->customer = message.customer;
    open->version = message.version;
    open->timeLeft = message.timeLeft;
    receive(std::move(open));
}

void RequestFlow::configurationChanged()
{
    std::vector<core::RequestId> ids;
    for (const auto &entry : m_openRequests) {
        ids.push_back(entry.first);
    }
    for (const core::RequestId &id : ids) {
        const auto it = m_openRequests.find(id);
        if (it == m_openRequests.end()) {
            continue;
        }
        OpenRequest &open = *it->second;
        core::Expected<void> allowed = checkStillAllowed(open);
        if (allowed) {
            continue;
        }
        cancelAttempt(open);
        core::Error error = allowed.error();
        error.ranState = open.hasHead ? core::RanState::Ran : (open.isRunning() || open.mayHaveRun ? core::RanState::Unknown : core::RanState::NotRun);
        fail(open, error);
    }
}

void RequestFlow::handle(const messages::CallerLeft &event)
{
    const auto it = m_openRequests.find(event.request);
    if (it == m_openRequests.end() || it->second->isForwarded()) {
        return;
    }
    OpenRequest &open = *it->second;

    // An operation continues to run, so that a repeated call gets its answer.
    if (open.isOperation() && open.isRunning()) {
        open.isDetached = true;
        return;
    }
    cancelAttempt(open);
    open.isDetached = true;
    fail(open, core::makeError(core::ErrorKind::CallerGone, "the caller closed its connection"));
}

} // namespace snipeferry::node
