#include "stage.h"

#include <absl/strings/str_cat.h>
#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <poll.h>
#include <spawn.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <csignal>
#include <cstdlib>
#include <iostream>
#include <set>

namespace snipeferry::review {

namespace {

constexpr absl::Duration LOOK_PERIOD = absl::Milliseconds(10);

std::string variable(const char *name)
{
    const char *value = std::getenv(name);
    return value == nullptr ? std::string() : std::string(value);
}

} // namespace

Stage::Stage()
    : m_program(variable("REVIEW_PROGRAM")),
      m_folder(variable("REVIEW_TEMP")),
      m_record(variable("REVIEW_RECORD")),
      m_startedAt(m_loop.timers().now()),
      m_store(m_loop)
{
}

Stage::~Stage()
{
    for (Gateway &gateway : m_gateways) {
        if (gateway.process > 0) {
            killGateway(gateway, SIGKILL);
        }
    }
}

bool Stage::hasTrouble() const
{
    return variable("TROUBLE") != "0";
}

net::EventLoop &Stage::loop()
{
    return m_loop;
}

standins::UsersStore &Stage::store()
{
    return m_store;
}

Gateway &Stage::addGateway(const std::string &region)
{
    // Each process has an address of the loopback network to itself, so that its ports are free again after a restart.
    constexpr int NUMBERS = 250;
    const int number = static_cast<int>(m_gateways.size()) + 1;
    const int own = static_cast<int>(getpid());
    const std::string host = absl::StrCat("127.", 1 + (own / NUMBERS) % NUMBERS, ".", 1 + own % NUMBERS, ".", number, ":");
    Gateway gateway;
    gateway.name = absl::StrCat("front-", region, "-", number);
    gateway.region = region;
    gateway.callers = host + "7001";
    gateway.directory = host + "7002";
    gateway.readiness = host + "7003";
    gateway.peers = host + "7004";
    gateway.storeAddress = m_store.listen(gateway.name);
    gateway.settingsFile = absl::StrCat(m_folder, "/", gateway.name, ".yaml");
    gateway.logFile = absl::StrCat(m_folder, "/", gateway.name, ".log");
    m_gateways.push_back(gateway);
    return m_gateways.back();
}

standins::UsersRunner &Stage::addRunner(const standins::RunnerSettings &settings)
{
    m_runners.push_back(std::make_unique<standins::UsersRunner>(m_loop, m_store, settings, [this](standins::RunSeen &run) {
        m_runs.push_back(&run);
        note(absl::StrCat("run      ", soak::headerOf(run, "Attempt-Id"), " at ", run.runner));
    }));
    standins::UsersRunner &runner = *m_runners.back();
    m_ways[&runner] = std::make_unique<standins::FaultProxy>(m_loop, runner.address());
    runner.announce(m_ways[&runner]->address());
    return runner;
}

standins::FaultProxy &Stage::wayTo(const standins::UsersRunner &runner)
{
    return *m_ways.at(&runner);
}

/** As deploy/gateway.yaml.template fills it in, with the bounds of the small installations. */
std::string Stage::settingsText(const Gateway &gateway) const
{
    std::string text = absl::StrCat("instance: ", gateway.name, "\ndata_centre: ", gateway.region, "-1\nregion: ", gateway.region, "\ndata_centres:\n");
    std::set<std::string> regions;
    for (const Gateway &other : m_gateways) {
        if (regions.insert(other.region).second) {
            absl::StrAppend(&text, "  ", other.region, "-1: ", other.region, "\n");
        }
    }
    absl::StrAppend(&text, "listen:\n  callers: \"", gateway.callers, "\"\n  directory: \"", gateway.directory, "\"\n  readiness: \"", gateway.readiness,
        "\"\n  peers: \"", gateway.peers, "\"\n");
    absl::StrAppend(&text, "store:\n  address: \"", gateway.storeAddress, "\"\nmachine:\n  memory_mb: 260\n  cpu_share: 0.25\n");
    absl::StrAppend(&text, "promises:\n  key_withdrawal: 5000ms\n  server_drain: 3000ms\n  server_report_period: 1200ms\n  repeat_share: 0.2\n",
        "  allowance_slack: 140000\n  allowance_excess: 0.1\n  repeat_slack: 56\n  repeat_window: 10s\n  exposure_share: 0.1\n  exposure_slack: 50\n",
        "  rollback: 5000ms\n  cold_excess: 1.5\n  cold_slack: 3\n  stop_grace: 8s\n");
    return text;
}

void Stage::startGateway(Gateway &gateway)
{
    std::ofstream(gateway.settingsFile) << settingsText(gateway);
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, gateway.logFile.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
    posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
    std::string setting = "SNIPEFERRY_CONFIG=" + gateway.settingsFile;
    std::string path = "PATH=" + variable("PATH");
    std::array<char *, 3> environment{setting.data(), path.data(), nullptr};
    std::array<char *, 2> arguments{m_program.data(), nullptr};
    if (posix_spawn(&gateway.process, m_program.c_str(), &actions, nullptr, arguments.data(), environment.data()) != 0) {
        gateway.process = -1;
    }
    posix_spawn_file_actions_destroy(&actions);
    std::ofstream(m_folder + "/pids", std::ios::app) << gateway.process << std::endl;
    note(absl::StrCat("start    ", gateway.name));
}

void Stage::killGateway(Gateway &gateway, int signal)
{
    if (gateway.process <= 0) {
        return;
    }
    kill(gateway.process, signal);
    if (signal == SIGKILL) {
        waitpid(gateway.process, nullptr, 0);
        gateway.process = -1;
    }
    note(absl::StrCat("signal   ", signal, " to ", gateway.name));
}

bool Stage::isRunning(Gateway &gateway)
{
    if (gateway.process > 0 && waitpid(gateway.process, nullptr, WNOHANG) == gateway.process) {
        gateway.process = -1;
    }
    return gateway.process > 0;
}

bool Stage::isReady(const Gateway &gateway) const
{
    const core::Expected<std::pair<std::string, int>> parts = net::splitAddress(gateway.readiness);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(parts->second));
    inet_pton(AF_INET, parts->first.c_str(), &address.sin_addr);
    const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    std::string answer;
    if (connect(descriptor, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) == 0) {
        const std::string text = "GET /api/ready HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n";
        pollfd waiting{descriptor, POLLIN, 0};
        if (write(descriptor, text.data(), text.size()) == static_cast<ssize_t>(text.size()) && poll(&waiting, 1, 200) == 1) {
            std::array<char, 512> bytes{};
            const ssize_t got = read(descriptor, bytes.data(), bytes.size());
            answer.assign(bytes.data(), got > 0 ? static_cast<std::size_t>(got) : 0);
        }
    }
    close(descriptor);
    return answer.rfind("HTTP/1.1 200", 0) == 0;
}

