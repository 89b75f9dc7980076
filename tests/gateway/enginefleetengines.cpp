#include "enginefleetparts.h"
#include "snipeferry/gateway/answerprogress.h"

#include <algorithm>

// The engines of the fleet.
namespace snipeferry::tests {

namespace {

constexpr absl::Duration CONNECT_TIMEOUT = absl::Seconds(1);
/** Time for which a connection without a run is used again. */
constexpr absl::Duration KEPT_TIME = absl::Seconds(4);
constexpr absl::Duration PREFILL_TIME = absl::Milliseconds(60);
constexpr int PREFILL_SPREAD_MS = 40;
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

} // namespace

EngineFleet::Runs::Runs(EngineFleet &fleet, std::size_t self)
    : m_fleet(fleet),
      m_self(self)
{
}

void EngineFleet::Runs::start(gateway::Number run, const gateway::BackendServer &server, const gateway::HttpRequest &request, const core::RequestId & /*id*/,
    bool /*mayReuse*/, absl::Time sendBy)
{
    Instance &instance = *m_fleet.m_instances[m_self];
    const absl::Duration busyTime = std::max(absl::ZeroDuration(), instance.busyUntil - m_fleet.now());
    m_fleet.at(busyTime + REGION_LATENCY, [this, &instance, run, server, request, sendBy] {
        if (m_fleet.now() - REGION_LATENCY > sendBy) {
            m_fleet.deliver(instance, [run](gateway::Gateway &gateway) { gateway.runFailed(run, false, gateway::REASON_SENT_TOO_LATE); });
        } else if (instance.gateway != nullptr) {
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

void EngineFleet::Runs::checkPath(gateway::Number run, const gateway::BackendServer &server)
{
    Instance &instance = *m_fleet.m_instances[m_self];
    const auto isChecked = [&server](const std::unique_ptr<Engine> &engine) {
        return engine->server.id == server.id;
    };
    const auto it = std::find_if(m_fleet.m_engines.begin(), m_fleet.m_engines.end(), isChecked);
    const PathCut cut = m_fleet.pathCut(instance, server.id);
    const bool isSilent = cut == PathCut::Silent || (it != m_fleet.m_engines.end() && (*it)->isDark);
    const bool isReached = cut == PathCut::None && it != m_fleet.m_engines.end() && (*it)->isUp;
    const char *reason = isSilent ? gateway::REASON_CONNECT_TIMEOUT : gateway::REASON_CONNECT_REFUSED;
    m_fleet.at(isSilent ? CONNECT_TIMEOUT : 2 * REGION_LATENCY, [this, &instance, run, isReached, reason] {
        m_fleet.deliver(instance, [run, isReached, reason](gateway::Gateway &gateway) {
            if (isReached) {
                gateway.runEnd(run, gateway::AnswerEnd::ConnectionClosed);
            } else {
                gateway.runFailed(run, false, reason);
            }
        });
    });
}

void EngineFleet::Runs::askState(gateway::Number run, const gateway::BackendServer &server, const gateway::HttpRequest & /*request*/)
{
    Instance &instance = *m_fleet.m_instances[m_self];
    const auto isAsked = [&server](const std::unique_ptr<Engine> &engine) {
        return engine->server.id == server.id;
    };
    m_fleet.at(REGION_LATENCY, [this, &instance, run, server, isAsked] {
        const auto it = std::find_if(m_fleet.m_engines.begin(), m_fleet.m_engines.end(), isAsked);
        const bool isReached = it != m_fleet.m_engines.end() && (*it)->isUp && m_fleet.pathCut(instance, server.id) == PathCut::None;
        if (!isReached) {
            m_fleet.deliver(instance, [run](gateway::Gateway &gateway) { gateway.runFailed(run, false, gateway::REASON_CONNECT_REFUSED); });
            return;
        }
        // It counts like any request.
        m_fleet.m_arrivals.push_back({m_fleet.now(), server.id, instance.member.id, "", {}, ""});
        const absl::Duration coldLeft = std::max(absl::ZeroDuration(), (*it)->coldUntil - m_fleet.now());
        m_fleet.at(REGION_LATENCY, [this, &instance, run, coldLeft] {
            m_fleet.deliver(instance, [run, coldLeft](gateway::Gateway &gateway) {
                gateway.runHead(run, {200, {{"cold", absl::StrCat(absl::ToInt64Milliseconds(coldLeft))}}});
            });
        });
    });
}

void EngineFleet::setCrashing(const std::string &part, bool isCrashing)
{
    if (isCrashing) {
        m_crashingParts.insert(part);
    } else {
        m_crashingParts.erase(part);
    }
}

void EngineFleet::setCrashingBody(const std::string &body)
{
    m_crashingBodies.insert(body);
}

void EngineFleet::setFaulty(std::size_t engine, bool isFaulty)
{
    m_engines.at(engine)->isFaulty = isFaulty;
}

void EngineFleet::makeCold(std::size_t engine, absl::Duration time)
{
    Engine &cold = *m_engines.at(engine);
    cold.server.coldLeft = time;
    cold.coldUntil = m_clock.now() + time;
    announce(cold);
    cold.server.coldLeft = absl::ZeroDuration();
}

void EngineFleet::setLimit(std::size_t engine, std::optional<double> perSecond)
{
    m_engines.at(engine)->limit = perSecond;
}

gateway::HttpHead EngineFleet::headOf(const Engine &engine) const
{
    gateway::HttpHead head{200, {{"receipt", "x"}}};
    if (engine.limit.has_value()) {
        head.headers.push_back({"limit", absl::StrCat(*engine.limit)});
    }
    return head;
}

void EngineFleet::arrive(Instance &instance, gateway::Number run, const gateway::BackendServer &server, const gateway::HttpRequest &request)
{
    const auto isAddressed = [&server](const std::unique_ptr<Engine> &engine) {
        return engine->server.id == server.id;
    };
    const auto it = std::find_if(m_engines.begin(), m_engines.end(), isAddressed);
    if (it != m_engines.end() && (*it)->isDark) {
        at(CONNECT_TIMEOUT,
            [this, &instance, run] { deliver(instance, [run](gateway::Gateway &gateway) { gateway.runFailed(run, false, "connect_timeout"); }); });
        return;
    }
    if (it == m_engines.end() || !(*it)->isUp) {
        deliver(instance, [run](gateway::Gateway &gateway) { gateway.runFailed(run, false, gateway::REASON_CONNECT_REFUSED); });
        return;
    }
    if (failAtCut(instance, run, server.id)) {
        return;
    }
    Engine &engine = **it;
    const std::vector<std::string> sharedParts = sharedPartsOf(request);
    m_arrivals.push_back({m_clock.now(), server.id, instance.member.id, FakeHeaders::value(request.headers, "id"), sharedParts, request.body});
    engine.runs.push_back({&instance, run, sharedParts, request.body, false});
    const std::size_t index = static_cast<std::size_t>(it - m_engines.begin());
    at(PREFILL_TIME + absl::Milliseconds(randomInt(PREFILL_SPREAD_MS)), [this, index, boot = engine.boot, run] { beginAnswer(index, boot, run); });
}

PathCut EngineFleet::pathCut(const Instance &instance, const core::BackendServerId &engine) const
{
    return instance.cutEngines.empty() || instance.cutEngines.count(engine) > 0 ? instance.cut : PathCut::None;
}

bool EngineFleet::takeKeptConnection(Instance &instance, const core::BackendServerId &engine)
{
    std::vector<absl::Time> &kept = instance.keptConnections[engine];
    const auto isOld = [now = m_clock.now()](absl::Time usedAt) {
        return now - usedAt > KEPT_TIME;
    };
    kept.erase(std::remove_if(kept.begin(), kept.end(), isOld), kept.end());
    if (kept.empty()) {
        return false;
    }
    kept.pop_back();
    return true;
}

bool EngineFleet::failAtCut(Instance &instance, gateway::Number run, const core::BackendServerId &engine)
{
    const bool isKept = takeKeptConnection(instance, engine);
    const auto fail = [this, &instance, run](absl::Duration delay, bool mayHaveRun, const char *reason) {
        at(delay, [this, &instance, run, mayHaveRun, reason] {
            deliver(instance, [run, mayHaveRun, reason](gateway::Gateway &gateway) { gateway.runFailed(run, mayHaveRun, reason); });
        });
    };
    switch (pathCut(instance, engine)) {
    case PathCut::None:
        return false;
    case PathCut::Silent:
        isKept ? fail(SILENCE_TIME, true, gateway::REASON_CONNECTION_SILENT) : fail(CONNECT_TIMEOUT, false, "connect_timeout");
        return true;
    case PathCut::Reset:
        fail(absl::ZeroDuration(), false, gateway::REASON_CONNECT_REFUSED);
        return true;
    case PathCut::NewRefused:
        if (!isKept) {
            fail(absl::ZeroDuration(), false, gateway::REASON_CONNECT_REFUSED);
        }
        return !isKept;
    }
    return false;
}

void EngineFleet::setPathCut(std::size_t index, PathCut cut, const std::set<std::size_t> &engines)
{
    Instance &instance = *m_instances[index];
    instance.cut = cut;
    instance.cutEngines.clear();
    for (const std::size_t engine : engines) {
        instance.cutEngines.insert(m_engines[engine]->server.id);
    }
    if (cut != PathCut::Silent && cut != PathCut::Reset) {
        return;
    }
    for (const std::unique_ptr<Engine> &engine : m_engines) {
        if (pathCut(instance, engine->server.id) == PathCut::None) {
            continue;
        }
        // Kept connections stay in use until they are found silent; those that are reset are closed at once.
        if (cut == PathCut::Reset) {
            instance.keptConnections.erase(engine->server.id);
        }
        for (Run &run : engine->runs) {
            if (run.instance != &instance || run.isLost) {
                continue;
            }
            run.isLost = true;
            const bool isReset = cut == PathCut::Reset;
            const char *resetReason = run.hasHead ? gateway::REASON_ANSWER_BROKEN_OFF : gateway::REASON_NO_ANSWER;
            const char *reason = isReset ? resetReason : gateway::REASON_CONNECTION_SILENT;
            at(isReset ? absl::ZeroDuration() : SILENCE_TIME, [this, &instance, number = run.number, reason] {
                deliver(instance, [number, reason](gateway::Gateway &gateway) { gateway.runFailed(number, true, reason); });
            });
        }
    }
}

EngineFleet::Run *EngineFleet::findRun(std::size_t engine, std::uint64_t boot, gateway::Number run)
{
    if (m_engines[engine]->boot != boot || !m_engines[engine]->isUp) {
        return nullptr;
    }
    for (Run &candidate : m_engines[engine]->runs) {
        if (candidate.number == run) {
            return candidate.instance->gateway == nullptr || candidate.isLost ? nullptr : &candidate;
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
    if (m_crashingBodies.count(found->body) > 0) {
        m_crashes[found->body].push_back(m_clock.now());
        crash(engine);
        return;
    }
    found->hasHead = true;
    Instance &instance = *found->instance;
    const std::vector<std::string> sharedParts = found->sharedParts;
    const bool willCrash = isCrashing(sharedParts) || m_engines[engine]->isFaulty;
    deliver(instance, [run, head = headOf(*m_engines[engine]), bytes = willCrash ? bytesBeforeCrash : std::string()](gateway::Gateway &gateway) {
        gateway.runHead(run, head);
        if (!bytes.empty()) {
            gateway.runData(run, bytes);
        }
    });
    if (!willCrash) {
        writeEvent(engine, boot, run, 1);
        return;
    }
    at(CRASH_DELAY, [this, engine, boot, sharedParts] {
        if (m_engines[engine]->boot != boot || !m_engines[engine]->isUp) {
            return;
        }
        for (const std::string &part : sharedParts) {
            if (m_crashingParts.count(part) > 0) {
                m_crashes[part].push_back(m_clock.now());
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
        deliver(instance, [run, event](gateway::Gateway &gateway) { gateway.runData(run, absl::StrCat("id: ", event, "\ndata: x\n\n")); });
        at(EVENT_TIME, [this, engine, boot, run, event] { writeEvent(engine, boot, run, event + 1); });
        return;
    }
    const auto isRun = [run](const Run &candidate) {
        return candidate.number == run;
    };
    if (!areAnswersCloseDelimited) {
        instance.keptConnections[m_engines[engine]->server.id].push_back(m_clock.now());
    }
    std::vector<Run> &runs = m_engines[engine]->runs;
    runs.erase(std::remove_if(runs.begin(), runs.end(), isRun), runs.end());
    const gateway::AnswerEnd end = areAnswersCloseDelimited ? gateway::AnswerEnd::ConnectionClosed : gateway::AnswerEnd::Framed;
    deliver(instance, [run, end](gateway::Gateway &gateway) { gateway.runEnd(run, end); });
}

void EngineFleet::announce(Engine &engine)
{
    storeRecord(gateway::Topic::BackendServers, engine.server.id.value(), nlohmann::json(engine.server).dump());
}

} // namespace snipeferry::tests
