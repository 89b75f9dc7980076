#include "snipeferry/net/httpserver.h"
#include "stage.h"

#include <absl/strings/match.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>

#include <algorithm>
#include <csignal>

/**
 * Orders that north passes on to east, whose runner is full: the last one waits there and is given up unrun when its time is over. North's one process
 * is killed and started again meanwhile. An order that it passes on after that must run once at most.
 */
namespace {

using namespace snipeferry;

constexpr int SLOTS = 6;
constexpr absl::Duration WORK_TIME = absl::Milliseconds(1700);
constexpr absl::Duration TIME_LIMIT = absl::Milliseconds(4000);
/** Of the client whose order waits: it ends before a slot is free. */
constexpr absl::Duration SHORT_TIME_LIMIT = absl::Milliseconds(1500);
constexpr absl::Duration DOWN_TIME = absl::Milliseconds(200);
constexpr int EVENTS = 3;

std::string headerOf(const gateway::HttpRequest &request, const char *name)
{
    for (const gateway::Header &header : request.headers) {
        if (absl::EqualsIgnoreCase(header.name, name)) {
            return header.value;
        }
    }
    return {};
}

/** A runner as the pages describe it: some slots, a queue, and the time limit, at which it gives up what waits (503, not run) or runs (504). */
class LimitedRunner
{
public:
    LimitedRunner(review::Stage &stage, std::string id, const std::string &zone)
        : m_stage(stage),
          m_id(std::move(id)),
          m_server(stage.loop(), [this](const gateway::HttpRequest &request, const std::shared_ptr<net::HttpExchange> &exchange) { take(request, exchange); })
    {
        const core::Expected<int> port = m_server.listen("127.0.0.1:0");
        const nlohmann::json entry = {{"service", standins::UsersManifest::BOOKING}, {"address", absl::StrCat("127.0.0.1:", port.value_or(0))}, {"zone", zone},
            {"version", "v1"}, {"slots", SLOTS}, {"state", "ready"}, {"coldLeftMs", 0}, {"callSeq", 0}};
        stage.store().put("servers/" + m_id, entry.dump());
    }

    int seenCount() const
    {
        return m_seen;
    }

    int runCount(const std::string &attempt) const
    {
        const auto runs = m_runs.find(attempt);
        return runs == m_runs.end() ? 0 : runs->second;
    }

private:
    struct Work
    {
        std::string attempt;
        std::shared_ptr<net::HttpExchange> exchange;
        core::Subscription limit;
        core::Subscription end;
    };
    using WorkPointer = std::shared_ptr<Work>;

    void take(const gateway::HttpRequest &request, const std::shared_ptr<net::HttpExchange> &exchange)
    {
        const std::string attempt = headerOf(request, "Attempt-Id");
        if (headerOf(request, "Expect-Instance") != m_id) {
            exchange->answer({421, {{"Attempt-Id", attempt}, {"Not-Executed", "1"}}}, {});
            return;
        }
        ++m_seen;
        const WorkPointer work = std::make_shared<Work>();
        work->attempt = attempt;
        work->exchange = exchange;
        std::int64_t limitMs = 0;
        if (absl::SimpleAtoi(headerOf(request, "Deadline-Ms"), &limitMs)) {
            work->limit = m_stage.loop().timers().after(absl::Milliseconds(limitMs), [this, weak = std::weak_ptr<Work>(work)] { overLimit(weak.lock()); });
        }
        exchange->onClosed([this, weak = std::weak_ptr<Work>(work)] { drop(weak.lock()); });
        m_stage.note(absl::StrCat("queued   ", attempt, " at ", m_id));
        m_waiting.push_back(work);
        startNext();
    }

    void startNext()
    {
        while (!m_waiting.empty() && m_running.size() < SLOTS) {
            const WorkPointer work = m_waiting.front();
            m_waiting.erase(m_waiting.begin());
            m_running.push_back(work);
            ++m_runs[work->attempt];
            m_stage.note(absl::StrCat("run      ", work->attempt, " at ", m_id, ", run ", m_runs[work->attempt], " of it"));
            work->end = m_stage.loop().timers().after(WORK_TIME, [this, weak = std::weak_ptr<Work>(work)] { answer(weak.lock(), 200); });
        }
    }

    void overLimit(const WorkPointer &work)
    {
        if (work == nullptr) {
            return;
        }
        const bool isWaiting = std::find(m_waiting.begin(), m_waiting.end(), work) != m_waiting.end();
        answer(work, isWaiting ? 503 : 504);
    }

