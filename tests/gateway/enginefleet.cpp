#include "enginefleetparts.h"

#include <absl/strings/str_join.h>

#include <algorithm>

// The instances of the fleet, their links and the store.
namespace snipeferry::tests {

namespace {

constexpr absl::Duration STEP = absl::Milliseconds(5);
constexpr absl::Duration HOUSEKEEPING_PERIOD = absl::Milliseconds(200);
constexpr absl::Duration OTHER_REGION_LATENCY = absl::Milliseconds(55);
constexpr absl::Duration LEASE_TIME = absl::Seconds(9);
constexpr absl::Duration RENEW_PERIOD = absl::Seconds(3);
/** Time in which a fleet has its links, and each started instance has heard of all others. */
constexpr absl::Duration START_TIME = absl::Seconds(8);
constexpr gateway::Topic TOPICS[] = {gateway::Topic::Operator, gateway::Topic::BackendServers, gateway::Topic::Members};

} // namespace

std::string regionName(std::size_t region)
{
    return absl::StrCat("region", region);
}

EngineFleet::Links::Links(EngineFleet &fleet, std::size_t self)
    : m_fleet(fleet),
      m_self(self)
{
}

bool EngineFleet::Links::send(const core::InstanceId &to, const gateway::FleetMessage &message)
{
    const auto number = m_fleet.m_instanceNumbers.find(to);
    if (number == m_fleet.m_instanceNumbers.end()) {
        return false;
    }
    const std::pair<std::size_t, std::size_t> link = std::minmax(m_self, number->second);
    if (m_fleet.m_links.count(link) == 0) {
        return false;
    }
    Instance &sender = *m_fleet.m_instances[m_self];
    Instance &receiver = *m_fleet.m_instances[number->second];
    const gateway::Gateway *process = receiver.gateway.get();
    m_fleet.at(m_fleet.latency(sender, receiver), [this, link, &receiver, process, from = sender.member.id, message] {
        // What is under way when a link is cut is lost.
        if (receiver.gateway.get() == process && m_fleet.m_links.count(link) > 0) {
            m_fleet.deliver(receiver, [from, message](gateway::Gateway &gateway) { gateway.received(from, message); });
        }
    });
    return true;
}

void EngineFleet::Links::sendToAll(const std::vector<core::InstanceId> &to, const gateway::FleetMessage &message)
{
    for (const core::InstanceId &instance : to) {
        send(instance, message);
    }
}

EngineFleet::EngineFleet(std::uint64_t seed, FleetShape shape)
    : m_random(seed)
{
    for (std::size_t region = 0; region < shape.engines.size(); ++region) {
        for (int number = 0; number < shape.engines[region]; ++number) {
            std::unique_ptr<Engine> engine = std::make_unique<Engine>();
            engine->region = region;
            engine->server = GatewayFixture::server(absl::StrCat("e-", region, "-", number));
            engine->server.dataCentre = core::DataCentreId(regionName(region) + "-1");
            engine->server.slots = 64;
            announce(*engine);
            m_engines.push_back(std::move(engine));
        }
    }
    gateway::Deployment deployment = GatewayFixture::deployment();
    deployment.services.front().isModelEngine = true;
    deployment.services.front().coldRate = shape.coldRate;
    gateway::Route keyedStream = GatewayFixture::route("/keyed-stream/");
    keyedStream.isOpen = false;
    keyedStream.isStream = true;
    deployment.routes.push_back(keyedStream);
    gateway::Route urgentStream = GatewayFixture::route("/urgent-stream/");
    urgentStream.isStream = true;
    urgentStream.priority = 0;
    deployment.routes.push_back(urgentStream);
    storeRecord(gateway::Topic::Operator, "deployment", nlohmann::json(deployment).dump());
    for (std::size_t region = 0; region < shape.instances.size(); ++region) {
        for (int number = 0; number < shape.instances[region]; ++number) {
            add(region);
        }
    }
    // All are announced before the first one starts, as after a restart of the whole fleet within its leases.
    for (const std::unique_ptr<Instance> &instance : m_instances) {
        instance->isAnnounced = true;
        instance->isProcessAnnounced = true;
        instance->renewedAt = m_clock.now();
        storeRecord(gateway::Topic::Members, instance->member.id.value(), nlohmann::json(instance->member).dump());
    }
    for (std::size_t index = 0; index < m_instances.size(); ++index) {
        start(index);
    }
    advance(START_TIME);
}

EngineFleet::~EngineFleet() = default;

std::size_t EngineFleet::add(std::size_t region)
{
    const std::size_t index = m_instances.size();
    const gateway::Member member = GatewayFixture::member(absl::StrCat("gw-", region, "-", index), regionName(region));
    m_instances.push_back(std::make_unique<Instance>(*this, index, member, region));
    m_instanceNumbers[member.id] = index;
    Instance &instance = *m_instances.back();
    instance.clock.freeze(m_clock.now() - instance.clock.now());
    return index;
}

std::size_t EngineFleet::addInstance(std::size_t region)
{
    const std::size_t index = add(region);
    start(index);
    return index;
}

void EngineFleet::at(absl::Duration delay, std::function<void()> action)
{
    m_events.emplace(m_clock.now() + delay, std::move(action));
}

void EngineFleet::deliver(Instance &instance, std::function<void(gateway::Gateway &)> action)
{
    if (instance.gateway == nullptr) {
        return;
    }
    if (instance.isFrozen) {
        instance.heldBack.push_back(std::move(action));
    } else {
        action(*instance.gateway);
    }
}

void EngineFleet::advance(absl::Duration time)
{
    const absl::Time end = m_clock.now() + time;
    while (m_clock.now() < end) {
        if (m_clock.now() >= m_nextHousekeeping) {
            m_nextHousekeeping = m_clock.now() + HOUSEKEEPING_PERIOD;
            keepLeases();
            keepLinks();
            confirmTopics();
        }
        m_clock.advance(STEP);
        for (const std::unique_ptr<Instance> &instance : m_instances) {
            instance->isFrozen ? instance->clock.freeze(STEP) : instance->clock.advance(STEP);
        }
        while (!m_events.empty() && m_events.begin()->first <= m_clock.now()) {
            const std::function<void()> action = m_events.begin()->second;
            m_events.erase(m_events.begin());
            action();
        }
    }
}

std::shared_ptr<Answer> EngineFleet::ask(
    std::size_t instance, const std::vector<std::string> &sharedParts, const std::string &target, const gateway::Headers &extra)
{
    constexpr int PART_TOKENS = 300;
    std::vector<std::string> parts;
    parts.reserve(sharedParts.size() + 1);
    for (const std::string &part : sharedParts) {
        parts.push_back(absl::StrCat(part, ":", PART_TOKENS));
    }
    parts.push_back(absl::StrCat("own", m_requestCount + 1, ":", PART_TOKENS));
    // No two requests are alike.
    gateway::HttpRequest request{"POST", target, extra, absl::StrCat("body", m_requestCount + 1)};
    request.headers.push_back({"parts", absl::StrJoin(parts, ",")});
    request.headers.push_back({"tokens", absl::StrCat(PART_TOKENS * parts.size())});
    std::shared_ptr<Answer> answer = askWhole(instance, std::move(request));
    m_requests.back().sharedParts = sharedParts;
    return answer;
}

std::shared_ptr<Answer> EngineFleet::askWhole(std::size_t instance, gateway::HttpRequest request)
{
    request.headers.push_back({"id", absl::StrCat("r", ++m_requestCount)});
    std::shared_ptr<Answer> answer = std::make_shared<Answer>();
    m_requests.push_back({m_clock.now(), instance, {}, answer, request.body});
    m_lastAsked = instance;
    deliver(*m_instances.at(instance),
        [this, request, answer](gateway::Gateway &gateway) { m_lastNumber = gateway.requests().arrived(request, std::make_shared<FakeSink>(answer)); });
    return answer;
}

std::shared_ptr<Answer> EngineFleet::ask(const std::vector<std::string> &sharedParts, const std::string &target, const gateway::Headers &extra)
{
    std::size_t instance = 0;
    do {
        instance = static_cast<std::size_t>(randomInt(static_cast<int>(m_instances.size())));
    } while (m_instances[instance]->gateway == nullptr);
    return ask(instance, sharedParts, target, extra);
}

std::shared_ptr<Answer> EngineFleet::askInRegion(std::size_t region, const std::vector<std::string> &sharedParts, const std::string &target)
{
    const std::vector<std::size_t> instances = instancesOf(region);
    std::size_t instance = 0;
    do {
        instance = instances[static_cast<std::size_t>(randomInt(static_cast<int>(instances.size())))];
    } while (m_instances[instance]->gateway == nullptr);
    return ask(instance, sharedParts, target);
}

void EngineFleet::leave()
{
    m_instances.at(m_lastAsked)->gateway->requests().callerLeft(m_lastNumber);
}

void EngineFleet::storeRecord(gateway::Topic topic, const std::string &key, const std::optional<std::string> &value)
{
    ++m_revision;
    if (value.has_value()) {
        m_store[topic][key] = {key, *value, m_revision};
    } else {
        m_store[topic].erase(key);
    }
    for (const std::unique_ptr<Instance> &instance : m_instances) {
        if (!instance->isStoreCut && !instance->isReading) {
            deliver(*instance, [topic, key, value, revision = m_revision, now = m_clock.now()](gateway::Gateway &gateway) {
                gateway.topicChanged(topic, {{key, value, revision}}, revision, now);
            });
        }
    }
}

void EngineFleet::removeStoredMembers()
{
    for (const std::unique_ptr<Instance> &instance : m_instances) {
        if (instance->isAnnounced) {
            storeRecord(gateway::Topic::Members, instance->member.id.value(), std::nullopt);
        }
    }
    // The announcement comes again with the next renewal.
    for (const std::unique_ptr<Instance> &instance : m_instances) {
        at(absl::Milliseconds(randomInt(static_cast<int>(absl::ToInt64Milliseconds(RENEW_PERIOD)))), [&instance] { instance->isAnnounced = false; });
    }
}

void EngineFleet::removeStoredQuarantines()
{
    std::vector<std::string> keys;
    for (const auto &entry : m_store[gateway::Topic::Members]) {
        if (m_records.isQuarantineKey(entry.first)) {
            keys.push_back(entry.first);
        }
    }
    for (const std::string &key : keys) {
        storeRecord(gateway::Topic::Members, key, std::nullopt);
    }
}

void EngineFleet::kill(std::size_t index)
{
    Instance &instance = *m_instances[index];
    instance.gateway.reset();
    // The next process is another one, which the store does not announce yet.
    ++instance.member.incarnation;
    instance.isProcessAnnounced = false;
    instance.isFrozen = false;
    instance.isReading = false;
    instance.heldBack.clear();
    for (const std::unique_ptr<Engine> &engine : m_engines) {
        const auto isOfInstance = [&instance](const Run &run) {
            return run.instance == &instance;
        };
        engine->runs.erase(std::remove_if(engine->runs.begin(), engine->runs.end(), isOfInstance), engine->runs.end());
    }
    keepLinks();
}

void EngineFleet::start(std::size_t index, absl::Duration readDelay, absl::Duration announceDelay)
{
    Instance &instance = *m_instances[index];
    instance.announcedFrom = m_clock.now() + announceDelay;
    gateway::GatewaySettings settings = GatewayFixture::settings();
    settings.self = instance.member;
    settings.announcementLifetime = LEASE_TIME;
    settings.regions.clear();
    for (const std::unique_ptr<Engine> &engine : m_engines) {
        settings.regions[engine->server.dataCentre] = core::RegionId(regionName(engine->region));
    }
    settings.flow.seed = m_random();
    // The engines tell the runs of all instances apart by their numbers.
    settings.firstRunNumber = (static_cast<gateway::Number>(++m_startCount) << 32U) + 1;
    instance.gateway = std::make_unique<gateway::Gateway>(
        settings, gateway::GatewayPorts{instance.clock, m_headers, m_records, instance.runs, instance.links, instance.journal});
    instance.gateway->recordToStore().subscribe([this, &instance](const gateway::RecordToStore &task) {
        at(REGION_LATENCY, [this, &instance, record = task.record] {
            if (!instance.isStoreCut) {
                storeRecord(gateway::Topic::Members, record.key, record.value);
            }
        });
    });
    if (readDelay == absl::ZeroDuration()) {
        readStore(instance);
        return;
    }
    instance.isReading = true;
    at(readDelay, [this, &instance, process = instance.gateway.get()] {
        if (instance.gateway.get() == process) {
            instance.isReading = false;
            readStore(instance);
        }
    });
}

void EngineFleet::readStore(Instance &instance)
{
    for (const gateway::Topic topic : TOPICS) {
        std::vector<gateway::Record> records;
        for (const auto &entry : m_store[topic]) {
            records.push_back(entry.second);
        }
        deliver(instance,
            [topic, records, revision = m_revision, now = m_clock.now()](gateway::Gateway &gateway) { gateway.topicRead(topic, records, revision, now); });
    }
}

void EngineFleet::setFrozen(std::size_t index, bool isFrozen)
{
    Instance &instance = *m_instances[index];
    instance.isFrozen = isFrozen;
    while (!isFrozen && !instance.heldBack.empty()) {
        const std::function<void(gateway::Gateway &)> action = instance.heldBack.front();
        instance.heldBack.pop_front();
        action(*instance.gateway);
    }
}

void EngineFleet::setBusy(std::size_t index, absl::Duration time)
{
    m_instances[index]->busyUntil = m_clock.now() + time;
}

void EngineFleet::setStoreCut(std::size_t index, bool isCut)
{
    Instance &instance = *m_instances[index];
    instance.isStoreCut = isCut;
    if (!isCut) {
        readStore(instance);
    }
}

void EngineFleet::partition(const std::vector<std::vector<std::size_t>> &groups)
{
    m_groups.clear();
    for (std::size_t group = 0; group < groups.size(); ++group) {
        for (const std::size_t instance : groups[group]) {
            m_groups[instance] = group + 1;
        }
    }
    keepLinks();
}

void EngineFleet::keepLeases()
{
    const absl::Time now = m_clock.now();
    for (const std::unique_ptr<Instance> &instance : m_instances) {
        const bool canRenew = instance->gateway != nullptr && !instance->isFrozen && !instance->isStoreCut;
        const bool isDue = !instance->isAnnounced || !instance->isProcessAnnounced || now - instance->renewedAt >= RENEW_PERIOD;
        if (canRenew && isDue && now >= instance->announcedFrom) {
            instance->renewedAt = now;
            if (!instance->isAnnounced || !instance->isProcessAnnounced) {
                instance->isAnnounced = true;
                instance->isProcessAnnounced = true;
                storeRecord(gateway::Topic::Members, instance->member.id.value(), nlohmann::json(instance->member).dump());
            }
        } else if (instance->isAnnounced && now - instance->renewedAt > LEASE_TIME) {
            instance->isAnnounced = false;
            storeRecord(gateway::Topic::Members, instance->member.id.value(), std::nullopt);
        }
    }
}

void EngineFleet::keepLinks()
{
    std::set<std::pair<std::size_t, std::size_t>> wanted;
    std::map<core::InstanceId, std::size_t> up;
    for (std::size_t index = 0; index < m_instances.size(); ++index) {
        if (m_instances[index]->gateway != nullptr) {
            up[m_instances[index]->member.id] = index;
        }
    }
    const auto groupOf = [this](std::size_t index) {
        const auto it = m_groups.find(index);
        return it == m_groups.end() ? 0 : it->second;
    };
    for (const auto &entry : up) {
        for (const gateway::Member &member : m_instances[entry.second]->gateway->membersToLink()) {
            const auto other = up.find(member.id);
            if (other != up.end() && groupOf(entry.second) == groupOf(other->second)) {
                wanted.insert(std::minmax(entry.second, other->second));
            }
        }
    }
    const std::set<std::pair<std::size_t, std::size_t>> before = std::exchange(m_links, wanted);
    const auto tell = [this](std::size_t index, std::size_t other, bool isUp) {
        deliver(*m_instances[index],
            [peer = m_instances[other]->member, isUp](gateway::Gateway &gateway) { isUp ? gateway.linkUp(peer) : gateway.linkDown(peer.id); });
    };
    for (const std::pair<std::size_t, std::size_t> &link : before) {
        if (wanted.count(link) == 0) {
            tell(link.first, link.second, false);
            tell(link.second, link.first, false);
        }
    }
    for (const std::pair<std::size_t, std::size_t> &link : wanted) {
        if (before.count(link) == 0) {
            tell(link.first, link.second, true);
            tell(link.second, link.first, true);
        }
    }
}

void EngineFleet::confirmTopics()
{
    for (const std::unique_ptr<Instance> &instance : m_instances) {
        if (instance->isStoreCut || instance->isReading) {
            continue;
        }
        for (const gateway::Topic topic : TOPICS) {
            deliver(
                *instance, [topic, revision = m_revision, now = m_clock.now()](gateway::Gateway &gateway) { gateway.topicChanged(topic, {}, revision, now); });
        }
    }
}

absl::Duration EngineFleet::latency(const Instance &from, const Instance &to) const
{
    return from.region == to.region ? REGION_LATENCY : OTHER_REGION_LATENCY;
}

} // namespace snipeferry::tests
