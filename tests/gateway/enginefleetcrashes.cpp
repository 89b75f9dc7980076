#include "enginefleetparts.h"

#include <algorithm>

// How the engines of the fleet end and come back.
namespace snipeferry::tests {

namespace {

/** An engine's announcement lapses after three missing reports, and the engine is back a little later. */
constexpr absl::Duration LAPSE_TIME = absl::Milliseconds(3600);
constexpr absl::Duration RESTART_TIME = absl::Milliseconds(4000);

} // namespace

void EngineFleet::truncate(std::size_t engine)
{
    for (const Run &run : std::exchange(m_engines[engine]->runs, {})) {
        endConnection(run);
    }
}

void EngineFleet::breakOff(std::size_t engine)
{
    std::vector<Run> &runs = m_engines[engine]->runs;
    if (runs.empty()) {
        return;
    }
    const Run run = runs.front();
    runs.erase(runs.begin());
    endConnection(run);
}

void EngineFleet::endConnection(const Run &run)
{
    const bool endsQuietly = areAnswersCloseDelimited && run.hasHead;
    deliver(*run.instance, [number = run.number, hasHead = run.hasHead, endsQuietly](gateway::Gateway &gateway) {
        if (endsQuietly) {
            gateway.runEnd(number, gateway::AnswerEnd::ConnectionClosed);
        } else {
            gateway.runFailed(number, true, hasHead ? gateway::REASON_ANSWER_BROKEN_OFF : gateway::REASON_NO_ANSWER);
        }
    });
}

void EngineFleet::crash(std::size_t index)
{
    Engine &engine = *m_engines[index];
    if (!engine.isUp) {
        return;
    }
    engine.isUp = false;
    truncate(index);
    bringBack(engine, LAPSE_TIME, RESTART_TIME);
}

void EngineFleet::darken(std::size_t index)
{
    Engine &engine = *m_engines[index];
    if (!engine.isUp) {
        return;
    }
    engine.isUp = false;
    engine.isDark = true;
    for (const Run &run : std::exchange(engine.runs, {})) {
        at(SILENCE_TIME, [this, instance = run.instance, number = run.number] {
            deliver(*instance, [number](gateway::Gateway &gateway) { gateway.runFailed(number, true, gateway::REASON_CONNECTION_SILENT); });
        });
    }
    bringBack(engine, LAPSE_TIME, RESTART_TIME);
}

void EngineFleet::restart(std::size_t index, absl::Duration downTime, absl::Duration announceDelay, bool isDark)
{
    Engine &engine = *m_engines[index];
    engine.isUp = false;
    engine.isDark = isDark;
    if (isDark) {
        // The new process resets what is sent on connections of the one before.
        for (const Run &run : std::exchange(engine.runs, {})) {
            at(std::min(downTime, SILENCE_TIME), [this, run] { endConnection(run); });
        }
    } else {
        truncate(index);
    }
    const std::uint64_t boot = ++engine.boot;
    at(downTime, [this, &engine, boot] {
        if (engine.boot == boot) {
            engine.isUp = true;
            engine.isDark = false;
            engine.server.startedAtMs = absl::ToUnixMillis(m_clock.now());
            engine.coldUntil = m_clock.now() + GatewayFixture::deployment().services.front().coldTime;
        }
    });
    at(downTime + announceDelay, [this, index, boot, announceDelay] {
        if (m_engines[index]->boot == boot) {
            makeCold(index, std::max(absl::ZeroDuration(), GatewayFixture::deployment().services.front().coldTime - announceDelay));
        }
    });
}

void EngineFleet::bringBack(Engine &engine, absl::Duration lapseTime, absl::Duration restartTime)
{
    at(lapseTime, [this, key = engine.server.id.value()] { storeRecord(gateway::Topic::BackendServers, key, std::nullopt); });
    at(restartTime, [this, &engine] {
        ++engine.boot;
        engine.isUp = true;
        engine.isDark = false;
        if (!keepsEngineIds) {
            engine.server.id = core::BackendServerId(absl::StrCat("e-", m_revision, "-", engine.boot));
        }
        engine.server.startedAtMs = absl::ToUnixMillis(m_clock.now());
        announce(engine);
    });
}

} // namespace snipeferry::tests
