#pragma once

#include "snipeferry/gateway/rolloutguard.h"

#include <absl/strings/str_cat.h>

#include <functional>
#include <memory>
#include <random>
#include <vector>

namespace snipeferry::tests {

inline const core::ServiceId SERVICE("booking");
inline const core::VersionId OLD_VERSION("v1");
inline const core::VersionId NEW_VERSION("v2");

/** Backend servers of all versions accept requests. */
inline bool everywhere(const core::VersionId & /*version*/)
{
    return true;
}

/** Traffic and order of a rollout that is played. */
struct RolloutShape
{
    int instances = 8;
    absl::Duration timeLimit = absl::Seconds(12);
    /** Requests per second to all instances together. */
    double perSecond = 320;
    /** Fractions of the old version's answers that fail, by route; requests are spread evenly. */
    std::vector<double> oldFailureShares = {0.05, 0.05};
    /** How long requests come before the order. */
    absl::Duration warmUp = absl::ZeroDuration();
};

/** Several instances that decide about one rollout. The first decision counts, as it does in the store. */
struct RolloutFleet
{
    /** Whether the new version fails a request, given the time since the order and the route. */
    using FailureRule = std::function<bool(absl::Duration, int)>;

    RolloutFleet(int count, std::uint64_t seed)
        : RolloutFleet(RolloutShape{count}, seed)
    {
    }

    RolloutFleet(RolloutShape playedShape, std::uint64_t seed)
        : shape(std::move(playedShape)),
          random(seed)
    {
        const int count = shape.instances;
        std::vector<core::InstanceId> ids;
        ids.reserve(static_cast<std::size_t>(count));
        for (int index = 0; index < count; ++index) {
            ids.push_back(core::InstanceId(absl::StrCat("gw-", index)));
        }
        for (const core::InstanceId &id : ids) {
            guards.push_back(std::make_unique<gateway::RolloutGuard>(id, random(), gateway::RolloutSettings{}, timers));
            guards.back()->setInstances(ids);
            guards.back()->decided().subscribe([this](const gateway::RolloutDecision &decision) {
                if (decision.state == gateway::RolloutState::Completed || decision.state == gateway::RolloutState::Reverted) {
                    decisions.push_back(decision.state);
                    decidedAt = timers.now();
                }
            });
        }
        for (int count = static_cast<int>(shape.perSecond * absl::ToDoubleSeconds(shape.warmUp)); count > 0; --count) {
            const std::size_t route = random() % shape.oldFailureShares.size();
            guards[random() % guards.size()]->observe(
                SERVICE, absl::StrCat("route-", route), OLD_VERSION, chance(shape.oldFailureShares[route]), absl::Milliseconds(30));
        }
        orderedAt = timers.now();
        for (const std::unique_ptr<gateway::RolloutGuard> &guard : guards) {
            guard->order({SERVICE, NEW_VERSION, shape.timeLimit}, 7);
        }
    }

    void simulate(const FailureRule &failureRule, double latencyFactor)
    {
        std::uniform_real_distribution<double> draw(0, 1);
        const double perStep = shape.perSecond / static_cast<double>(guards.size()) * absl::ToDoubleSeconds(STEP);
        const int steps = static_cast<int>((shape.timeLimit + AFTERMATH) / STEP);
        for (int step = 0; step < steps; ++step) {
            timers.advance(STEP);
            const absl::Duration age = timers.now() - orderedAt;
            for (std::size_t index = 0; index < guards.size(); ++index) {
                if (draw(random) < perStep) {
                    request(*guards[index], age, failureRule, latencyFactor);
                }
                if (step % 100 == static_cast<int>(index)) {
                    sendReports(index);
                }
            }
        }
    }

