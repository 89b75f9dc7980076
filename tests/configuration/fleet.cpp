#include "fleet.h"

#include "snipeferry/platform/keys.h"

namespace snipeferry::test {

namespace {

constexpr absl::Duration STEP = absl::Milliseconds(10);
constexpr int MAX_LATENCY_MS = 60;
constexpr absl::Duration REWATCH_DELAY = absl::Seconds(2);

std::string contentOf(const configuration::Configuration &configuration)
{
    return std::to_string(configuration.customers.front().burst);
}

core::InstanceId idOf(std::size_t index)
{
    return core::InstanceId("i" + std::to_string(index));
}

} // namespace

configuration::Configuration makeConfiguration(core::Tokens burst)
{
    configuration::Configuration configuration;
    configuration.regions = {{core::RegionId("recife"), {{core::DataCentreId("recife-1"), 1}}}};
    configuration::Customer customer;
    customer.id = core::CustomerId("c1");
    customer.burst = burst;
    customer.allowedRegions = {core::RegionId("recife")};
    customer.keyDigests = {std::string(64, 'a')};
    configuration.customers = {customer};
    return configuration;
}

struct Fleet::Instance
{
    std::string observer;
    std::size_t incarnation = 0;
    messages::Outbox outbox;
    std::unique_ptr<configuration::ConfigurationStore> store;
    std::set<std::size_t> links;
    bool isPlatformCut = false;
    bool isPeersCut = false;
};

struct Fleet::Operator
{
    std::string nonce;
    configuration::ReadBaseProcedure base;
    std::unique_ptr<configuration::ConfirmProcedure> confirmation;
    history::Confirmation reportedResult;
};

Fleet::Fleet(std::size_t instances, std::uint64_t seed)
    : m_store(m_timers),
      m_random(seed)
{
    m_store.changed().subscribe([this](const platform::WatchEvent &event) { recordAccepted(event); });
    for (std::size_t index = 0; index < instances; ++index) {
        m_instances.push_back(std::make_unique<Instance>());
    }
    for (std::size_t index = 0; index < instances; ++index) {
        start(index);
    }
}

Fleet::~Fleet() = default;

void Fleet::run(absl::Duration duration)
{
    for (absl::Duration done; done < duration; done += STEP) {
        m_timers.advance(STEP);
        for (std::size_t index = 0; index < m_instances.size(); ++index) {
            performActions(index);
        }
    }
}

void Fleet::start(std::size_t index)
{
    Instance &instance = *m_instances[index];
    for (std::size_t other = 0; other < m_instances.size(); ++other) {
        setLink(index, other, false);
    }
    ++instance.incarnation;
    instance.observer = idOf(index).value() + "." + std::to_string(instance.incarnation);
    instance.store = nullptr;
    instance.outbox = messages::Outbox();
    instance.store = std::make_unique<configuration::ConfigurationStore>(m_timers, instance.outbox);
    instance.store->changed().subscribe([this, index](const configuration::ConfigurationChanged &change) {
        m_history.activations.push_back({m_instances[index]->observer, change.configuration->revision, contentOf(*change.configuration)});
    });
    for (std::size_t other = 0; other < m_instances.size(); ++other) {
        setLink(index, other, true);
    }
}

void Fleet::setLink(std::size_t first, std::size_t second, bool isUp)
{
    Instance &left = *m_instances[first];
    Instance &right = *m_instances[second];
    const bool canLink = first != second && !left.isPeersCut && !right.isPeersCut && left.store != nullptr && right.store != nullptr;
    if ((isUp && !canLink) || (left.links.count(second) > 0) == isUp) {
        return;
    }
    if (isUp) {
        left.links.insert(second);
        right.links.insert(first);
    } else {
        left.links.erase(second);
        right.links.erase(first);
    }
    left.store->handle(messages::PeerLinkChanged{idOf(second), isUp});
    right.store->handle(messages::PeerLinkChanged{idOf(first), isUp});
}

void Fleet::setPlatformCut(std::size_t instance, bool isCut)
{
    m_instances[instance]->isPlatformCut = isCut;
}

void Fleet::setPeersCut(std::size_t instance, bool isCut)
{
    m_instances[instance]->isPeersCut = isCut;
    for (std::size_t other = 0; other < m_instances.size(); ++other) {
        setLink(instance, other, !isCut);
    }
}

void Fleet::setDuplicatesMessages(bool isOn)
{
    m_duplicates = isOn;
}

void Fleet::clearFaults()
{
    m_store.setDown(false);
    m_store.setStaleReads(false);
    m_store.loseNextAnswers(0);
    m_store.delayNextTransactions(0, {});
    for (std::size_t index = 0; index < m_instances.size(); ++index) {
        setPlatformCut(index, false);
        setPeersCut(index, false);
    }
}

standins::FakeStore &Fleet::store()
{
    return m_store;
}

core::VirtualTimerService &Fleet::timers()
{
    return m_timers;
}

const configuration::ConfigurationStore &Fleet::instance(std::size_t index) const
{
    return *m_instances[index]->store;
}

const history::ConfigurationHistory &Fleet::history() const
{
    return m_history;
}

core::Revision Fleet::acceptedRevision() const
{
    return m_history.accepted.empty() ? 0 : m_history.accepted.rbegin()->first;
}

// Each delivery has its own random latency, so that messages overtake one another.
void Fleet::scheduleWithLatency(std::function<void()> action)
{
    const int latency = std::uniform_int_distribution<int>(1, MAX_LATENCY_MS)(m_random);
    m_scheduled.push_back(m_timers.after(absl::Milliseconds(latency), std::move(action)));
}

void Fleet::performActions(std::size_t index)
{
    for (const messages::Action &action : m_instances[index]->outbox.take()) {
        if (const messages::SendToPeer *send = std::get_if<messages::SendToPeer>(&action)) {
            sendToPeer(index, *send);
        } else if (const platform::Call *call = std::get_if<platform::Call>(&action)) {
            callPlatform(index, *call);
        }
    }
}

void Fleet::sendToPeer(std::size_t from, const messages::SendToPeer &action)
{
    const std::size_t to = static_cast<std::size_t>(std::stoul(action.to.value().substr(1)));
    const int copies = m_duplicates && chance(0.3) ? 2 : 1;
    for (int copy = 0; copy < copies; ++copy) {
        scheduleWithLatency([this, from, to, message = action.message] {
            if (m_instances[to]->links.count(from) > 0) {
                m_instances[to]->store->handle(messages::PeerReceived{idOf(from), message});
            }
        });
    }
}

void Fleet::callPlatform(std::size_t from, const platform::Call &call)
{
    const std::size_t incarnation = m_instances[from]->incarnation;
    scheduleWithLatency([this, from, incarnation, call] {
        platform::Reply reply;
        reply.id = call.id;
        if (!m_instances[from]->isPlatformCut) {
            reply = m_store.call(call);
        }
        scheduleWithLatency([this, from, incarnation, reply] {
            if (m_instances[from]->incarnation == incarnation) {
                m_instances[from]->store->handle(messages::PlatformReplied{reply});
            }
        });
    });
}

void Fleet::recordAccepted(const platform::WatchEvent &event)
{
    if (event.key != platform::CONFIGURATION_KEY || !event.value.has_value()) {
        return;
    }
    const core::Expected<configuration::Manifest> manifest = configuration::decodeManifest(*event.value);
    const configuration::AcceptedPlan &plan = manifest->accepted.back();
    m_history.accepted[plan.revision] = {plan.nonce, plan.revision, m_contentByNonce[plan.nonce], {}};

    for (std::size_t index = 0; index < m_instances.size(); ++index) {
        deliverWatchEvent(index, event);
    }
}

// Watch events arrive late and out of order. One that is lost is delivered again after REWATCH_DELAY, as if the client had resumed its watch.
void Fleet::deliverWatchEvent(std::size_t index, const platform::WatchEvent &event)
{
    scheduleWithLatency([this, index, event] {
        if (m_instances[index]->isPlatformCut || m_store.isDown() || chance(0.2)) {
            m_scheduled.push_back(m_timers.after(REWATCH_DELAY, [this, index, event] { deliverWatchEvent(index, event); }));
            return;
        }
        m_instances[index]->store->handle(messages::PlatformWatched{event});
    });
}

void Fleet::startOperator()
{
    const std::shared_ptr<Operator> operatorRun = std::make_shared<Operator>();
    operatorRun->nonce = "n" + std::to_string(++m_operators);
    stepOperator(operatorRun);
}

void Fleet::stepOperator(const std::shared_ptr<Operator> &operatorRun)
{
    // Reads the base, makes a plan from it and confirms the plan.
    if (operatorRun->confirmation == nullptr && operatorRun->base.result().has_value()) {
        const core::Expected<configuration::PlanBase> &base = *operatorRun->base.result();
        if (!base.has_value()) {
            return;
        }
        const core::Tokens burst = std::stoi(operatorRun->nonce.substr(1));
        const configuration::Plan plan = *configuration::makePlan(*base, makeConfiguration(burst), operatorRun->nonce);
        operatorRun->reportedResult = {operatorRun->nonce, plan.target.revision, std::to_string(burst), {}};
        m_contentByNonce[operatorRun->nonce] = operatorRun->reportedResult.content;
        operatorRun->confirmation = std::make_unique<configuration::ConfirmProcedure>(plan);
    }
    const bool isReading = operatorRun->confirmation == nullptr;
    const std::optional<platform::Call> call = isReading ? operatorRun->base.nextCall() : operatorRun->confirmation->nextCall();
    if (!call.has_value()) {
        operatorRun->reportedResult.outcome = operatorRun->confirmation->result()->outcome;
        m_history.confirmations.push_back(operatorRun->reportedResult);
        return;
    }
    scheduleWithLatency([this, operatorRun, isReading, call] {
        const platform::Reply reply = m_store.call(*call);
        scheduleWithLatency([this, operatorRun, isReading, reply] {
            if (isReading) {
                operatorRun->base.handle(reply);
            } else {
                operatorRun->confirmation->handle(reply);
            }
            stepOperator(operatorRun);
        });
    });
}

bool Fleet::chance(double probability)
{
    return std::uniform_real_distribution<double>(0, 1)(m_random) < probability;
}

} // namespace snipeferry::test
