#pragma once

#include "gateway/fakeports.h"
#include "snipeferry/duties/dutyholder.h"

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

/** Several holders against one store and one interface, in virtual time. */
namespace snipeferry::tests {

/** A clock whose wall time can be off. */
class SkewedTimers : public core::VirtualTimerService
{
public:
    using core::VirtualTimerService::VirtualTimerService;
    absl::Time wallNow() const override
    {
        return now() + skew;
    }
    absl::Duration skew;
};

/** A call that arrived at the interface. */
struct ArrivedCall
{
    absl::Time at;
    std::string holder;
    std::int64_t token = 0;
    duties::WindowUsage usage;
    bool isAccepted = false;
};

class DutyWorld;

/** One instance with its calls. */
class DutyNode : public duties::DutyPort, public duties::DutyFleet
{
public:
    DutyNode(DutyWorld &world, std::string name, std::size_t rank, absl::Time now);

    void restart();
    void readHolder() override;
    void readUsage() override;
    void swapHolder(std::int64_t expectedCounter, const duties::HolderRecord &record, const std::vector<std::string> &removedKeys) override;
    void report(std::int64_t token, const duties::WindowUsage &usage, absl::Duration timeLimit) override;
    std::size_t watchRank() const override
    {
        return rank;
    }
    std::vector<core::RegionId> liveRegions() const override
    {
        return {core::RegionId("north"), core::RegionId("south")};
    }
    bool isDraining() const override
    {
        return isDrained;
    }

    DutyWorld &world;
    std::string name;
    std::size_t rank;
    SkewedTimers timers;
    std::unique_ptr<duties::WallClock> clock;
    std::unique_ptr<duties::DutyHolder> holder;
    std::shared_ptr<bool> process;
    std::uint64_t processNumber = 0;
    absl::Time frozenUntil = absl::InfinitePast();
    bool isDead = false;
    bool isDrained = false;
    bool isCutOffFromStore = false;
    bool isCutOffFromInterface = false;
};

class DutyWorld
{
public:
    explicit DutyWorld(std::uint64_t seed, int nodeCount = 3);

    void run(absl::Duration time);
    /** Brings the store back from a copy that was made some time ago. */
    void restore(absl::Duration age);
    /** The node that may act; null without one. */
    DutyNode *acting();
    void runUntilActing();
    /** The number of windows for which a report with the true counts was accepted in time. */
    int goodReports(duties::WindowNumber first, duties::WindowNumber last) const;
    /** What must never happen, as text; empty if nothing did. */
    std::string violation() const;
    bool chance(double probability);
    absl::Duration between(int minimumMs, int maximumMs);
    static duties::UsageCounts trueCounts(duties::WindowNumber window, const std::string &region);
    duties::WindowNumber window() const
    {
        return duties::windowAt(now, settings.windowLength);
    }

    struct Stored
    {
        std::int64_t counter = 0;
        std::optional<duties::HolderRecord> record;
        std::int64_t lastCounter = 1;
    };

    duties::HolderReading reading() const
    {
        return {era, stored.counter, stored.record};
    }
    /** Calls back at a time, also in the future of a node that is suspended until later. */
    void at(absl::Time time, std::function<void()> action);
    void answer(DutyNode &node, absl::Duration delay, std::function<void(duties::DutyHolder &)> event);

    duties::DutySettings settings;
    std::mt19937_64 random;
    absl::Time now = absl::FromUnixSeconds(1'700'000'002);
    std::int64_t era = 1;
    Stored stored;
    std::vector<std::pair<absl::Time, Stored>> copies;
    std::vector<ArrivedCall> arrived;
    std::map<duties::WindowNumber, duties::UsageCounts> accepted;
    std::vector<std::unique_ptr<DutyNode>> nodes;
    std::multimap<absl::Time, std::function<void()>> actions;
    FakeJournal journal;
    /** Probabilities of trouble for each call. */
    double lostRequest = 0;
    double lostAnswer = 0;
    double lateWrite = 0;
    /** Probability that a read of the sums finds other counts than the reads before, so that a report composed twice has other counts. */
    double changedUsage = 0;
    bool isStoreDown = false;
    bool isInterfaceDown = false;
    bool isInterfaceRefusing = false;
    absl::Duration storeDelay = absl::Milliseconds(20);
    /** Time after the end of a window at which a region writes its sums. */
    absl::Duration southDelay = absl::Milliseconds(1500);
};

} // namespace snipeferry::tests
