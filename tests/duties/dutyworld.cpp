#include "dutyworld.h"

#include <absl/strings/str_cat.h>

namespace snipeferry::tests {

namespace {

constexpr absl::Duration STEP = absl::Milliseconds(20);
constexpr absl::Duration STORE_TIMEOUT = absl::Milliseconds(1500);

} // namespace

DutyNode::DutyNode(DutyWorld &owner, std::string nodeName, std::size_t nodeRank, absl::Time now)
    : world(owner),
      name(std::move(nodeName)),
      rank(nodeRank),
      timers(now)
{
    restart();
}

void DutyNode::restart()
{
    process = std::make_shared<bool>(true);
    processNumber = world.random();
    clock = std::make_unique<duties::WallClock>(timers);
    holder = std::make_unique<duties::DutyHolder>(
        world.settings, duties::DutyIdentity{name, processNumber}, world.random(), timers, *clock, *this, *this, world.journal);
}

void DutyNode::readHolder()
{
    const bool isLost = isCutOffFromStore || world.isStoreDown || world.chance(world.lostRequest);
    const duties::HolderReading reading = world.reading();
    world.answer(*this, isLost ? STORE_TIMEOUT : world.storeDelay,
        [isLost, reading](duties::DutyHolder &to) { to.holderRead(isLost ? std::nullopt : std::optional<duties::HolderReading>(reading)); });
}

void DutyNode::readUsage()
{
    if (isCutOffFromStore || world.isStoreDown || world.chance(world.lostRequest)) {
        world.answer(*this, STORE_TIMEOUT, [](duties::DutyHolder &to) { to.usageRead(std::nullopt); });
        return;
    }
    std::vector<duties::RegionUsage> records;
    const std::int64_t change = world.chance(world.changedUsage) ? static_cast<std::int64_t>(world.random() % 1000) : 0;
    for (duties::WindowNumber window = world.window() - 4; window <= world.window(); ++window) {
        for (const char *region : {"north", "south"}) {
            const absl::Duration delay = region == std::string("south") ? world.southDelay : absl::Milliseconds(1500);
            if (duties::windowEnd(window, world.settings.windowLength) + delay <= world.now) {
                duties::UsageCounts counts = DutyWorld::trueCounts(window, region);
                counts["bar"] += change;
                records.push_back({core::RegionId(region), {window, counts}, absl::StrCat(window, region)});
            }
        }
    }
    world.answer(*this, world.storeDelay, [records](duties::DutyHolder &to) { to.usageRead(records); });
}

void DutyNode::swapHolder(std::int64_t expectedCounter, const duties::HolderRecord &record, const std::vector<std::string> & /*removedKeys*/)
{
    const auto carryOut = [this, expectedCounter, record] {
        DutyWorld::Stored &stored = world.stored;
        if (world.isStoreDown || stored.counter != expectedCounter) {
            return duties::SwapAnswer{duties::SwapAnswer::Outcome::Conflict, world.reading()};
        }
        stored.counter = ++stored.lastCounter;
        stored.record = record;
        return duties::SwapAnswer{duties::SwapAnswer::Outcome::Written, {world.era, stored.counter, std::nullopt}};
    };
    const auto giveUp = [this] {
        world.answer(*this, STORE_TIMEOUT, [](duties::DutyHolder &to) { to.swapped({}); });
    };
    if (isCutOffFromStore || world.isStoreDown || world.chance(world.lostRequest)) {
        giveUp();
        return;
    }
    if (world.chance(world.lateWrite)) {
        world.at(world.now + world.between(500, 9000), carryOut);
        giveUp();
        return;
    }
    const bool isAnswerLost = world.chance(world.lostAnswer) || world.storeDelay >= STORE_TIMEOUT;
    world.at(world.now + world.storeDelay / 2, [this, carryOut, isAnswerLost, alive = std::weak_ptr<bool>(process)] {
        const duties::SwapAnswer answer = carryOut();
        if (!isAnswerLost && !alive.expired()) {
            world.answer(*this, world.storeDelay / 2, [answer](duties::DutyHolder &to) { to.swapped(answer); });
        }
    });
    if (isAnswerLost) {
        giveUp();
    }
}

void DutyNode::report(std::int64_t token, const duties::WindowUsage &usage, absl::Duration timeLimit)
{
    const bool isLost = isCutOffFromInterface || world.isInterfaceDown || world.chance(world.lostRequest);
    const bool isAnswered = !isLost && !world.chance(world.lostAnswer);
    const absl::Duration way = world.between(1, 50);
    if (!isLost) {
        world.at(world.now + way, [this, token, usage] {
            const bool isFirst = world.accepted.count(usage.window) == 0;
            world.arrived.push_back({world.now, name, token, usage, isFirst && !world.isInterfaceRefusing});
            if (!world.isInterfaceRefusing) {
                world.accepted.emplace(usage.window, usage.counts);
            }
        });
    }
    const duties::CallOutcome outcome = !isAnswered ? duties::CallOutcome::Unanswered
        : world.isInterfaceRefusing                 ? duties::CallOutcome::Refused
                                                    : duties::CallOutcome::Accepted;
    world.answer(*this, isAnswered ? way * 2 : timeLimit, [outcome](duties::DutyHolder &to) { to.reported(outcome); });
}

DutyWorld::DutyWorld(std::uint64_t seed, int nodeCount)
    : random(seed)
{
    for (int index = 0; index < nodeCount; ++index) {
        nodes.push_back(std::make_unique<DutyNode>(*this, absl::StrCat("gw-", index), index, now));
    }
}

void DutyWorld::at(absl::Time time, std::function<void()> action)
{
    actions.emplace(time, std::move(action));
}

void DutyWorld::answer(DutyNode &node, absl::Duration delay, std::function<void(duties::DutyHolder &)> event)
{
    at(now + delay, [this, &node, event = std::move(event), alive = std::weak_ptr<bool>(node.process)] {
        if (alive.expired() || node.isDead) {
            return;
        }
        if (now < node.frozenUntil) {
            answer(node, node.frozenUntil - now, event);
        } else {
            event(*node.holder);
        }
    });
}

void DutyWorld::run(absl::Duration time)
{
    const absl::Time end = now + time;
    while (now < end) {
        now += STEP;
        for (const std::unique_ptr<DutyNode> &node : nodes) {
            if (node->isDead || now < node->frozenUntil) {
                node->timers.freeze(STEP);
            } else {
                node->timers.advance(STEP);
            }
        }
        while (!actions.empty() && actions.begin()->first <= now) {
            const std::function<void()> action = std::move(actions.begin()->second);
            actions.erase(actions.begin());
            action();
        }
        copies.emplace_back(now, stored);
    }
}

void DutyWorld::restore(absl::Duration age)
{
    Stored copy;
    for (const std::pair<absl::Time, Stored> &entry : copies) {
        if (entry.first <= now - age) {
            copy = entry.second;
        }
    }
    stored = copy;
    copies.clear();
    ++era;
}

DutyNode *DutyWorld::acting()
{
    for (const std::unique_ptr<DutyNode> &node : nodes) {
        if (!node->isDead && now >= node->frozenUntil && node->holder->mayAct()) {
            return node.get();
        }
    }
    return nullptr;
}

void DutyWorld::runUntilActing()
{
    for (int second = 0; second < 30 && acting() == nullptr; ++second) {
        run(absl::Seconds(1));
    }
}

bool DutyWorld::chance(double probability)
{
    return std::uniform_real_distribution<double>(0, 1)(random) < probability;
}

absl::Duration DutyWorld::between(int minimumMs, int maximumMs)
{
    return absl::Milliseconds(std::uniform_int_distribution<int>(minimumMs, maximumMs)(random));
}

duties::UsageCounts DutyWorld::trueCounts(duties::WindowNumber window, const std::string &region)
{
    return {{"bar", 100 + window % 17}, {region, 7}};
}

int DutyWorld::goodReports(duties::WindowNumber first, duties::WindowNumber last) const
{
    int count = 0;
    for (const ArrivedCall &call : arrived) {
        const duties::WindowNumber window = call.usage.window;
        const bool isInTime = call.at <= duties::windowEnd(window, settings.windowLength) + settings.reportTime;
        const duties::UsageCounts expected{{"bar", 2 * (100 + window % 17)}, {"north", 7}, {"south", 7}};
        count += call.isAccepted && isInTime && window >= first && window <= last && call.usage.counts == expected ? 1 : 0;
    }
    return count;
}

std::string DutyWorld::violation() const
{
    std::map<std::int64_t, std::string> tokenHolders;
    std::int64_t highest = 0;
    // Last calls of the holders before the current one.
    std::map<std::string, absl::Time> lastCalls;
    std::string current;
    for (const ArrivedCall &call : arrived) {
        const std::string where = absl::StrCat(call.holder, " token ", call.token, " window ", call.usage.window, " at ", absl::FormatTime(call.at));
        const auto first = accepted.find(call.usage.window);
        if (first != accepted.end() && first->second != call.usage.counts) {
            return "two reports for one window: " + where;
        }
        if (!tokenHolders.emplace(call.token, call.holder).second && tokenHolders.at(call.token) != call.holder) {
            return "two holders with one token: " + where;
        }
        if (call.token < highest) {
            return "a lower token: " + where;
        }
        highest = call.token;
        const auto last = lastCalls.find(call.holder);
        if (current != call.holder && last != lastCalls.end() && call.at - last->second < settings.leaseTime) {
            return "holders in turns: " + where;
        }
        current = call.holder;
        lastCalls[call.holder] = call.at;
    }
    return {};
}

} // namespace snipeferry::tests
