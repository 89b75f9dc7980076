#include "snipeferry/node/node.h"

#include "requestflow.h"

#include <algorithm>

namespace snipeferry::node {

class Node::Impl
{
public:
    Impl(NodeSettings settings, core::TimerService &timers)
        : m_settings(std::move(settings)),
          m_timers(timers),
          m_configurations(timers, m_outbox),
          m_members(m_settings.membership, m_settings.self, timers, m_outbox),
          m_limits(m_settings.limits, m_settings.self, timers, m_outbox),
          m_operations(m_settings.self, m_settings.seed, timers, m_outbox),
          m_rollouts(m_settings.self, m_settings.seed + 1, timers, m_outbox),
          m_peaks(m_settings.self, timers, m_outbox),
          m_router(m_settings.self.dataCentre, m_settings.seed + 2, timers),
          m_flow(m_settings, RequestComponents{m_configurations, m_limits, m_operations, m_rollouts, m_peaks, m_router, timers, m_outbox})
    {
        m_configurations.changed().subscribe([this](const configuration::ConfigurationChanged &change) { configure(*change.configuration); });
        m_members.changed().subscribe([this](const membership::MembersChanged &) { updateMembers(); });
        m_rollouts.changed().subscribe([this](const rollout::RolloutStatus &) { m_flow.dispatchQueued(); });
        m_stateTimer = timers.every(m_settings.membership.heartbeatInterval, [this] { publishState(); });
    }

    void handle(const messages::Event &event)
    {
        std::visit([this](const auto &message) { take(message); }, event);
        m_flow.dispatchQueued();
    }

    const NodeSettings &settings() const
    {
        return m_settings;
    }

    messages::Outbox &outbox()
    {
        return m_outbox;
    }

    const configuration::ConfigurationStore &configurations() const
    {
        return m_configurations;
    }

    operations::OperationRegistry &operations()
    {
        return m_operations;
    }

    bool isReady() const
    {
        return m_configurations.current() != nullptr && !m_isDraining;
    }

    bool isDrained() const
    {
        return m_isClosed && m_flow.openCount() == 0;
    }

    NodeStatus status() const
    {
        NodeStatus status;
        status.self = m_members.self();
        status.revision = m_configurations.current() == nullptr ? 0 : m_configurations.current()->revision;
        status.isReady = isReady();
        status.openRequests = m_flow.openCount();
        status.queuedRequests = m_flow.queuedCount();
        for (const membership::Member &member : m_members.members()) {
            status.members.push_back(member.description);
        }
        return status;
    }

    std::vector<RankedEntry> rankEntries(const core::CustomerId &customer) const;

private:
    // Pass each event to the components that handle it.
    void take(const messages::RequestArrived &event)
    {
        m_flow.handle(event);
    }

    void take(const messages::CallerLeft &event)
    {
        m_flow.handle(event);
    }

    void take(const messages::BackendHead &event)
    {
        m_flow.handle(event);
    }

    void take(const messages::BackendChunk &event)
    {
        m_flow.handle(event);
    }

    void take(const messages::BackendEnd &event)
    {
        m_flow.handle(event);
    }

    void take(const messages::BackendFailure &event)
    {
        m_flow.handle(event);
    }

    void take(const messages::PeerReceived &event)
    {
        m_members.handle(event);
        m_configurations.handle(event);
        m_limits.handle(event);
        m_rollouts.handle(event);
        m_peaks.handle(event);
        m_flow.handle(event);
    }

    void take(const messages::PeerLinkChanged &event)
    {
        m_members.handle(event);
        m_configurations.handle(event);
        m_flow.handle(event);
    }

    void take(const messages::PlatformReplied &event)
    {
        m_configurations.handle(event);
        m_limits.handle(event);
        m_operations.handle(event);
        m_rollouts.handle(event);
        m_peaks.handle(event);
    }

    void take(const messages::PlatformWatched &event)
    {
        m_configurations.handle(event);
        m_limits.handle(event);
        m_rollouts.handle(event);
    }

    void take(const messages::DirectoryChanged &event)
    {
        m_members.handle(event);
        m_router.setDirectory(event.snapshot.backendServers);
    }

    void take(const messages::LoadReported &event)
    {
        m_router.handle(event);
    }

    void take(const messages::CacheReported &event)
    {
        m_router.handle(event);
    }

    void take(const messages::DrainRequested &)
    {
        if (m_isDraining) {
            return;
        }
        // Some callers don't know yet that the instance is draining: serve them until the grace period ends. Then give up the rate-limit slots.
        m_isDraining = true;
        m_members.drain();
        m_drainTimer = m_timers.after(m_settings.drainGrace, [this] {
            m_flow.close();
            m_limits.drain();
            m_isClosed = true;
        });
    }

    void configure(const configuration::Configuration &configuration)
    {
        m_limits.configure(configuration);
        m_rollouts.configure(configuration);
        m_peaks.configure(configuration);
        m_router.configure(configuration);
        m_flow.configurationChanged();
        publishState();
        m_outbox.push(messages::Log{core::LogEvent{"configuration_in_force", {{"revision", std::to_string(configuration.revision)}}}});
    }

    void updateMembers()
    {
        const std::vector<membership::Member> members = m_members.members();
        std::vector<membership::InstanceDescription> usable;
        for (const membership::Member &member : members) {
            if (member.isUsable) {
                usable.push_back(member.description);
            }
        }
        m_router.setMembers(members);
        m_limits.setMembers(usable);
        m_rollouts.setMembers(usable);
        m_peaks.setMembers(usable);
    }

