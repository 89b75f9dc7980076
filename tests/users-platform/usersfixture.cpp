#include "usersfixture.h"

#include <absl/strings/match.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>
#include <absl/time/clock.h>
#include <catch2/catch.hpp>

#include <fstream>

namespace snipeferry::testing {

namespace {

constexpr std::size_t ANSWER_BYTES = std::size_t{1} << 20;
constexpr int EVENTS = 6;
/** Time after which a crashed runner is back. */
constexpr absl::Duration RESTART_TIME = absl::Seconds(1);
constexpr absl::Duration LOOK_AGAIN = absl::Milliseconds(20);
const std::string PROGRAM = std::string(SNIPEFERRY_PROGRAM_DIR) + "/snipeferry-gateway";

std::string attemptOf(const standins::RunSeen &run)
{
    for (const gateway::Header &header : run.request.headers) {
        if (absl::EqualsIgnoreCase(header.name, "Attempt-Id")) {
            return header.value;
        }
    }
    return {};
}

} // namespace

std::int64_t peakMemoryKb(pid_t process)
{
    std::ifstream status(absl::StrCat("/proc/", process, "/status"));
    std::string line;
    std::int64_t kilobytes = 0;
    while (std::getline(status, line)) {
        const std::vector<std::string> words = absl::StrSplit(line, absl::ByAnyChar(" \t"), absl::SkipEmpty());
        if (words.size() > 1 && words[0] == "VmHWM:") {
            REQUIRE(absl::SimpleAtoi(words[1], &kilobytes));
        }
    }
    return kilobytes;
}

UsersFixture::UsersFixture()
    : m_addresses(gatewayAddresses(1))
{
    manifest.tenants = {{"bar", {"k-bar-1", "k-bar-2"}, 0}, {"hotel", {"k-hotel"}, 0}};
    m_thread.call([this] {
        m_store = std::make_unique<standins::UsersStore>(m_thread.loop());
        m_wayToStore = std::make_unique<standins::FaultProxy>(m_thread.loop(), m_store->listen("gw-1"));
        addRunner("i-e1", standins::UsersManifest::ENGINE);
        addRunner("i-e2", standins::UsersManifest::ENGINE);
        addRunner("i-b1", standins::UsersManifest::BOOKING);
        addRunner("i-b2", standins::UsersManifest::BOOKING);
    });
    confirmManifest();
}

UsersFixture::~UsersFixture()
{
    m_gateway.reset();
    m_thread.call([this] {
        m_restarts.clear();
        m_runners.clear();
        m_ways.clear();
        m_wayToStore.reset();
        m_store.reset();
    });
}

void UsersFixture::addRunner(const std::string &id, const std::string &service, const std::string &version)
{
    standins::RunnerSettings settings;
    settings.id = id;
    settings.service = service;
    settings.zone = "north-1";
    settings.version = version;
    std::unique_ptr<standins::UsersRunner> &runner = m_runners[id];
    runner = std::make_unique<standins::UsersRunner>(m_thread.loop(), *m_store, settings, [this](standins::RunSeen &run) { m_runs.push_back(&run); });
    m_ways[id] = std::make_unique<standins::FaultProxy>(m_thread.loop(), runner->address());
    runner->announce(m_ways[id]->address());
}

void UsersFixture::setCrashingPart(const std::vector<std::string> &runners, const std::string &part)
{
    m_thread.call([this, &runners, &part] {
        for (const std::string &id : runners) {
            runner(id).setCrashingPart(part, [this, id] { restartRunner(id); });
        }
    });
}

void UsersFixture::restartRunner(const std::string &id)
{
    way(id).refuse(true);
    way(id).resetAll();
    runner(id).withdraw();
    m_restarts[id] = m_thread.loop().timers().after(RESTART_TIME, [this, id] {
        runner(id).restartAs(absl::StrCat(id, "-", ++m_restartCount), "v1");
        way(id).refuse(false);
        runner(id).announce(way(id).address());
    });
}

net::EventLoop &UsersFixture::loop()
{
    return m_thread.loop();
}

void UsersFixture::startGateway(const std::string &storeAddress, const std::string &moreSettings)
{
    const std::string settings
        = gatewaySettingsText({"gw-1", "north-1", "north"}, m_addresses, storeAddress.empty() ? m_wayToStore->address() : storeAddress, {{"north-1", "north"}});
    const std::string file = m_folder.write("gw-1.yaml", settings + moreSettings);
    m_gateway = std::make_unique<Process>(PROGRAM, std::vector<std::string>{"--settings", file}, m_folder.path("gw-1.log"));
}

bool UsersFixture::isReadyWithin(absl::Duration limit) const
{
    return eventually([this] { return get(m_addresses.readiness, "/api/ready").status == 200; }, limit);
}

bool UsersFixture::servesWithin(absl::Duration limit)
{
    const absl::Time end = absl::Now() + limit;
    if (!isReadyWithin(limit)) {
        return false;
    }
    for (const char *path : {"/plan/x", "/answer/x", "/reserve/x", "/stock/x"}) {
        if (!eventually([&] { return isWhole(path, ask(path)); }, end - absl::Now())) {
            return false;
        }
    }
    return true;
}

UsersAnswer UsersFixture::ask(const std::string &path, const std::string &key, int timeLimitMs, const std::string &promptParts)
{
    UsersAnswer result;
    result.attempt = absl::StrCat("attempt-", ++m_lastAttempt);
    http::ClientRequest request;
    request.address = m_addresses.callers;
    request.method = "POST";
    request.path = path;
    request.body = "what " + result.attempt + " asks";
    request.headers = {{"Host", standins::UsersManifest::HOST}, {"Attempt-Id", result.attempt}, {"Deadline-Ms", absl::StrCat(timeLimitMs)}, {"Api-Key", key}};
    const bool isStream = absl::StartsWith(path, standins::UsersManifest::PLAN) || absl::StartsWith(path, standins::UsersManifest::ANSWER);
    if (isStream) {
        request.headers.push_back({"Model", "m"});
        request.headers.push_back({"Token-Counts", absl::StrCat("100,", EVENTS)});
        request.headers.push_back({"Prompt-Prefix", promptParts});
    }
    result.answer = http::fetch(std::move(request), ANSWER_BYTES);
    return result;
}

bool UsersFixture::isWhole(const std::string &path, const UsersAnswer &answer)
{
    if (answer.answer.status != 200 || answer.answer.result.outcome != http::ClientOutcome::Whole) {
        return false;
    }
    const std::string receipt = http::headerValue(answer.answer.headers, "Server-Seal");
    const bool isOwn = absl::EndsWith(receipt, "." + answer.attempt);
    const bool isStream = absl::StartsWith(path, standins::UsersManifest::PLAN) || absl::StartsWith(path, standins::UsersManifest::ANSWER);
    std::string events;
    for (int number = 1; number <= EVENTS; ++number) {
        events += standins::eventText(number);
    }
    return isOwn && answer.answer.body == (isStream ? events : standins::wholeBodyOf(answer.attempt));
}

std::vector<standins::RunSeen> UsersFixture::allRuns() const
{
    return m_thread.call([this] {
        std::vector<standins::RunSeen> runs;
        for (const standins::RunSeen *run : m_runs) {
            runs.push_back(*run);
        }
        return runs;
    });
}

std::vector<standins::RunSeen> UsersFixture::runsOf(const std::string &attempt) const
{
    std::vector<standins::RunSeen> runs;
    for (const standins::RunSeen &run : allRuns()) {
        if (attemptOf(run) == attempt) {
            runs.push_back(run);
        }
    }
    return runs;
}

standins::UsersStore &UsersFixture::store()
{
    return *m_store;
}

standins::UsersRunner &UsersFixture::runner(const std::string &id)
{
    return *m_runners.at(id);
}

standins::FaultProxy &UsersFixture::way(const std::string &id)
{
    return *m_ways.at(id);
}

standins::FaultProxy &UsersFixture::wayToStore()
{
    return *m_wayToStore;
}

void UsersFixture::confirmManifest()
{
    m_thread.call([this] { m_store->put("op/config", manifest.json()); });
}

http::ClientAnswer UsersFixture::get(const std::string &address, const std::string &path) const
{
    http::ClientRequest request;
    request.address = address;
    request.method = "GET";
    request.path = path;
    request.connectTimeout = absl::Seconds(1);
    request.readTimeout = absl::Seconds(1);
    return http::fetch(std::move(request), ANSWER_BYTES);
}

const GatewayAddresses &UsersFixture::addresses() const
{
    return m_addresses;
}

Process &UsersFixture::gateway()
{
    return *m_gateway;
}

bool UsersFixture::eventually(const std::function<bool()> &condition, absl::Duration limit)
{
    const absl::Time end = absl::Now() + limit;
    while (!condition()) {
        if (absl::Now() > end) {
            return false;
        }
        absl::SleepFor(LOOK_AGAIN);
    }
    return true;
}

} // namespace snipeferry::testing
