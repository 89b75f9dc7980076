#include "world.h"

#include "snipeferry/http/httpclient.h"

#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>

#include <algorithm>
#include <fstream>

namespace snipeferry::soak {

namespace {

using standins::UsersManifest;

const std::string PROGRAM = std::string(SNIPEFERRY_PROGRAM_DIR) + "/snipeferry-gateway";
const char *const REGION_NAMES[World::REGIONS] = {"north", "east", "west"};
constexpr int ENGINES_A_REGION = 2;
constexpr int BOOKINGS_A_REGION = 1;
constexpr absl::Duration START_LIMIT = absl::Seconds(20);
constexpr absl::Duration LOOK_PERIOD = absl::Milliseconds(50);
constexpr absl::Duration REQUEST_PERIOD = absl::Milliseconds(15);
constexpr int EVENTS = 6;
constexpr int STREAM_TOKENS = 106;
constexpr int PLAIN_TOKENS = 200;
/** One caller in this many leaves early. */
constexpr int LEAVER_SHARE = 20;
/** Below what its callers ask for, so that the fleet-wide rate binds. */
constexpr std::int64_t BAR_RATE = 2500;

int regionNumber(const std::string &region)
{
    for (int number = 0; number < World::REGIONS; ++number) {
        if (region == REGION_NAMES[number]) {
            return number;
        }
    }
    return -1;
}

/** A value with one field replaced; left as it is if it cannot be read. */
std::string withAddress(const std::string &value, const char *field, const std::string &address)
{
    nlohmann::json fields = nlohmann::json::parse(value, nullptr, false);
    if (!fields.is_object()) {
        return value;
    }
    fields[field] = address;
    return fields.dump();
}

} // namespace

World::World(std::uint64_t seed, const std::string &folder)
    : m_random(seed),
      m_folder(folder),
      m_store(m_loop)
{
    m_store.setView([this](const std::string &reader, const std::string &key, const std::string &value) { return viewOf(reader, key, value); });

    // Gateways, and their ways to the store and to each other.
    for (int index = 0; index < REGIONS * GATEWAYS_A_REGION; ++index) {
        const std::string region = REGION_NAMES[index / GATEWAYS_A_REGION];
        Gateway gateway;
        gateway.place = {absl::StrCat("gw-", index + 1), region + "-1", region};
        gateway.addresses = testing::gatewayAddresses(index + 1);
        gateway.settingsFile = absl::StrCat(m_folder, "/", gateway.place.instance, ".yaml");
        gateway.logFile = absl::StrCat(m_folder, "/", gateway.place.instance, ".log");
        m_waysToStore.push_back(std::make_unique<standins::FaultProxy>(m_loop, m_store.listen(gateway.place.instance)));
        for (int from = 0; from < REGIONS; ++from) {
            if (from != index / GATEWAYS_A_REGION) {
                m_waysToPeers[{from, static_cast<std::size_t>(index)}] = std::make_unique<standins::FaultProxy>(m_loop, gateway.addresses.peers);
            }
        }
        std::map<std::string, std::string> dataCentres;
        for (const char *name : REGION_NAMES) {
            dataCentres[absl::StrCat(name, "-1")] = name;
        }
        std::ofstream(gateway.settingsFile) << testing::gatewaySettingsText(gateway.place, gateway.addresses, m_waysToStore.back()->address(), dataCentres);
        m_gateways.push_back(std::move(gateway));
    }

    // Runners, each behind a way of its own. Records go from instance to instance, so all see the same addresses.
    for (const char *region : REGION_NAMES) {
        for (int i = 0; i < ENGINES_A_REGION + BOOKINGS_A_REGION; ++i) {
            standins::RunnerSettings settings;
            settings.id = absl::StrCat("i-", region, "-", i);
            settings.service = i < ENGINES_A_REGION ? UsersManifest::ENGINE : UsersManifest::BOOKING;
            settings.zone = absl::StrCat(region, "-1");
            m_runners.push_back(std::make_unique<standins::UsersRunner>(m_loop, m_store, settings, [this](standins::RunSeen &run) { m_runs.push_back(&run); }));
            m_waysToRunners.push_back(std::make_unique<standins::FaultProxy>(m_loop, m_runners.back()->address()));
            announce(m_runners.size() - 1);
        }
    }
    m_manifest.tenants = {{"bar", {"k-bar-1", "k-bar-2"}, BAR_RATE}, {"hotel", {"k-hotel"}, 0}};
    m_manifest.version = 0;
    confirmManifest();
}

World::~World()
{
    // Processes first, so that nothing calls while the rest goes.
    m_traffic.cancel();
    m_check.cancel();
    for (Gateway &gateway : m_gateways) {
        gateway.process.reset();
    }
}

void World::startGateway(std::size_t index)
{
    Gateway &gateway = m_gateways[index];
    gateway.kept.clear();
    // The addresses are free only when the process before has ended.
    gateway.process.reset();
    gateway.process = std::make_unique<testing::Process>(PROGRAM, std::vector<std::string>{"--settings", gateway.settingsFile}, gateway.logFile);
    gateway.shouldRun = true;
}

bool World::start()
{
    for (std::size_t index = 0; index < m_gateways.size(); ++index) {
        startGateway(index);
    }
    const absl::Time end = m_loop.timers().now() + START_LIMIT;
    while (!isEachReady()) {
        if (m_loop.timers().now() > end) {
            return false;
        }
        run(LOOK_PERIOD);
    }
    m_check = m_loop.timers().every(LOOK_PERIOD, [this] { checkProcesses(); });
    return true;
}

/** Asks all readiness addresses; the answers need nothing of this loop. */
bool World::isEachReady()
{
    for (const Gateway &gateway : m_gateways) {
        http::ClientRequest request;
        request.address = gateway.addresses.readiness;
        request.method = "GET";
        request.path = "/api/ready";
        request.readTimeout = absl::Seconds(1);
        if (http::fetch(request, 1024).status != 200) {
            return false;
        }
    }
    return true;
}

void World::setTraffic(bool isOn)
{
    m_traffic.cancel();
    if (isOn) {
        m_traffic = m_loop.timers().every(REQUEST_PERIOD, [this] { ask(); });
    }
}

void World::run(absl::Duration time)
{
    m_loop.resume();
    const core::Subscription stop = m_loop.timers().after(time, [this] { m_loop.stop(); });
    m_loop.run();
}

void World::ask()
{
    static const char *const PATHS[] = {UsersManifest::PLAN, UsersManifest::ANSWER, UsersManifest::RESERVE, UsersManifest::STOCK};
    Gateway &gateway = m_gateways[m_random() % m_gateways.size()];
    RequestSeen request;
    request.attempt = absl::StrCat("a", ++m_lastAttempt);
    request.gateway = gateway.place.instance;
    request.path = absl::StrCat(PATHS[m_random() % 4], m_lastAttempt);
    request.body = absl::StrCat("question ", m_lastAttempt);
    const bool isBars = m_random() % 2 == 0;
    request.tenant = isBars ? "bar" : "hotel";
    request.key = !isBars ? "k-hotel" : m_random() % 4 == 0 ? "k-bar-2" : "k-bar-1";
    const bool isStream = absl::StartsWith(request.path, UsersManifest::PLAN) || absl::StartsWith(request.path, UsersManifest::ANSWER);
    request.events = isStream ? EVENTS : 0;
    request.tokens = isStream ? STREAM_TOKENS : PLAIN_TOKENS;
    request.timeLimit = absl::Seconds(isStream ? 4 : 2);
    const absl::Duration leaveAfter
        = m_random() % LEAVER_SHARE == 0 ? absl::Milliseconds(static_cast<std::int64_t>(m_random() % 200)) : absl::InfiniteDuration();
    // An open request is in the history too, since it may run.
    request.sentAt = m_loop.timers().now();
    const std::size_t number = m_requests.size();
    m_requests.push_back(request);
    std::make_shared<Caller>(m_loop, gateway.kept, request, leaveAfter, [this, number](const RequestSeen &seen) {
        m_requests[number] = seen;
    })->start(gateway.addresses.callers);
}

void World::checkProcesses()
{
    for (std::size_t index = 0; index < m_gateways.size(); ++index) {
        Gateway &gateway = m_gateways[index];
        if (gateway.shouldRun && !gateway.process->isRunning()) {
            m_ownEnds.push_back(absl::StrCat(gateway.place.instance, " ended by itself with ", gateway.process->wait(absl::Seconds(1))));
            startGateway(index);
        }
    }
}

std::string World::viewOf(const std::string &reader, const std::string &key, const std::string &value) const
{
    const auto gateway = std::find_if(m_gateways.begin(), m_gateways.end(), [&](const Gateway &one) { return one.place.instance == reader; });
    if (gateway == m_gateways.end()) {
        return value;
    }
    const int region = regionNumber(gateway->place.region);
    for (std::size_t peer = 0; peer < m_gateways.size(); ++peer) {
        const auto way = m_waysToPeers.find({region, peer});
        if (absl::EndsWith(key, "/" + m_gateways[peer].place.instance) && way != m_waysToPeers.end()) {
            return withAddress(value, "peerAddress", way->second->address());
        }
    }
    return value;
}

void World::announce(std::size_t runner)
{
    m_runners[runner]->announce(m_waysToRunners[runner]->address());
}

void World::confirmManifest()
{
    m_manifest.version += 1 + static_cast<std::int64_t>(m_random() % 3);
    m_store.put("op/config", m_manifest.json());
}

std::list<Disturbance>::iterator World::disturb(const std::string &gateway)
{
    m_disturbances.push_back({gateway, m_loop.timers().now(), absl::InfiniteFuture()});
    return std::prev(m_disturbances.end());
}

History World::history()
{
    History history;
    history.requests = m_requests;
    for (const standins::RunSeen *run : m_runs) {
        history.runs.push_back(*run);
    }
    history.disturbances.assign(m_disturbances.begin(), m_disturbances.end());
    history.keysTakenAway = keysTakenAway;
    history.routesTakenAway = routesTakenAway;
    history.runnersDraining = runnersDraining;
    history.rates = {{"bar", static_cast<double>(BAR_RATE)}};
    history.ownEnds = m_ownEnds;
    history.faultsOverAt = faultsOverAt;
    history.endedAt = m_loop.timers().now();
    return history;
}

net::EventLoop &World::loop()
{
    return m_loop;
}

standins::UsersStore &World::store()
{
    return m_store;
}

std::vector<Gateway> &World::gateways()
{
    return m_gateways;
}

std::vector<std::unique_ptr<standins::UsersRunner>> &World::runners()
{
    return m_runners;
}

standins::FaultProxy &World::wayToRunner(std::size_t runner)
{
    return *m_waysToRunners[runner];
}

standins::FaultProxy &World::wayToStore(std::size_t gateway)
{
    return *m_waysToStore[gateway];
}

standins::FaultProxy *World::wayToPeer(int fromRegion, std::size_t gateway)
{
    const auto it = m_waysToPeers.find({fromRegion, gateway});
    return it == m_waysToPeers.end() ? nullptr : it->second.get();
}

standins::UsersManifest &World::manifest()
{
    return m_manifest;
}

} // namespace snipeferry::soak