    void publishState()
    {
        const std::shared_ptr<const configuration::Configuration> configuration = m_configurations.current();
        m_members.setState(configuration == nullptr ? 0 : configuration->revision, m_router.loads());
    }

    const NodeSettings m_settings;
    core::TimerService &m_timers;
    messages::Outbox m_outbox;
    configuration::ConfigurationStore m_configurations;
    membership::MemberList m_members;
    limits::RateLimiter m_limits;
    operations::OperationRegistry m_operations;
    rollout::RolloutBook m_rollouts;
    peak::PeakLedger m_peaks;
    routing::Router m_router;
    RequestFlow m_flow;
    core::Subscription m_stateTimer;
    core::Subscription m_drainTimer;
    bool m_isDraining = false;
    bool m_isClosed = false;
};

std::vector<RankedEntry> Node::Impl::rankEntries(const core::CustomerId &customer) const
{
    // Rank instances of this data centre before all others, and within both groups put the instances first that issue the customer's tokens.
    std::vector<membership::InstanceDescription> candidates;
    if (!m_isDraining) {
        candidates.push_back(m_members.self());
    }
    for (const membership::Member &member : m_members.members()) {
        if (member.isUsable) {
            candidates.push_back(member.description);
        }
    }
    const std::vector<core::InstanceId> homes = m_limits.homes(customer);
    const core::DataCentreId &ownDataCentre = m_settings.self.dataCentre;
    const std::function<int(const membership::InstanceDescription &)> rank = [&](const membership::InstanceDescription &candidate) {
        const bool issuesTokens = std::find(homes.begin(), homes.end(), candidate.id) != homes.end();
        return (candidate.dataCentre == ownDataCentre ? 0 : 2) + (issuesTokens ? 0 : 1);
    };
    std::stable_sort(candidates.begin(), candidates.end(),
        [&](const membership::InstanceDescription &left, const membership::InstanceDescription &right) { return rank(left) < rank(right); });

    std::vector<RankedEntry> entries;
    entries.reserve(candidates.size());
    for (const membership::InstanceDescription &candidate : candidates) {
        entries.push_back({candidate.id, candidate.callerAddress, candidate.dataCentre});
    }
    return entries;
}

namespace {

core::Expected<core::CustomerId> customerOf(const configuration::ConfigurationStore &configurations, const std::string &keyDigest)
{
    if (configurations.current() == nullptr) {
        return tl::unexpected(core::makeError(core::ErrorKind::ConfigurationMissing, "this instance has no configuration yet", absl::Seconds(1)));
    }
    const configuration::KeyStatus key = configurations.keyStatus(keyDigest);
    if (key.customer.isEmpty()) {
        return tl::unexpected(key.wasWithdrawn ? core::makeError(core::ErrorKind::KeyWithdrawn, "the key was withdrawn")
                                               : core::makeError(core::ErrorKind::UnknownKey, "the request carries no known key"));
    }
    return key.customer;
}

} // namespace

Node::Node(NodeSettings settings, core::TimerService &timers)
    : m_impl(std::make_unique<Impl>(std::move(settings), timers))
{
}

Node::~Node() = default;

std::vector<messages::Action> Node::handle(const messages::Event &event)
{
    m_impl->handle(event);
    return m_impl->outbox().take();
}

std::vector<messages::Action> Node::takeActions()
{
    return m_impl->outbox().take();
}

bool Node::isReady() const
{
    return m_impl->isReady();
}

bool Node::isDrained() const
{
    return m_impl->isDrained();
}

NodeStatus Node::status() const
{
    return m_impl->status();
}

core::Expected<std::vector<RankedEntry>> Node::entries(const std::string &keyDigest) const
{
    const core::Expected<core::CustomerId> customer = customerOf(m_impl->configurations(), keyDigest);
    if (!customer) {
        return tl::unexpected(customer.error());
    }
    return m_impl->rankEntries(*customer);
}

core::Expected<std::vector<std::string>> Node::models(const std::string &keyDigest) const
{
    const core::Expected<core::CustomerId> id = customerOf(m_impl->configurations(), keyDigest);
    if (!id) {
        return tl::unexpected(id.error());
    }
    const std::shared_ptr<const configuration::Configuration> configuration = m_impl->configurations().current();
    const configuration::Customer *customer = configuration::findCustomer(*configuration, *id);
    std::vector<std::string> names;
    for (const configuration::Service &service : configuration->services) {
        const bool isPermitted
            = customer->services.empty() || std::find(customer->services.begin(), customer->services.end(), service.id) != customer->services.end();
        if (service.type == configuration::ServiceType::ModelEngine && isPermitted) {
            names.push_back(service.model);
        }
    }
    return names;
}

core::Expected<std::string> Node::issueOperationNumber(const std::string &keyDigest)
{
    const core::Expected<core::CustomerId> customer = customerOf(m_impl->configurations(), keyDigest);
    if (!customer) {
        return tl::unexpected(customer.error());
    }
    return m_impl->operations().issueNumber(*customer);
}

std::shared_ptr<const configuration::Configuration> Node::configuration() const
{
    return m_impl->configurations().current();
}

} // namespace snipeferry::node
