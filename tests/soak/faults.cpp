#include "faults.h"

#include <absl/strings/str_cat.h>

#include <csignal>

namespace snipeferry::soak {

namespace {

using standins::AnswerFault;
using standins::RunnerFault;
using standins::StoreFault;

constexpr absl::Duration SHORT = absl::Milliseconds(300);
constexpr absl::Duration LONG = absl::Seconds(5);
/** Between two faults; some come at once. */
constexpr absl::Duration LONGEST_PAUSE = absl::Milliseconds(1800);
/** "Many seconds" within which a runner that drains still serves. */
constexpr absl::Duration DRAINING = absl::Milliseconds(3500);
/** The store removes a silent runner after three periods. */
constexpr absl::Duration SILENCE_BEFORE_REMOVAL = absl::Seconds(3);
/** Harm of a connection alone is over at once. */
constexpr absl::Duration MOMENT = absl::Milliseconds(1);

std::size_t someGateway(World &world, FaultDesk &desk)
{
    return desk.oneOf(world.gateways().size());
}

/** Ends a disturbance after a time. */
void calmAfter(World &world, FaultDesk &desk, const std::string &gateway, absl::Duration time, std::function<void()> action)
{
    const std::list<Disturbance>::iterator disturbance = world.disturb(gateway);
    desk.later(time, [&world, disturbance, action = std::move(action)] {
        action();
        disturbance->until = world.loop().timers().now();
    });
}

void endProcess(World &world, FaultDesk &desk, std::size_t index, int signal, absl::Duration away)
{
    Gateway &gateway = world.gateways()[index];
    if (!gateway.shouldRun) {
        return;
    }
    gateway.shouldRun = false;
    gateway.process->signal(signal);
    calmAfter(world, desk, gateway.place.instance, away, [&world, index] {
        // What has not ended by then is forced, as the platform does.
        world.startGateway(index);
    });
}

void killOne(World &world, FaultDesk &desk)
{
    endProcess(world, desk, someGateway(world, desk), SIGKILL, desk.between(SHORT, absl::Seconds(2)));
}

void stopOne(World &world, FaultDesk &desk)
{
    endProcess(world, desk, someGateway(world, desk), SIGTERM, absl::Seconds(9));
}

void killAll(World &world, FaultDesk &desk)
{
    for (std::size_t index = 0; index < world.gateways().size(); ++index) {
        endProcess(world, desk, index, SIGKILL, SHORT);
    }
}

void pauseOne(World &world, FaultDesk &desk)
{
    const std::size_t index = someGateway(world, desk);
    Gateway &gateway = world.gateways()[index];
    if (!gateway.shouldRun) {
        return;
    }
    gateway.process->signal(SIGSTOP);
    calmAfter(world, desk, gateway.place.instance, desk.between(SHORT, LONG), [&gateway] { gateway.process->signal(SIGCONT); });
}

void reloadOne(World &world, FaultDesk &desk)
{
    Gateway &gateway = world.gateways()[someGateway(world, desk)];
    if (gateway.shouldRun) {
        gateway.process->signal(SIGHUP);
    }
}

void failStore(World &world, FaultDesk &desk, StoreFault fault)
{
    world.store().fail("/api/", fault, -1);
    calmAfter(world, desk, "", desk.between(SHORT, LONG), [&world] { world.store().clearFaults(); });
}

void storeDown(World &world, FaultDesk &desk)
{
    failStore(world, desk, StoreFault::Unavailable);
}

void storeSilent(World &world, FaultDesk &desk)
{
    failStore(world, desk, StoreFault::Silent);
}

void storeLosesAnswers(World &world, FaultDesk &desk)
{
    failStore(world, desk, StoreFault::AnswerLost);
}

void storeLate(World &world, FaultDesk &desk)
{
    failStore(world, desk, StoreFault::CarriedOutLate);
}

void storeForgets(World &world, FaultDesk & /*desk*/)
{
    world.store().forgetHistory();
}

void storeSlow(World &world, FaultDesk &desk)
{
    for (std::size_t index = 0; index < world.gateways().size(); ++index) {
        world.wayToStore(index).setDelay(absl::Milliseconds(400));
    }
    calmAfter(world, desk, "", desk.between(SHORT, LONG), [&world] {
        for (std::size_t index = 0; index < world.gateways().size(); ++index) {
            world.wayToStore(index).setDelay(absl::ZeroDuration());
        }
    });
}

void storeTurnsOneAway(World &world, FaultDesk &desk)
{
    const std::string name = world.gateways()[someGateway(world, desk)].place.instance;
    world.store().setTurnedAway(name, true);
    calmAfter(world, desk, name, desk.between(SHORT, LONG), [&world, name] { world.store().setTurnedAway(name, false); });
}

void storeCutOneWay(World &world, FaultDesk &desk)
{
    const std::size_t index = someGateway(world, desk);
    const bool isTowards = desk.oneOf(2) == 0;
    world.wayToStore(index).hold(isTowards, !isTowards);
    calmAfter(world, desk, world.gateways()[index].place.instance, desk.between(SHORT, LONG), [&world, index] { world.wayToStore(index).hold(false, false); });
}

void storeConnectionsReset(World &world, FaultDesk &desk)
{
    const std::size_t index = someGateway(world, desk);
    world.wayToStore(index).resetAll();
    calmAfter(world, desk, world.gateways()[index].place.instance, MOMENT, [] {});
}

void storeConnectionsSilent(World &world, FaultDesk &desk)
{
    const std::size_t index = someGateway(world, desk);
    world.wayToStore(index).silenceAll();
    calmAfter(world, desk, world.gateways()[index].place.instance, MOMENT, [] {});
}

void storeAnswersGarbage(World &world, FaultDesk &desk)
{
    const std::size_t index = someGateway(world, desk);
    world.wayToStore(index).harmAnswers(AnswerFault::Garbage, 4);
    calmAfter(world, desk, world.gateways()[index].place.instance, absl::Seconds(1), [] {});
}

/** Does something to every way between one region and the others. */
void eachWayOf(World &world, int region, const std::function<void(standins::FaultProxy &)> &action)
{
    for (std::size_t index = 0; index < world.gateways().size(); ++index) {
        const bool isInside = static_cast<int>(index) / World::GATEWAYS_A_REGION == region;
        for (int from = 0; from < World::REGIONS; ++from) {
            standins::FaultProxy *way = isInside || from == region ? world.wayToPeer(from, index) : nullptr;
            if (way != nullptr) {
                action(*way);
            }
        }
    }
}

void regionCut(World &world, FaultDesk &desk)
{
    const int region = static_cast<int>(desk.oneOf(World::REGIONS));
    const std::size_t direction = desk.oneOf(3);
    eachWayOf(world, region, [direction](standins::FaultProxy &way) { way.hold(direction != 0, direction != 1); });
    calmAfter(
        world, desk, "", desk.between(SHORT, LONG), [&world, region] { eachWayOf(world, region, [](standins::FaultProxy &way) { way.hold(false, false); }); });
}

void linksReset(World &world, FaultDesk &desk)
{
    eachWayOf(world, static_cast<int>(desk.oneOf(World::REGIONS)), [](standins::FaultProxy &way) { way.resetAll(); });
    calmAfter(world, desk, "", MOMENT, [] {});
}

void linksSilent(World &world, FaultDesk &desk)
{
    eachWayOf(world, static_cast<int>(desk.oneOf(World::REGIONS)), [](standins::FaultProxy &way) { way.silenceAll(); });
    calmAfter(world, desk, "", MOMENT, [] {});
}

void harmRunner(World &world, FaultDesk &desk, RunnerFault fault)
{
    const std::size_t runner = desk.oneOf(world.runners().size());
    world.runners()[runner]->setFault(fault);
    desk.later(desk.between(SHORT, LONG), [&world, runner] { world.runners()[runner]->setFault(RunnerFault::None); });
}

void runnerFull(World &world, FaultDesk &desk)
{
    harmRunner(world, desk, RunnerFault::Full);
}

void runnerFails(World &world, FaultDesk &desk)
{
    harmRunner(world, desk, RunnerFault::Failure);
}

void runnerSilent(World &world, FaultDesk &desk)
{
    harmRunner(world, desk, RunnerFault::Silent);
}

void runnerLosesAnswers(World &world, FaultDesk &desk)
{
    harmRunner(world, desk, RunnerFault::AnswerLost);
}

void runnerBreaksStreams(World &world, FaultDesk &desk)
{
    harmRunner(world, desk, RunnerFault::BrokenStream);
}

void runnerSlow(World &world, FaultDesk &desk)
{
    harmRunner(world, desk, RunnerFault::Slow);
}

void runnerAnswersHarmed(World &world, FaultDesk &desk)
{
    const AnswerFault faults[] = {AnswerFault::Garbage, AnswerFault::CutShort, AnswerFault::ForeignAnswerBehind};
    world.wayToRunner(desk.oneOf(world.runners().size())).harmAnswers(faults[desk.oneOf(3)], 5);
}

void runnerConnectionsSilent(World &world, FaultDesk &desk)
{
    world.wayToRunner(desk.oneOf(world.runners().size())).silenceAll();
    calmAfter(world, desk, "", MOMENT, [] {});
}

void runnerCut(World &world, FaultDesk &desk)
{
    const std::size_t runner = desk.oneOf(world.runners().size());
    const std::size_t direction = desk.oneOf(3);
    world.wayToRunner(runner).hold(direction != 0, direction != 1);
    calmAfter(world, desk, "", desk.between(SHORT, LONG), [&world, runner] { world.wayToRunner(runner).hold(false, false); });
}

/** Its process is gone at once; the store removes it later; it comes back under another identifier. */
void runnerCrashes(World &world, FaultDesk &desk)
{
    const std::size_t runner = desk.oneOf(world.runners().size());
    standins::FaultProxy &way = world.wayToRunner(runner);
    way.refuse(true);
    way.resetAll();
    world.runners()[runner]->abortRuns();
    desk.later(SILENCE_BEFORE_REMOVAL, [&world, runner, &way] {
        standins::UsersRunner &crashed = *world.runners()[runner];
        crashed.withdraw();
        crashed.restartAs(crashed.settings().id + "x", crashed.settings().version);
        way.refuse(false);
        world.announce(runner);
    });
}

void runnerDrains(World &world, FaultDesk &desk)
{
    const std::size_t runner = desk.oneOf(world.runners().size());
    standins::UsersRunner &leaving = *world.runners()[runner];
    leaving.announceDraining();
    world.runnersDraining.push_back({leaving.settings().id, world.loop().timers().now(), absl::InfiniteFuture()});
    desk.later(DRAINING, [&world, runner] {
        standins::UsersRunner &gone = *world.runners()[runner];
        gone.withdraw();
        gone.restartAs(gone.settings().id + "y", gone.settings().version);
        world.announce(runner);
    });
}

void keyTakenAway(World &world, FaultDesk &desk)
{
    standins::UsersTenant &bar = world.manifest().tenants[0];
    if (bar.keys.size() < 2) {
        return;
    }
    bar.keys = {"k-bar-2"};
    world.confirmManifest();
    const std::size_t number = world.keysTakenAway.size();
    world.keysTakenAway.push_back({"k-bar-1", world.loop().timers().now(), absl::InfiniteFuture()});
    desk.later(absl::Seconds(9), [&world, number] {
        world.keysTakenAway[number].until = world.loop().timers().now();
        world.manifest().tenants[0].keys = {"k-bar-1", "k-bar-2"};
        world.confirmManifest();
    });
}

void routeTakenAway(World &world, FaultDesk &desk)
{
    if (!world.manifest().hasStock) {
        return;
    }
    world.manifest().hasStock = false;
    world.confirmManifest();
    const std::size_t number = world.routesTakenAway.size();
    world.routesTakenAway.push_back({standins::UsersManifest::STOCK, world.loop().timers().now(), absl::InfiniteFuture()});
    desk.later(absl::Seconds(5), [&world, number] {
        world.routesTakenAway[number].until = world.loop().timers().now();
        world.manifest().hasStock = true;
        world.confirmManifest();
    });
}

void manifestsInSuccession(World &world, FaultDesk &desk)
{
    for (int i = 0; i < 5; ++i) {
        desk.later(absl::Milliseconds(100) * i, [&world] { world.confirmManifest(); });
    }
}

void foreignEntries(World &world, FaultDesk &desk)
{
    world.store().put("servers/i-strange", "\xff{not an entry");
    desk.later(LONG, [&world] { world.store().remove("servers/i-strange"); });
}

} // namespace

const std::vector<FaultKind> &faultKinds()
{
    static const std::vector<FaultKind> ALL = {
        {"process_killed", &killOne},
        {"process_stopped", &stopOne},
        {"all_processes_killed", &killAll},
        {"process_paused", &pauseOne},
        {"settings_reloaded", &reloadOne},
        {"store_down", &storeDown},
        {"store_silent", &storeSilent},
        {"store_loses_answers", &storeLosesAnswers},
        {"store_carries_out_late", &storeLate},
        {"store_forgets_history", &storeForgets},
        {"store_slow", &storeSlow},
        {"store_turns_one_away", &storeTurnsOneAway},
        {"store_cut_one_way", &storeCutOneWay},
        {"store_connections_reset", &storeConnectionsReset},
        {"store_connections_silent", &storeConnectionsSilent},
        {"store_answers_garbage", &storeAnswersGarbage},
        {"region_cut", &regionCut},
        {"links_reset", &linksReset},
        {"links_silent", &linksSilent},
        {"runner_full", &runnerFull},
        {"runner_fails", &runnerFails},
        {"runner_silent", &runnerSilent},
        {"runner_loses_answers", &runnerLosesAnswers},
        {"runner_breaks_streams", &runnerBreaksStreams},
        {"runner_slow", &runnerSlow},
        {"runner_answers_harmed", &runnerAnswersHarmed},
        {"runner_connections_silent", &runnerConnectionsSilent},
        {"runner_cut", &runnerCut},
        {"runner_crashes", &runnerCrashes},
        {"runner_drains", &runnerDrains},
        {"key_taken_away", &keyTakenAway},
        {"route_taken_away", &routeTakenAway},
        {"manifests_in_succession", &manifestsInSuccession},
        {"foreign_entries", &foreignEntries},
    };
    return ALL;
}

FaultDesk::FaultDesk(World &world, std::uint64_t seed)
    : m_world(world),
      m_random(seed)
{
}

std::vector<std::string> FaultDesk::strikeFor(absl::Duration time)
{
    std::vector<std::string> names;
    const absl::Time end = m_world.loop().timers().now() + time;
    while (m_world.loop().timers().now() < end) {
        const FaultKind &kind = faultKinds()[oneOf(faultKinds().size())];
        names.emplace_back(kind.name);
        kind.strike(m_world, *this);
        m_world.run(between(absl::ZeroDuration(), LONGEST_PAUSE));
    }
    endAll();
    m_world.faultsOverAt = m_world.loop().timers().now();
    return names;
}

void FaultDesk::later(absl::Duration delay, std::function<void()> action)
{
    const std::shared_ptr<Ending> ending = std::make_shared<Ending>();
    ending->action = std::move(action);
    ending->timer = m_world.loop().timers().after(delay, [ending = std::weak_ptr<Ending>(ending)] {
        const std::shared_ptr<Ending> due = ending.lock();
        due->isDone = true;
        due->action();
    });
    m_endings.push_back(ending);
}

void FaultDesk::endAll()
{
    for (const std::shared_ptr<Ending> &ending : m_endings) {
        if (!ending->isDone) {
            ending->timer.cancel();
            ending->action();
        }
    }
    m_endings.clear();
}

absl::Duration FaultDesk::between(absl::Duration shortest, absl::Duration longest)
{
    return shortest + (longest - shortest) * std::uniform_real_distribution<double>(0, 1)(m_random);
}

std::size_t FaultDesk::oneOf(std::size_t count)
{
    return m_random() % count;
}

} // namespace snipeferry::soak