    void answer(const WorkPointer &work, int status)
    {
        if (work == nullptr) {
            return;
        }
        gateway::HttpHead head{status, {{"Attempt-Id", work->attempt}}};
        head.headers.push_back(status == 503 ? gateway::Header{"Not-Executed", "1"} : gateway::Header{"Server-Seal", absl::StrCat(m_id, ".", work->attempt)});
        m_stage.note(absl::StrCat("answer   ", status, " to ", work->attempt, " at ", m_id));
        work->exchange->answer(head, status == 200 ? standins::wholeBodyOf(work->attempt) : std::string());
        drop(work);
    }

    void drop(const WorkPointer &work)
    {
        m_waiting.erase(std::remove(m_waiting.begin(), m_waiting.end(), work), m_waiting.end());
        m_running.erase(std::remove(m_running.begin(), m_running.end(), work), m_running.end());
        startNext();
    }

    review::Stage &m_stage;
    std::string m_id;
    net::HttpServer m_server;
    std::vector<WorkPointer> m_waiting;
    std::vector<WorkPointer> m_running;
    std::map<std::string, int> m_runs;
    int m_seen = 0;
};

soak::RequestSeen order(const std::string &attempt, absl::Duration timeLimit)
{
    soak::RequestSeen request;
    request.attempt = attempt;
    request.path = standins::UsersManifest::RESERVE + attempt;
    request.body = "order of " + attempt;
    request.key = "k-bar";
    request.timeLimit = timeLimit;
    return request;
}

soak::RequestSeen question(const std::string &attempt)
{
    soak::RequestSeen request;
    request.attempt = attempt;
    request.path = standins::UsersManifest::ANSWER + attempt;
    request.body = "question";
    request.key = "k-bar";
    request.events = EVENTS;
    request.tokens = 100 + EVENTS;
    request.timeLimit = absl::Milliseconds(3000);
    return request;
}

} // namespace

int main()
{
    review::Stage stage;
    review::Gateway &north = stage.addGateway("north");
    review::Gateway &east = stage.addGateway("east");
    review::Gateway &secondEast = stage.addGateway("east");
    LimitedRunner booking(stage, "i-east-booking", "east-1");
    standins::RunnerSettings engine;
    engine.id = "i-north-engine";
    engine.service = standins::UsersManifest::ENGINE;
    engine.zone = "north-1";
    stage.addRunner(engine);
    standins::UsersManifest manifest;
    manifest.tenants = {{"bar", {"k-bar"}, 0}};
    stage.store().put("op/config", manifest.json());
    stage.startGateway(north);
    stage.startGateway(east);
    stage.startGateway(secondEast);
    const auto areReady = [&] {
        return stage.isReady(north) && stage.isReady(east) && stage.isReady(secondEast);
    };
    if (!stage.runUntil(areReady, absl::Seconds(20))) {
        return stage.end(review::Verdict::CouldNotRun, "the gateways did not get ready");
    }
    stage.run(absl::Seconds(4));

    // Six orders run, and one waits.
    for (int number = 1; number <= SLOTS; ++number) {
        stage.send(north, order(absl::StrCat("before-", number), TIME_LIMIT));
        stage.run(absl::Milliseconds(10));
    }
    stage.send(north, order("before-7", SHORT_TIME_LIMIT));
    if (!stage.runUntil([&] { return booking.seenCount() == SLOTS + 1; }, absl::Seconds(1))) {
        return stage.end(review::Verdict::CouldNotRun, "the first orders did not reach the runner");
    }
    if (stage.hasTrouble()) {
        stage.killGateway(north, SIGKILL);
        stage.run(DOWN_TIME);
        stage.startGateway(north);
        if (!stage.runUntil([&] { return stage.isReady(north); }, absl::Seconds(5))) {
            return stage.end(review::Verdict::CouldNotRun, "the restarted gateway did not get ready");
        }
    }
    // Six questions that north's own engine answers, and an order.
    for (int number = 1; number <= SLOTS; ++number) {
        stage.send(north, question(absl::StrCat("question-", number)));
        stage.run(absl::Milliseconds(10));
    }
    stage.send(north, order("after-7", TIME_LIMIT));
    stage.runUntil([&] { return stage.isAllAnswered(); }, absl::Seconds(10));
    stage.run(absl::Seconds(1));

    std::string twice;
    for (const soak::RequestSeen &request : stage.requests()) {
        if (booking.runCount(request.attempt) > 1) {
            absl::StrAppend(&twice, " ", request.attempt, " ran ", booking.runCount(request.attempt), " times");
        }
    }
    if (!twice.empty()) {
        return stage.end(review::Verdict::Broken, "TWICE: orders that may run once at most:" + twice);
    }
    return stage.end(review::Verdict::Held, "each order ran once at most");
}