void Stage::run(absl::Duration time)
{
    m_loop.resume();
    const core::Subscription stop = m_loop.timers().after(time, [this] { m_loop.stop(); });
    m_loop.run();
}

bool Stage::runUntil(const std::function<bool()> &condition, absl::Duration limit)
{
    const absl::Time end = m_loop.timers().now() + limit;
    while (!condition()) {
        if (m_loop.timers().now() > end) {
            return false;
        }
        run(LOOK_PERIOD);
    }
    return true;
}

void Stage::send(const Gateway &gateway, soak::RequestSeen request)
{
    m_connections.emplace_back();
    send(gateway, std::move(request), m_connections.back());
}

void Stage::send(const Gateway &gateway, soak::RequestSeen request, soak::KeptConnections &connections)
{
    request.gateway = gateway.name;
    request.sentAt = m_loop.timers().now();
    m_requests.push_back(request);
    soak::RequestSeen &kept = m_requests.back();
    note(absl::StrCat("sent     ", request.attempt, " to ", gateway.name, " ", request.path));
    std::make_shared<soak::Caller>(m_loop, connections, request, absl::InfiniteDuration(), [this, &kept](const soak::RequestSeen &seen) {
        kept = seen;
        note(absl::StrCat("answered ", seen.attempt, " status ", seen.status, seen.isComplete ? " complete" : " incomplete", " receipt '", seen.receipt,
            "' body '", seen.answer.substr(0, 40), "' ", seen.answer.size(), " bytes"));
    })->start(gateway.callers);
}

const std::list<soak::RequestSeen> &Stage::requests() const
{
    return m_requests;
}

const soak::RequestSeen *Stage::request(const std::string &attempt) const
{
    for (const soak::RequestSeen &request : m_requests) {
        if (request.attempt == attempt) {
            return &request;
        }
    }
    return nullptr;
}

const std::vector<standins::RunSeen *> &Stage::runs() const
{
    return m_runs;
}

bool Stage::isAllAnswered() const
{
    for (const soak::RequestSeen &request : m_requests) {
        if (request.endedAt == absl::InfiniteFuture()) {
            return false;
        }
    }
    return true;
}

void Stage::note(const std::string &text)
{
    m_record << absl::StrCat(absl::ToInt64Milliseconds(m_loop.timers().now() - m_startedAt), " ms ", text) << std::endl;
}

int Stage::end(Verdict verdict, const std::string &reason)
{
    static const std::map<Verdict, std::string> NAMES = {{Verdict::Held, "held"}, {Verdict::Broken, "BROKEN"}, {Verdict::CouldNotRun, "could not run"}};
    note(absl::StrCat("verdict  ", NAMES.at(verdict), ": ", reason));
    std::cout << NAMES.at(verdict) << ": " << reason << std::endl;
    return static_cast<int>(verdict);
}

} // namespace snipeferry::review
