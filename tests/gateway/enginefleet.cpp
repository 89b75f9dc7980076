#include "enginefleet.h"

#include "snipeferry/gateway/answerprogress.h"

#include <absl/strings/str_join.h>

#include <algorithm>
#include <deque>

namespace snipeferry::tests {

namespace {

constexpr absl::Duration STEP = absl::Milliseconds(5);
constexpr absl::Duration HOUSEKEEPING_PERIOD = absl::Milliseconds(200);
constexpr absl::Duration REGION_LATENCY = absl::Milliseconds(1);
constexpr absl::Duration OTHER_REGION_LATENCY = absl::Milliseconds(55);
/** An engine's announcement lapses after three missing reports, and the engine is back a little later. */
constexpr absl::Duration LAPSE_TIME = absl::Milliseconds(3600);
constexpr absl::Duration RESTART_TIME = absl::Milliseconds(4000);
constexpr absl::Duration PREFILL_TIME = absl::Milliseconds(60);
constexpr absl::Duration EVENT_TIME = absl::Milliseconds(20);
constexpr int EVENTS = 12;
/** Time between the head of an answer and the crash of an engine that begins to write it. */
constexpr absl::Duration CRASH_DELAY = absl::Milliseconds(40);

std::vector<std::string> sharedPartsOf(const gateway::HttpRequest &request)
{
    std::vector<std::string> ids;
    for (const absl::string_view part : absl::StrSplit(FakeHeaders::value(request.headers, "parts"), ',', absl::SkipEmpty())) {
        ids.emplace_back(part.substr(0, part.find(':')));
    }
    if (!ids.empty()) {
        ids.pop_back();
    }
    return ids;
}

std::string regionName(std::size_t region)
{
    return absl::StrCat("region", region);
}

} // namespace

struct EngineFleet::Run
{
    Instance *instance = nullptr;
    gateway::Number number = 0;
    std::vector<std::string> sharedParts;
    bool hasHead = false;
};

struct EngineFleet::Engine
{
    gateway::BackendServer server;
    std::size_t region = 0;
    bool isUp = true;
    /** Number of the engine's present process. */
    std::uint64_t boot = 0;
    std::optional<double> limit;
    std::vector<Run> runs;
};

class EngineFleet::Links : public gateway::FleetLinks
{
public:
    Links(EngineFleet &fleet, std::size_t self)
        : m_fleet(fleet),
          m_self(self)
    {
    }

    bool send(const core::InstanceId &to, const gateway::FleetMessage &message) override;

    void sendToAll(const std::vector<core::InstanceId> &to, const gateway::FleetMessage &message) override
    {
        for (const core::InstanceId &instance : to) {
            send(instance, message);
        }
    }

private:
    EngineFleet &m_fleet;
    std::size_t m_self;
};

class EngineFleet::Runs : public gateway::RunTransport
{
public:
    Runs(EngineFleet &fleet, std::size_t self)
        : m_fleet(fleet),
          m_self(self)
    {
    }

    void start(
        gateway::Number run, const gateway::BackendServer &server, const gateway::HttpRequest &request, const core::RequestId &id, bool mayReuse) override;
    void cancel(gateway::Number run) override;
    void setPaused(gateway::Number run, bool isPaused) override;

private:
    EngineFleet &m_fleet;
    std::size_t m_self;
};

struct EngineFleet::Instance
{
    Instance(EngineFleet &fleet, std::size_t index, gateway::Member self, std::size_t regionIndex)
        : member(std::move(self)),
          region(regionIndex),
          links(fleet, index),
          runs(fleet, index)
    {
    }