    void request(gateway::RolloutGuard &guard, absl::Duration age, const FailureRule &failureRule, double latencyFactor)
    {
        const std::size_t route = random() % shape.oldFailureShares.size();
        const gateway::VersionChoice choice = guard.choose(SERVICE, everywhere);
        const bool isNewVersion = choice.only == NEW_VERSION;
        if (age < shape.timeLimit) {
            ++requestCount;
            newVersionRequests += isNewVersion ? 1 : 0;
        }
        const bool hasFailed = isNewVersion ? failureRule(age, static_cast<int>(route)) : chance(shape.oldFailureShares[route]);
        if (isNewVersion && hasFailed && ++failedRequests == 50) {
            fiftiethFailureAt = age;
        }
        lastNewVersionRequestAt = isNewVersion ? age : lastNewVersionRequestAt;
        guard.observe(SERVICE, absl::StrCat("route-", route), isNewVersion ? NEW_VERSION : OLD_VERSION, hasFailed,
            absl::Milliseconds(isNewVersion ? 30 * latencyFactor : 30));
    }

    bool chance(double share)
    {
        return std::uniform_real_distribution<double>(0, 1)(random) < share;
    }

    /** Rule of a version that fails some of its requests where the old one answers, and the same ones as the old one. */
    FailureRule failingMore(double share)
    {
        return [this, share](absl::Duration, int route) {
            return chance(shape.oldFailureShares[static_cast<std::size_t>(route)]) || chance(share);
        };
    }

    bool isCompleted() const
    {
        return !decisions.empty() && decisions.front() == gateway::RolloutState::Completed;
    }

    /** Requests that the new version may get if it is bad. */
    double allowedRequests() const
    {
        return 0.1 * requestCount + 50;
    }

    /** Requests to engines of which those of the old version are loaded and those of the new one are nearly idle. */
    void simulateLoaded(double slowness)
    {
        std::uniform_real_distribution<double> draw(0, 1);
        for (int step = 0; step < 1240; ++step) {
            timers.advance(absl::Milliseconds(10));
            for (std::size_t index = 0; index < guards.size(); ++index) {
                if (draw(random) < 0.12) {
                    requestLoaded(*guards[index], timers.now() - orderedAt < absl::Seconds(12), slowness);
                }
                if (step % 100 == static_cast<int>(index)) {
                    sendReports(index);
                }
            }
        }
    }

    void requestLoaded(gateway::RolloutGuard &guard, bool isCounted, double slowness)
    {
        std::uniform_real_distribution<double> draw(0, 1);
        std::lognormal_distribution<double> spread(0, 0.55);
        const bool isNewVersion = guard.choose(SERVICE, everywhere).only == NEW_VERSION;
        requestCount += isCounted ? 1 : 0;
        newVersionRequests += isCounted && isNewVersion ? 1 : 0;
        // The old version is idle now and then, too.
        const double expectedMs = isNewVersion || draw(random) < 0.3 ? 30 + 60 * draw(random) : 90 + 300 * draw(random);
        const absl::Duration latency = absl::Milliseconds(expectedMs * spread(random) * (isNewVersion ? slowness : 1));
        const core::VersionId &version = isNewVersion ? NEW_VERSION : OLD_VERSION;
        guard.observeFirstData(SERVICE, version, latency, absl::Milliseconds(expectedMs));
        guard.observe(SERVICE, "route", version, false, latency);
    }

    void sendReports(std::size_t from)
    {
        for (std::size_t to = 0; to < guards.size(); ++to) {
            if (to != from) {
                guards[to]->receive(core::InstanceId(absl::StrCat("gw-", from)), guards[from]->reports());
            }
        }
    }

    static constexpr absl::Duration STEP = absl::Milliseconds(10);
    /** How long requests go on after the time limit. */
    static constexpr absl::Duration AFTERMATH = absl::Milliseconds(400);

    RolloutShape shape;
    core::VirtualTimerService timers;
    std::mt19937_64 random;
    std::vector<std::unique_ptr<gateway::RolloutGuard>> guards;
    std::vector<gateway::RolloutState> decisions;
    absl::Time orderedAt;
    absl::Time decidedAt;
    int requestCount = 0;
    int newVersionRequests = 0;
    int failedRequests = 0;
    absl::Duration fiftiethFailureAt = absl::InfiniteDuration();
    absl::Duration lastNewVersionRequestAt;
};

} // namespace snipeferry::tests
