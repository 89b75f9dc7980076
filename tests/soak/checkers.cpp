#include "checkers.h"

#include "users/usersmanifest.h"

#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>

#include <algorithm>

namespace snipeferry::soak {

namespace {

using standins::RunSeen;
using standins::UsersManifest;

// Bounds of the users' pages, as in the settings that the soak's gateways get.
constexpr absl::Duration CONTACT_TIME = absl::Seconds(5);
constexpr absl::Duration KEY_WITHDRAWAL = absl::Seconds(5);
constexpr absl::Duration CONFIG_APPLY = absl::Seconds(3);
constexpr absl::Duration DRAIN_TIME = absl::Seconds(3);
constexpr absl::Duration RECOVERY_TIME = absl::Seconds(12);
constexpr absl::Duration AFTER_LEAVING = absl::Milliseconds(500);
constexpr absl::Duration QUOTA_WINDOW = absl::Seconds(8);
constexpr double QUOTA_EXCESS = 0.1;
constexpr double QUOTA_SLACK = 2000;
constexpr absl::Duration REPEAT_WINDOW = absl::Seconds(10);
constexpr double REPEAT_SHARE = 0.2;
constexpr double REPEAT_SLACK = 56;
/** The pages excuse this many requests that reach more runners than they may. */
constexpr std::size_t FORGIVEN = 3;
/** Of what is asked after the time to recover, this much must be served; the pages ask for a quarter. */
constexpr double RECOVERED_SHARE = 0.9;

using Lines = std::vector<std::string>;

bool mayRepeat(const std::string &path)
{
    return absl::StartsWith(path, UsersManifest::STOCK) || absl::StartsWith(path, UsersManifest::PLAN);
}

int mostRunners(const std::string &path)
{
    return absl::StartsWith(path, UsersManifest::STOCK) ? 3 : 2;
}

bool promisesNotRun(int status)
{
    return status == 429 || status == 503 || status == 408 || status == 421;
}

std::map<std::string, const RequestSeen *> byAttempt(const History &history)
{
    std::map<std::string, const RequestSeen *> found;
    for (const RequestSeen &request : history.requests) {
        found[request.attempt] = &request;
    }
    return found;
}

std::map<std::string, std::vector<const RunSeen *>> runsByAttempt(const History &history)
{
    std::map<std::string, std::vector<const RunSeen *>> found;
    for (const RunSeen &run : history.runs) {
        found[headerOf(run, "Attempt-Id")].push_back(&run);
    }
    return found;
}

std::string expectedAnswer(const RequestSeen &request)
{
    if (request.events == 0) {
        return standins::wholeBodyOf(request.attempt);
    }
    std::string events;
    for (int number = 1; number <= request.events; ++number) {
        events += standins::eventText(number);
    }
    return events;
}

/** A success is the runner's own whole answer to that request; what breaks off is a part of it. */
Lines answersAreOwn(const History &history)
{
    Lines lines;
    for (const RequestSeen &request : history.requests) {
        if (request.status < 200 || request.status >= 300) {
            continue;
        }
        const std::string expected = expectedAnswer(request);
        const bool isOwn = absl::EndsWith(request.receipt, "." + request.attempt);
        const bool isRight = request.isComplete ? request.answer == expected : absl::StartsWith(expected, request.answer);
        if (!isOwn || !isRight) {
            lines.push_back(absl::StrCat(request.attempt, " ", request.path, request.isComplete ? " complete" : " broken off", " with receipt ",
                request.receipt, " and ", request.answer.size(), " bytes, expected ", expected.size()));
        }
    }
    return lines;
}

/** Runners run only what callers sent, as they sent it, for the tenant that holds the key. */
Lines runsWereAsked(const History &history)
{
    const std::map<std::string, const RequestSeen *> requests = byAttempt(history);
    Lines lines;
    for (const RunSeen &run : history.runs) {
        const auto it = requests.find(headerOf(run, "Attempt-Id"));
        if (it == requests.end()) {
            lines.push_back(absl::StrCat("nobody sent ", headerOf(run, "Attempt-Id")));
            continue;
        }
        const RequestSeen &request = *it->second;
        const bool isSame = run.request.method == "POST" && run.request.target == request.path && run.request.body == request.body;
        const bool isTenants = headerOf(run, "Tenant") == request.tenant;
        bool isClean = headerOf(run, "Api-Key").empty();
        for (const char *name : {"Hold", "Pin-Ms", "Kv-Backup", "Kv-From"}) {
            isClean = isClean && headerOf(run, name).empty();
        }
        if (!isSame || !isTenants || !isClean) {
            lines.push_back(absl::StrCat(request.attempt, " ran as ", run.request.method, " ", run.request.target, " for ", headerOf(run, "Tenant"),
                isClean ? "" : ", with headers that are not passed on"));
        }
    }
    return lines;
}

Lines ranOnce(const History &history)
{
    const std::map<std::string, const RequestSeen *> requests = byAttempt(history);
    Lines lines;
    for (const auto &entry : runsByAttempt(history)) {
        const auto it = requests.find(entry.first);
        if (it != requests.end() && !mayRepeat(it->second->path) && entry.second.size() > 1) {
            lines.push_back(absl::StrCat(entry.first, " ", it->second->path, " ran ", entry.second.size(), " times"));
        }
    }
    return lines;
}

Lines refusalsAreTrue(const History &history)
{
    const std::map<std::string, std::vector<const RunSeen *>> runs = runsByAttempt(history);
    Lines lines;
    for (const RequestSeen &request : history.requests) {
        if (promisesNotRun(request.status) && !mayRepeat(request.path) && runs.count(request.attempt) > 0) {
            lines.push_back(absl::StrCat(request.attempt, " was answered ", request.status, " and ran"));
        }
    }
    return lines;
}

Lines attemptsAreBounded(const History &history)
{
    const std::map<std::string, const RequestSeen *> requests = byAttempt(history);
    Lines lines;
    for (const auto &entry : runsByAttempt(history)) {
        const auto it = requests.find(entry.first);
        std::set<std::string> runners;
        for (const RunSeen *run : entry.second) {
            runners.insert(run->runner);
        }
        if (it != requests.end() && static_cast<int>(runners.size()) > mostRunners(it->second->path)) {
            lines.push_back(absl::StrCat(entry.first, " ran on ", runners.size(), " runners"));
        }
    }
    return lines.size() > FORGIVEN ? lines : Lines();
}

Lines repeatsAreBounded(const History &history)
{
    Lines lines;
    std::map<std::string, std::vector<std::pair<absl::Time, bool>>> arrivals;
    for (const auto &entry : runsByAttempt(history)) {
        for (std::size_t i = 0; i < entry.second.size(); ++i) {
            arrivals[entry.second[i]->service].push_back({entry.second[i]->at, i > 0});
        }
    }
    for (auto &service : arrivals) {
        std::sort(service.second.begin(), service.second.end());
        for (std::size_t first = 0; first < service.second.size(); ++first) {
            const absl::Time start = service.second[first].first;
            double repeats = 0;
            double firsts = 0;
            for (std::size_t i = first; i < service.second.size() && service.second[i].first < start + REPEAT_WINDOW; ++i) {
                (service.second[i].second ? repeats : firsts) += 1;
            }
            if (repeats > REPEAT_SHARE * firsts + REPEAT_SLACK) {
                lines.push_back(absl::StrCat(service.first, ": ", repeats, " repeats beside ", firsts, " requests in a window"));
                break;
            }
        }
    }
    return lines;
}

/** Holds for all processes, in touch or not. */
Lines withdrawnKeysRunNothing(const History &history)
{
    const std::map<std::string, std::vector<const RunSeen *>> runs = runsByAttempt(history);
    Lines lines;
    for (const Confirmation &key : history.keysTakenAway) {
        for (const RequestSeen &request : history.requests) {
            const bool isLate = request.key == key.name && request.sentAt > key.at + KEY_WITHDRAWAL && request.sentAt < key.until;
            if (isLate && runs.count(request.attempt) > 0) {
                lines.push_back(absl::StrCat(request.attempt, " at ", request.gateway, " ran with a key that was taken away ",
                    absl::FormatDuration(request.sentAt - key.at), " before"));
            }
        }
    }
    return lines;
}

Lines withdrawnRoutesRunNothing(const History &history)
{
    const std::map<std::string, std::vector<const RunSeen *>> runs = runsByAttempt(history);
    Lines lines;
    for (const Confirmation &route : history.routesTakenAway) {
        for (const RequestSeen &request : history.requests) {
            const bool isLate = absl::StartsWith(request.path, route.name) && request.sentAt > route.at + CONFIG_APPLY && request.sentAt < route.until;
            if (isLate && runs.count(request.attempt) > 0 && history.isInTouch(request.gateway, request.sentAt)) {
                lines.push_back(absl::StrCat(request.attempt, " at ", request.gateway, " ran on a route that was taken away ",
                    absl::FormatDuration(request.sentAt - route.at), " before"));
            }
        }
    }
    return lines;
}

Lines allowancesHold(const History &history)
{
    const std::map<std::string, const RequestSeen *> requests = byAttempt(history);
    std::map<std::string, std::vector<std::pair<const RequestSeen *, absl::Time>>> byTenant;
    for (const RunSeen &run : history.runs) {
        const auto it = requests.find(headerOf(run, "Attempt-Id"));
        if (it != requests.end()) {
            byTenant[it->second->tenant].push_back({it->second, run.at});
        }
    }
    Lines lines;
    for (const auto &rate : history.rates) {
        const double allowed = rate.second * (absl::ToDoubleSeconds(QUOTA_WINDOW) + 1) * (1 + QUOTA_EXCESS) + QUOTA_SLACK;
        double most = 0;
        std::string place;
        for (const auto &first : byTenant[rate.first]) {
            const absl::Time start = first.first->sentAt;
            double tokens = 0;
            std::set<std::string> counted;
            std::map<std::string, int> byGateway;
            for (const auto &other : byTenant[rate.first]) {
                const bool isInside = other.first->sentAt >= start && other.second < start + QUOTA_WINDOW;
                if (isInside && counted.insert(other.first->attempt).second) {
                    tokens += other.first->tokens;
                    byGateway[other.first->gateway] += other.first->tokens;
                }
            }
            if (tokens > most) {
                most = tokens;
                place = absl::StrCat("from ", absl::FormatDuration(history.faultsOverAt - start), " before the end of the faults on");
                for (const auto &entry : byGateway) {
                    absl::StrAppend(&place, " ", entry.first, "=", entry.second);
                }
            }
        }
        if (most > allowed) {
            lines.push_back(absl::StrCat(rate.first, " ran ", most, " tokens in a window where ", allowed, " are allowed ", place));
        }
    }
    return lines;
}

Lines drainingRunnersGetNothing(const History &history)
{
    const std::map<std::string, const RequestSeen *> requests = byAttempt(history);
    Lines lines;
    for (const Confirmation &drain : history.runnersDraining) {
        for (const RunSeen &run : history.runs) {
            const auto it = requests.find(headerOf(run, "Attempt-Id"));
            const bool isLate = run.runner == drain.name && run.at > drain.at + DRAIN_TIME;
            // Any process may have sent it on, so all of them count.
            if (isLate && it != requests.end() && history.isInTouch("", run.at)) {
                lines.push_back(absl::StrCat(it->first, " reached ", drain.name, " ", absl::FormatDuration(run.at - drain.at), " after it drained"));
            }
        }
    }
    return lines;
}

Lines leaversWorkEnds(const History &history)
{
    const std::map<std::string, const RequestSeen *> requests = byAttempt(history);
    Lines lines;
    for (const RunSeen &run : history.runs) {
        const auto it = requests.find(headerOf(run, "Attempt-Id"));
        if (it == requests.end() || !it->second->hasLeft) {
            continue;
        }
        const RequestSeen &request = *it->second;
        const bool isLateStart = run.at > request.endedAt + AFTER_LEAVING;
        const bool isLateEnd = mayRepeat(request.path) && run.endedAt > request.endedAt + AFTER_LEAVING;
        if ((isLateStart || isLateEnd) && history.isInTouch("", request.endedAt + AFTER_LEAVING)) {
            lines.push_back(absl::StrCat(request.attempt, isLateStart ? " was started" : " was at work", " long after its caller left"));
        }
    }
    // The pages excuse a few starts, and a quarter of the work.
    return lines.size() > FORGIVEN ? lines : Lines();
}

Lines callersGetAnEnd(const History &history)
{
    Lines lines;
    for (const RequestSeen &request : history.requests) {
        if (request.isOutOfTime && history.isInTouch(request.gateway, request.endedAt)) {
            lines.push_back(absl::StrCat(request.attempt, " ", request.path, " at ", request.gateway, " got no end within its time"));
        }
    }
    return lines;
}

Lines servesAgain(const History &history)
{
    double asked = 0;
    double served = 0;
    std::map<std::string, int> endings;
    for (const RequestSeen &request : history.requests) {
        // What lies beyond a tenant's rate is not owed.
        if (request.sentAt < history.faultsOverAt + RECOVERY_TIME || request.hasLeft || request.status == 429 || request.endedAt > history.endedAt) {
            continue;
        }
        asked += 1;
        const bool isServed = request.status == 200 && request.isComplete;
        served += isServed ? 1 : 0;
        endings[isServed ? "served" : absl::StrCat("status ", request.status, request.isComplete ? "" : " broken off")] += 1;
    }
    if (asked > 0 && served >= asked * RECOVERED_SHARE) {
        return {};
    }
    std::string text = absl::StrCat(served, " of ", asked, " served after the time to recover:");
    for (const auto &ending : endings) {
        absl::StrAppend(&text, " ", ending.first, "=", ending.second);
    }
    return {text};
}

Lines processesStay(const History &history)
{
    return history.ownEnds;
}

} // namespace

bool History::isInTouch(const std::string &gateway, absl::Time at) const
{
    return std::none_of(disturbances.begin(), disturbances.end(), [&](const Disturbance &disturbance) {
        const bool concerns = disturbance.gateway.empty() || gateway.empty() || disturbance.gateway == gateway;
        return concerns && disturbance.from <= at && disturbance.until + CONTACT_TIME > at;
    });
}

std::string headerOf(const RunSeen &run, const char *name)
{
    for (const gateway::Header &header : run.request.headers) {
        if (absl::EqualsIgnoreCase(header.name, name)) {
            return header.value;
        }
    }
    return {};
}

const std::vector<Checker> &checkers()
{
    static const std::vector<Checker> ALL = {
        {"a success is the runner's own whole answer to that request", &answersAreOwn},
        {"runners run only what callers sent, for the tenant that holds the key", &runsWereAsked},
        {"what may run once at most does", &ranOnce},
        {"a refusal that promises 'not run' is true", &refusalsAreTrue},
        {"a request reaches no more runners than its route allows", &attemptsAreBounded},
        {"repeats stay within the budget of all instances", &repeatsAreBounded},
        {"a key that was taken away runs nothing", &withdrawnKeysRunNothing},
        {"a route that was taken away runs nothing", &withdrawnRoutesRunNothing},
        {"a tenant's rate holds over all instances", &allowancesHold},
        {"a draining runner gets nothing more", &drainingRunnersGetNothing},
        {"work for callers who left ends", &leaversWorkEnds},
        {"a caller gets an end within its time", &callersGetAnEnd},
        {"after the faults the requests are served again", &servesAgain},
        {"processes end only when they are told", &processesStay},
    };
    return ALL;
}

} // namespace snipeferry::soak