    gateway::Member member;
    std::size_t region;
    Links links;
    Runs runs;
    FakeJournal journal;
    bool isCutOff = false;
    /** Empty while the instance is down. */
    std::unique_ptr<gateway::Gateway> gateway;
};

bool EngineFleet::Links::send(const core::InstanceId &to, const gateway::FleetMessage &message)
{
    for (std::size_t index = 0; index < m_fleet.m_instances.size(); ++index) {
        if (m_fleet.m_instances[index]->member.id != to) {
            continue;
        }
        const std::pair<std::size_t, std::size_t> link = std::minmax(m_self, index);
        if (m_fleet.m_links.count(link) == 0) {
            return false;
        }
        Instance &sender = *m_fleet.m_instances[m_self];
        Instance &receiver = *m_fleet.m_instances[index];
        const gateway::Gateway *process = receiver.gateway.get();
        m_fleet.at(m_fleet.latency(sender, receiver), [&receiver, process, from = sender.member.id, message] {
            if (receiver.gateway != nullptr && receiver.gateway.get() == process) {
                receiver.gateway->received(from, message);
            }
        });
        return true;
    }
    return false;
}

void EngineFleet::Runs::start(
    gateway::Number run, const gateway::BackendServer &server, const gateway::HttpRequest &request, const core::RequestId & /*id*/, bool /*mayReuse*/)
{
    Instance &instance = *m_fleet.m_instances[m_self];
    m_fleet.at(REGION_LATENCY, [this, &instance, run, server, request] {
        if (instance.gateway != nullptr) {
            m_fleet.arrive(instance, run, server, request);
        }
    });
}

void EngineFleet::Runs::cancel(gateway::Number run)
{
    for (const std::unique_ptr<Engine> &engine : m_fleet.m_engines) {
        const auto isRun = [this, run](const Run &candidate) {
            return candidate.number == run && candidate.instance == m_fleet.m_instances[m_self].get();
        };
        engine->runs.erase(std::remove_if(engine->runs.begin(), engine->runs.end(), isRun), engine->runs.end());
    }
}

void EngineFleet::Runs::setPaused(gateway::Number /*run*/, bool /*isPaused*/)
{
    // Callers of this fleet take their answers at once.
}

EngineFleet::EngineFleet(std::uint64_t seed, FleetShape shape)
    : m_random(seed)
{
    for (std::size_t region = 0; region < shape.instances.size(); ++region) {
        for (int number = 0; number < shape.instances[region]; ++number) {
            const gateway::Member member = GatewayFixture::member(absl::StrCat("gw-", region, "-", number), regionName(region));
            m_instances.push_back(std::make_unique<Instance>(*this, m_instances.size(), member, region));
            storeRecord(gateway::Topic::Members, member.id.value(), nlohmann::json(member).dump());
        }
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
    deployment.services.front().coldRate = 0;
    storeRecord(gateway::Topic::Operator, "deployment", nlohmann::json(deployment).dump());
    for (std::size_t index = 0; index < m_instances.size(); ++index) {
        start(index);
    }
    advance(absl::Seconds(3));
}

EngineFleet::~EngineFleet() = default;

void EngineFleet::at(absl::Duration delay, std::function<void()> action)
{
    m_events.emplace(timers.now() + delay, std::move(action));
}

void EngineFleet::advance(absl::Duration time)
{
    const absl::Time end = timers.now() + time;
    while (timers.now() < end) {
        if (timers.now() >= m_nextHousekeeping) {
            m_nextHousekeeping = timers.now() + HOUSEKEEPING_PERIOD;
            keepLinks();
            confirmTopics();
        }
        timers.advance(STEP);
        while (!m_events.empty() && m_events.begin()->first <= timers.now()) {
            const std::function<void()> action = m_events.begin()->second;
            m_events.erase(m_events.begin());
            action();
        }
    }
}

std::shared_ptr<Answer> EngineFleet::ask(std::size_t instance, const std::vector<std::string> &sharedParts, const std::string &target)
{
    constexpr int PART_TOKENS = 300;
    std::vector<std::string> parts;
    parts.reserve(sharedParts.size() + 1);
    for (const std::string &part : sharedParts) {
        parts.push_back(absl::StrCat(part, ":", PART_TOKENS));
    }
    ++m_requestCount;
    parts.push_back(absl::StrCat("own", m_requestCount, ":", PART_TOKENS));
    gateway::HttpRequest request{"POST", target, {}, "body"};
    request.headers = {{"id", absl::StrCat("r", m_requestCount)}, {"parts", absl::StrJoin(parts, ",")}, {"tokens", absl::StrCat(PART_TOKENS * parts.size())}};
    std::shared_ptr<Answer> answer = std::make_shared<Answer>();
    m_requests.push_back({timers.now(), sharedParts, answer});
    m_instances.at(instance)->gateway->requests().arrived(std::move(request), std::make_shared<FakeSink>(answer));
    return answer;
}

std::shared_ptr<Answer> EngineFleet::ask(const std::vector<std::string> &sharedParts, const std::string &target)
{
    std::size_t instance = 0;
    do {
        instance = static_cast<std::size_t>(randomInt(static_cast<int>(m_instances.size())));
    } while (m_instances[instance]->gateway == nullptr);
    return ask(instance, sharedParts, target);
}

void EngineFleet::setCrashing(const std::string &part, bool isCrashing)
{
    if (isCrashing) {
        m_crashingParts.insert(part);
    } else {
        m_crashingParts.erase(part);
    }
}

void EngineFleet::arrive(Instance &instance, gateway::Number run, const gateway::BackendServer &server, const gateway::HttpRequest &request)
{
    const auto isAddressed = [&server](const std::unique_ptr<Engine> &engine) {
        return engine->server.id == server.id;
    };
    const auto it = std::find_if(m_engines.begin(), m_engines.end(), isAddressed);
    if (it == m_engines.end() || !(*it)->isUp) {
        instance.gateway->runFailed(run, false, gateway::REASON_CONNECT_REFUSED);
        return;
    }
    Engine &engine = **it;
    const std::vector<std::string> sharedParts = sharedPartsOf(request);
    m_arrivals.push_back({timers.now(), server.id, instance.member.id, FakeHeaders::value(request.headers, "id"), sharedParts});
    engine.runs.push_back({&instance, run, sharedParts, false});
    const std::size_t index = static_cast<std::size_t>(it - m_engines.begin());
    at(PREFILL_TIME + absl::Milliseconds(randomInt(40)), [this, index, boot = engine.boot, run] { beginAnswer(index, boot, run); });
}

EngineFleet::Run *EngineFleet::findRun(std::size_t engine, std::uint64_t boot, gateway::Number run)
{
    if (m_engines[engine]->boot != boot || !m_engines[engine]->isUp) {
        return nullptr;
    }
    for (Run &candidate : m_engines[engine]->runs) {
        if (candidate.number == run) {
            return candidate.instance->gateway == nullptr ? nullptr : &candidate;
        }
    }
    return nullptr;
}

bool EngineFleet::isCrashing(const std::vector<std::string> &sharedParts) const
{
    return std::any_of(sharedParts.begin(), sharedParts.end(), [this](const std::string &part) { return m_crashingParts.count(part) > 0; });
}

void EngineFleet::beginAnswer(std::size_t engine, std::uint64_t boot, gateway::Number run)
{
    Run *found = findRun(engine, boot, run);
    if (found == nullptr) {
        return;
    }
    found->hasHead = true;
    if (!isCrashing(found->sharedParts)) {
        found->instance->gateway->runHead(run, headOf(*m_engines[engine]));
        writeEvent(engine, boot, run, 1);
        return;
    }
    Instance &instance = *found->instance;
    const std::vector<std::string> sharedParts = found->sharedParts;
    instance.gateway->runHead(run, {200, {{"receipt", "x"}}});
    if (!bytesBeforeCrash.empty()) {
        instance.gateway->runData(run, bytesBeforeCrash);
    }
    at(CRASH_DELAY, [this, engine, boot, sharedParts] {
        if (m_engines[engine]->boot != boot || !m_engines[engine]->isUp) {
            return;
        }
        for (const std::string &part : sharedParts) {
            if (m_crashingParts.count(part) > 0) {
                m_crashes[part].push_back(timers.now());
            }
        }
        crash(engine);
    });
}

void EngineFleet::writeEvent(std::size_t engine, std::uint64_t boot, gateway::Number run, int event)
{
    Run *found = findRun(engine, boot, run);
    if (found == nullptr) {
        return;
    }
    Instance &instance = *found->instance;
    if (event <= EVENTS) {
        instance.gateway->runData(run, absl::StrCat("id: ", event, "\ndata: x\n\n"));
        at(EVENT_TIME, [this, engine, boot, run, event] { writeEvent(engine, boot, run, event + 1); });
        return;
    }
    const auto isRun = [run](const Run &candidate) {
        return candidate.number == run;
    };
    std::vector<Run> &runs = m_engines[engine]->runs;
    runs.erase(std::remove_if(runs.begin(), runs.end(), isRun), runs.end());
    instance.gateway->runEnd(run, areAnswersCloseDelimited ? gateway::AnswerEnd::ConnectionClosed : gateway::AnswerEnd::Framed);
}

void EngineFleet::truncate(std::size_t engine)
{
    for (const Run &run : std::exchange(m_engines[engine]->runs, {})) {
        if (run.instance->gateway == nullptr) {
            continue;
        }
        if (areAnswersCloseDelimited && run.hasHead) {
            run.instance->gateway->runEnd(run.number, gateway::AnswerEnd::ConnectionClosed);
        } else {
            run.instance->gateway->runFailed(run.number, true, run.hasHead ? gateway::REASON_ANSWER_BROKEN_OFF : gateway::REASON_NO_ANSWER);
        }
    }
}

void EngineFleet::crash(std::size_t index)
{
    Engine &engine = *m_engines[index];
    engine.isUp = false;
    truncate(index);
    at(LAPSE_TIME, [this, key = engine.server.id.value()] { storeRecord(gateway::Topic::BackendServers, key, std::nullopt); });
    at(RESTART_TIME, [this, &engine] {
        ++engine.boot;
        engine.isUp = true;
        engine.server.id = core::BackendServerId(absl::StrCat("e-", m_revision, "-", engine.boot));
        engine.server.startedAtMs = absl::ToUnixMillis(timers.now());
        announce(engine);
    });
}

gateway::HttpHead EngineFleet::headOf(const Engine &engine) const
{
    gateway::HttpHead head{200, {{"receipt", "x"}}};
    if (engine.limit.has_value()) {
        head.headers.push_back({"limit", absl::StrCat(*engine.limit)});
    }
    return head;
}

void EngineFleet::setLimit(std::size_t engine, std::optional<double> perSecond)
{
    m_engines.at(engine)->limit = perSecond;
}

core::BackendServerId EngineFleet::engineId(std::size_t engine) const
{
    return m_engines.at(engine)->server.id;
}

int EngineFleet::mostArrivals(std::size_t engine, absl::Time from, absl::Duration span) const
{
    std::deque<absl::Time> inSpan;
    std::size_t most = 0;
    for (const EngineArrival &arrival : m_arrivals) {
        if (arrival.at < from || arrival.server != m_engines.at(engine)->server.id) {
            continue;
        }
        inSpan.push_back(arrival.at);
        while (arrival.at - inSpan.front() >= span) {
            inSpan.pop_front();
        }
        most = std::max(most, inSpan.size());
    }
    return static_cast<int>(most);
}

void EngineFleet::announce(Engine &engine)
{
    storeRecord(gateway::Topic::BackendServers, engine.server.id.value(), nlohmann::json(engine.server).dump());
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
        if (instance->gateway != nullptr) {
            instance->gateway->topicChanged(topic, {{key, value, m_revision}}, m_revision, timers.now());
        }
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

int EngineFleet::logLines(const std::string &event) const
{
    int count = 0;
    for (const std::unique_ptr<Instance> &instance : m_instances) {
        const std::vector<std::string> &lines = instance->journal.lines;
        count += static_cast<int>(
            std::count_if(lines.begin(), lines.end(), [&event](const std::string &line) { return absl::StrContains(line, "event=" + event + " "); }));
    }
    return count;
}

void EngineFleet::kill(std::size_t index)
{
    Instance &instance = *m_instances[index];
    instance.gateway.reset();
    for (const std::unique_ptr<Engine> &engine : m_engines) {
        const auto isOfInstance = [&instance](const Run &run) {
            return run.instance == &instance;
        };
        engine->runs.erase(std::remove_if(engine->runs.begin(), engine->runs.end(), isOfInstance), engine->runs.end());
    }
    keepLinks();
}

void EngineFleet::start(std::size_t index)
{
    Instance &instance = *m_instances[index];
    gateway::GatewaySettings settings = GatewayFixture::settings();
    settings.self = instance.member;
    settings.regions.clear();
    for (const std::unique_ptr<Engine> &engine : m_engines) {
        settings.regions[engine->server.dataCentre] = core::RegionId(regionName(engine->region));
    }
    settings.flow.seed = m_random();
    instance.gateway
        = std::make_unique<gateway::Gateway>(settings, gateway::GatewayPorts{timers, m_headers, m_records, instance.runs, instance.links, instance.journal});
    instance.gateway->recordToStore().subscribe([this](const gateway::RecordToStore &task) {
        at(REGION_LATENCY, [this, record = task.record] { storeRecord(gateway::Topic::Members, record.key, record.value); });
    });
    for (const gateway::Topic topic : {gateway::Topic::Operator, gateway::Topic::BackendServers, gateway::Topic::Members}) {
        std::vector<gateway::Record> records;
        for (const auto &entry : m_store[topic]) {
            records.push_back(entry.second);
        }
        instance.gateway->topicRead(topic, records, m_revision, timers.now());
    }
}

void EngineFleet::setCutOff(std::size_t instance, bool isCutOff)
{
    m_instances[instance]->isCutOff = isCutOff;
    keepLinks();
}

void EngineFleet::keepLinks()
{
    std::set<std::pair<std::size_t, std::size_t>> wanted;
    for (std::size_t index = 0; index < m_instances.size(); ++index) {
        if (m_instances[index]->gateway == nullptr || m_instances[index]->isCutOff) {
            continue;
        }
        for (const gateway::Member &member : m_instances[index]->gateway->membersToLink()) {
            for (std::size_t other = 0; other < m_instances.size(); ++other) {
                const Instance &peer = *m_instances[other];
                if (peer.member.id == member.id && peer.gateway != nullptr && !peer.isCutOff) {
                    wanted.insert(std::minmax(index, other));
                }
            }
        }
    }
    const std::set<std::pair<std::size_t, std::size_t>> before = std::exchange(m_links, wanted);
    const auto tell = [this](std::size_t index, std::size_t other, bool isUp) {
        gateway::Gateway *process = m_instances[index]->gateway.get();
        if (process != nullptr && isUp) {
            process->linkUp(m_instances[other]->member);
        } else if (process != nullptr) {
            process->linkDown(m_instances[other]->member.id);
        }
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
        if (instance->gateway == nullptr) {
            continue;
        }
        for (const gateway::Topic topic : {gateway::Topic::Operator, gateway::Topic::BackendServers, gateway::Topic::Members}) {
            instance->gateway->topicChanged(topic, {}, m_revision, timers.now());
        }
    }
}

absl::Duration EngineFleet::latency(const Instance &from, const Instance &to) const
{
    return from.region == to.region ? REGION_LATENCY : OTHER_REGION_LATENCY;
}

std::size_t EngineFleet::instanceCount() const
{
    return m_instances.size();
}

std::size_t EngineFleet::engineCount() const
{
    return m_engines.size();
}

bool EngineFleet::isEngineUp(std::size_t engine) const
{
    return m_engines[engine]->isUp;
}

gateway::Gateway &EngineFleet::gateway(std::size_t instance)
{
    return *m_instances.at(instance)->gateway;
}

FakeJournal &EngineFleet::journal(std::size_t instance)
{
    return m_instances.at(instance)->journal;
}

absl::Time EngineFleet::now() const
{
    return timers.now();
}

int EngineFleet::randomInt(int below)
{
    return std::uniform_int_distribution<int>(0, below - 1)(m_random);
}

const std::vector<absl::Time> &EngineFleet::crashes(const std::string &part) const
{
    static const std::vector<absl::Time> none;
    const auto it = m_crashes.find(part);
    return it == m_crashes.end() ? none : it->second;
}

int EngineFleet::arrivals(const std::string &part, absl::Time after) const
{
    return static_cast<int>(std::count_if(m_arrivals.begin(), m_arrivals.end(), [&part, after](const EngineArrival &arrival) {
        return arrival.at > after && std::find(arrival.sharedParts.begin(), arrival.sharedParts.end(), part) != arrival.sharedParts.end();
    }));
}

const std::vector<EngineArrival> &EngineFleet::allArrivals() const
{
    return m_arrivals;
}

const std::vector<FleetRequest> &EngineFleet::requests() const
{
    return m_requests;
}

double EngineFleet::servedShare(absl::Time from, absl::Time to) const
{
    int sent = 0;
    int served = 0;
    for (const FleetRequest &request : m_requests) {
        if (request.at < from || request.at >= to || isCrashing(request.sharedParts)) {
            continue;
        }
        ++sent;
        served += request.isServed() ? 1 : 0;
    }
    return sent == 0 ? 0.0 : static_cast<double>(served) / sent;
}

} // namespace snipeferry::tests
