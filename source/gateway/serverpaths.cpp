#include "snipeferry/gateway/serverpaths.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <utility>

namespace snipeferry::gateway {

namespace {

/** Failures within this time count together. */
constexpr absl::Duration FAILURE_WINDOW = absl::Seconds(2);
/** Backend servers that have to be unreachable before the paths are checked; all of them where a service has fewer. */
constexpr std::size_t SUSPICIOUS_FAILURES = 3;
/** Checks that decide a suspicion. */
constexpr std::size_t DECIDING_CHECKS = 3;
/** Interval between two suspicions of one service. */
constexpr absl::Duration SUSPICION_INTERVAL = absl::Milliseconds(500);
/** Interval between two checks of a service that this instance is cut off from. */
constexpr absl::Duration CHECK_PERIOD = absl::Milliseconds(250);
/** Checks that have to reach a backend server before the paths count as back. */
constexpr int REQUIRED_REACHED = 2;
/** Time in which the share of the requests that are sent to the backend servers again grows from none to all. */
constexpr absl::Duration RAMP_TIME = absl::Seconds(1);
/** Time for which the last answer of a backend server is remembered. */
constexpr absl::Duration ANSWER_MEMORY = absl::Seconds(10);
/** Time after a cut in which one failure is enough for a suspicion. */
constexpr absl::Duration RELAPSE_TIME = absl::Seconds(5);

/** Whether a run may have failed for this reason because the path to the backend server is lost. */
bool isPathFailure(const std::string &reason)
{
    return reason == REASON_CONNECT_REFUSED || reason == REASON_CONNECT_TIMEOUT || reason == REASON_CONNECT_FAILED || reason == REASON_CONNECTION_SILENT
        || reason == REASON_NO_ANSWER || reason == REASON_SILENT;
}

} // namespace

ServerPaths::ServerPaths(std::uint64_t seed, core::TimerService &timers, RunNumbers &runNumbers, RunTransport &runs, Journal &journal, ServersOfService servers,
    std::function<void(const core::ServiceId &)> changed)
    : m_timers(timers),
      m_runNumbers(runNumbers),
      m_runs(runs),
      m_journal(journal),
      m_servers(std::move(servers)),
      m_changed(std::move(changed)),
      m_random(seed),
      m_checkTimer(timers.every(CHECK_PERIOD, [this] { checkLost(); }))
{
}

std::size_t ServerPaths::suspicionThreshold(const Paths &paths, std::size_t serverCount) const
{
    const bool mayRelapse = m_timers.now() - paths.regainedAt < RELAPSE_TIME;
    return mayRelapse ? 1 : std::min(SUSPICIOUS_FAILURES, serverCount);
}

void ServerPaths::noteFailedRun(const BackendServer &server, const std::string &reason)
{
    if (!isPathFailure(reason)) {
        return;
    }
    const absl::Time now = m_timers.now();
    Paths &paths = m_paths[server.service];
    paths.failures[server.id] = now;
    for (auto it = paths.failures.begin(); it != paths.failures.end();) {
        it = now - it->second > FAILURE_WINDOW ? paths.failures.erase(it) : std::next(it);
    }
    if (paths.state == State::Reachable && now - paths.checkedAt >= SUSPICION_INTERVAL) {
        suspect(server.service, paths);
    }
}

void ServerPaths::noteAnswer(const core::ServiceId &service, const core::BackendServerId &server)
{
    m_paths[service].answers[server] = m_timers.now();
}

void ServerPaths::suspect(const core::ServiceId &service, Paths &paths)
{
    std::vector<BackendServer> servers = m_servers(service);
    if (servers.empty() || paths.failures.size() < suspicionThreshold(paths, servers.size())) {
        return;
    }
    // Those that answered last are the likeliest to be well.
    const auto answeredAt = [&paths](const BackendServer &server) {
        const auto answer = paths.answers.find(server.id);
        return answer == paths.answers.end() ? absl::InfinitePast() : answer->second;
    };
    std::stable_sort(
        servers.begin(), servers.end(), [&answeredAt](const BackendServer &left, const BackendServer &right) { return answeredAt(left) > answeredAt(right); });
    // A data centre without power is no lost path, so that they are not all of one.
    const auto isElsewhere = [&servers](const BackendServer &server) {
        return server.dataCentre != servers.front().dataCentre;
    };
    if (servers.size() > DECIDING_CHECKS) {
        const auto elsewhere = std::find_if(servers.begin(), servers.end(), isElsewhere);
        if (elsewhere != servers.end() && elsewhere - servers.begin() >= static_cast<std::ptrdiff_t>(DECIDING_CHECKS)) {
            std::iter_swap(servers.begin() + static_cast<std::ptrdiff_t>(DECIDING_CHECKS) - 1, elsewhere);
        }
    }
    servers.resize(std::min(servers.size(), DECIDING_CHECKS));
    paths.state = State::Suspected;
    paths.since = m_timers.now();
    paths.checkedAt = paths.since;
    m_journal.log(core::LogEvent{"paths_suspected", {}}
                      .with("service", service.value())
                      .with("unreached", absl::StrCat(paths.failures.size()))
                      .with("checks", absl::StrCat(servers.size())));
    for (const BackendServer &server : servers) {
        check(service, paths, server);
    }
}

void ServerPaths::check(const core::ServiceId &service, Paths &paths, const BackendServer &server)
{
    const Number run = m_runNumbers.next();
    m_checks[run] = service;
    ++paths.openChecks;
    m_journal.count("path_checks_total", service.value(), 1);
    m_runs.checkPath(run, server);
}

void ServerPaths::checkEnded(Number run, bool isReached)
{
    const auto ended = m_checks.find(run);
    if (ended == m_checks.end()) {
        return;
    }
    const core::ServiceId service = ended->second;
    m_checks.erase(ended);
    Paths &paths = m_paths[service];
    --paths.openChecks;
    if (paths.state == State::Suspected && isReached) {
        paths.state = State::Reachable;
        paths.failures.clear();
        m_journal.log(core::LogEvent{"paths_sound", {}}.with("service", service.value()));
    } else if (paths.state == State::Suspected && paths.openChecks == 0) {
        setCutOff(service, paths);
    } else if (paths.state == State::CutOff && isReached) {
        // Backend servers that are gone for good do not keep the others from being used.
        if (++paths.reachedChecks >= REQUIRED_REACHED) {
            setRegained(service, paths);
        }
    }
}

void ServerPaths::setCutOff(const core::ServiceId &service, Paths &paths)
{
    const absl::Time now = m_timers.now();
    paths.state = State::CutOff;
    paths.reachedChecks = 0;
    m_journal.log(core::LogEvent{"paths_lost", {}}
                      .with("service", service.value())
                      .with("unreached", absl::StrCat(paths.failures.size()))
                      .with("checked_ms", absl::StrCat(absl::ToInt64Milliseconds(now - paths.since))));
    m_journal.count("paths_lost_total", service.value(), 1);
    paths.since = now;
    m_changed(service);
}

void ServerPaths::setRegained(const core::ServiceId &service, Paths &paths)
{
    const absl::Time now = m_timers.now();
    paths.state = State::Reachable;
    paths.regainedAt = now;
    paths.failures.clear();
    m_journal.log(
        core::LogEvent{"paths_regained", {}}.with("service", service.value()).with("lost_ms", absl::StrCat(absl::ToInt64Milliseconds(now - paths.since))));
    paths.since = now;
    m_changed(service);
}

void ServerPaths::checkLost()
{
    const absl::Time now = m_timers.now();
    for (auto &entry : m_paths) {
        Paths &paths = entry.second;
        for (auto it = paths.answers.begin(); it != paths.answers.end();) {
            it = now - it->second > ANSWER_MEMORY ? paths.answers.erase(it) : std::next(it);
        }
        if (paths.state != State::CutOff || paths.openChecks > 0) {
            continue;
        }
        const std::vector<BackendServer> servers = m_servers(entry.first);
        if (servers.empty()) {
            // Where nothing accepts requests there is no path to lose.
            setRegained(entry.first, paths);
        } else {
            check(entry.first, paths, servers[paths.nextChecked++ % servers.size()]);
        }
    }
}

bool ServerPaths::isCutOff(const core::ServiceId &service) const
{
    const auto it = m_paths.find(service);
    return it != m_paths.end() && it->second.state == State::CutOff;
}

bool ServerPaths::isInDoubt(const core::ServiceId &service) const
{
    const auto it = m_paths.find(service);
    return it != m_paths.end() && it->second.state != State::Reachable;
}

bool ServerPaths::mayDispatch(const core::ServiceId &service)
{
    const auto it = m_paths.find(service);
    if (it == m_paths.end()) {
        return true;
    }
    const absl::Duration sinceReturn = m_timers.now() - it->second.regainedAt;
    if (it->second.state == State::CutOff || sinceReturn >= RAMP_TIME) {
        return it->second.state != State::CutOff;
    }
    return std::uniform_real_distribution<double>(0, 1)(m_random) < absl::FDivDuration(sinceReturn, RAMP_TIME);
}

std::vector<core::ServiceId> ServerPaths::lostServices() const
{
    std::vector<core::ServiceId> lost;
    for (const auto &entry : m_paths) {
        if (entry.second.state == State::CutOff) {
            lost.push_back(entry.first);
        }
    }
    return lost;
}

bool ServerPaths::ownsRun(Number run) const
{
    return m_checks.count(run) > 0;
}

void ServerPaths::runHead(Number /*run*/, const HttpHead & /*head*/)
{
    // A check sends no request.
}

void ServerPaths::runData(Number /*run*/, const std::string & /*data*/)
{
    // A check sends no request.
}

void ServerPaths::runEnd(Number run, AnswerEnd /*end*/)
{
    checkEnded(run, true);
}

void ServerPaths::runFailed(Number run, bool /*mayHaveRun*/, const std::string & /*reason*/)
{
    checkEnded(run, false);
}

} // namespace snipeferry::gateway
