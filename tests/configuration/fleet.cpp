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
    history::Confirmation told;
};

Fleet::Fleet(std::size_t instances, std::uint64_t seed)
    : m_store(m_timers),
      m_random(seed)
{
    m_store.changed().subscribe([this](const platform::WatchEvent &event) { noteAccepted(event); });
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
            carryOut(index);
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
        m_history.inForce.push_back({m_instances[index]->observer, change.configuration->revision, contentOf(*change.configuration)});
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

void Fleet::cutPlatform(std::size_t instance, bool isCut)
{
    m_instances[instance]->isPlatformCut = isCut;
}

void Fleet::cutPeers(std::size_t instance, bool isCut)
{
    m_instances[instance]->isPeersCut = isCut;
    for (std::size_t other = 0; other < m_instances.size(); ++other) {
        setLink(instance, other, !isCut);
    }
}

void Fleet::duplicateMessages(bool isOn)
{
    m_duplicates = isOn;
}

void Fleet::heal()
{
    m_store.setDown(false);
    m_store.setStaleReads(false);
    m_store.loseNextAnswers(0);
    m_store.delayNextTransactions(0, {});
    for (std::size_t index = 0; index < m_instances.size(); ++index) {
        cutPlatform(index, false);
        cutPeers(index, false);
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

// Deliveries take their own time each, so that they overtake one another.
void Fleet::later(std::function<void()> action)
{
    const int latency = std::uniform_int_distribution<int>(1, MAX_LATENCY_MS)(m_random);
    m_pending.push_back(m_timers.after(absl::Milliseconds(latency), std::move(action)));
}

void Fleet::carryOut(std::size_t index)
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
        later([this, from, to, message = action.message] {
            if (m_instances[to]->links.count(from) > 0) {
                m_instances[to]->store->handle(messages::PeerReceived{idOf(from), message});
            }
        });
    }
}

void Fleet::callPlatform(std::size_t from, const platform::Call &call)
{
    const std::size_t incarnation = m_instances[from]->incarnation;
    later([this, from, incarnation, call] {
        platform::Reply reply;
        reply.id = call.id;
        if (!m_instances[from]->isPlatformCut) {
            reply = m_store.call(call);
        }
        later([this, from, incarnation, reply] {
            if (m_instances[from]->incarnation == incarnation) {
                m_instances[from]->store->handle(messages::PlatformReplied{reply});
            }
        });
    });
}

void Fleet::noteAccepted(const platform::WatchEvent &event)
{
    if (event.key != platform::CONFIGURATION_KEY || !event.value.has_value()) {
        return;
    }
    const core::Expected<configuration::Manifest> manifest = configuration::decodeManifest(*event.value);
    const configuration::AcceptedPlan &plan = manifest->accepted.back();
    m_history.accepted[plan.revision] = {plan.nonce, plan.revision, m_planned[plan.nonce], {}};

    for (std::size_t index = 0; index < m_instances.size(); ++index) {
        deliverWatched(index, event);
    }
}

// Watch events come late and out of order; one that is lost comes again when the client closes the gap.
void Fleet::deliverWatched(std::size_t index, const platform::WatchEvent &event)
{
    later([this, index, event] {
        if (m_instances[index]->isPlatformCut || m_store.isDown() || chance(0.2)) {
            m_pending.push_back(m_timers.after(REWATCH_DELAY, [this, index, event] { deliverWatched(index, event); }));
            return;
        }
        m_instances[index]->store->handle(messages::PlatformWatched{event});
    });
}

void Fleet::startOperator()
{
    const std::shared_ptr<Operator> worker = std::make_shared<Operator>();
    worker->nonce = "n" + std::to_string(++m_operators);
    stepOperator(worker);
}

void Fleet::stepOperator(const std::shared_ptr<Operator> &worker)
{
    // The base first, then a plan made from it, then its confirmation.
    if (worker->confirmation == nullptr && worker->base.result().has_value()) {
        const core::Expected<configuration::PlanBase> &base = *worker->base.result();
        if (!base.has_value()) {
            return;
        }
        const core::Tokens burst = std::stoi(worker->nonce.substr(1));
        const configuration::Plan plan = *configuration::makePlan(*base, makeConfiguration(burst), worker->nonce);
        worker->told = {worker->nonce, plan.target.revision, std::to_string(burst), {}};
        m_planned[worker->nonce] = worker->told.content;
        worker->confirmation = std::make_unique<configuration::ConfirmProcedure>(plan);
    }
    const bool isReading = worker->confirmation == nullptr;
    const std::optional<platform::Call> call = isReading ? worker->base.nextCall() : worker->confirmation->nextCall();
    if (!call.has_value()) {
        worker->told.outcome = worker->confirmation->result()->outcome;
        m_history.confirmations.push_back(worker->told);
        return;
    }
    later([this, worker, isReading, call] {
        const platform::Reply reply = m_store.call(*call);
        later([this, worker, isReading, reply] {
            if (isReading) {
                worker->base.handle(reply);
            } else {
                worker->confirmation->handle(reply);
            }
            stepOperator(worker);
        });
    });
}

bool Fleet::chance(double probability)
{
    return std::uniform_real_distribution<double>(0, 1)(m_random) < probability;
}

} // namespace snipeferry::test
