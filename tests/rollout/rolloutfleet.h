#pragma once

#include "snipeferry/platform/keys.h"
#include "snipeferry/rollout/rolloutbook.h"
#include "support/fakefleet.h"

#include <map>
#include <random>
#include <set>
#include <string>

namespace snipeferry::test {

/** Runs a RolloutBook on each instance of a FakeFleet. */
struct RolloutPart
{
    explicit RolloutPart(FakeFleet<RolloutPart>::Instance &instance, std::uint64_t seed)
        : book(instance.self, seed, *instance.timers, *instance.outbox)
    {
    }

    void handle(const messages::PeerReceived &event)
    {
        book.handle(event);
    }

    void handle(const messages::PeerLinkChanged & /*event*/)
    {
    }

    rollout::RolloutBook book;
};

/** Failure rate and latency with which a version answers a request. */
struct Behaviour
{
    double failureRate = 0.01;
    double medianMs = 100;
};

/** A fleet of instances with a simulated platform, traffic on three routes and one rollout from v1 to v2. */
class RolloutFleet
{
public:
    using Fleet = FakeFleet<RolloutPart>;
    /** Returns the behaviour of a version; newShare is the new version's share of all requests so far. */
    using Model = std::function<Behaviour(bool isNew, const std::string &route, absl::Duration elapsed, double newShare)>;

    RolloutFleet(int instanceCount, std::uint64_t seed, absl::Duration deadline)
        : m_random(seed),
          m_seed(seed),
          m_fleet([this](Fleet::Instance &instance) { return std::make_unique<RolloutPart>(instance, m_seed + instance.self.incarnation); })
    {
        m_configuration.services.resize(1);
        m_configuration.services.front().id = SERVICE;
        m_configuration.services.front().version = OLD;
        m_configuration.rollouts = {{ROLLOUT, SERVICE, OLD, NEW, m_start + deadline, 50}};
        m_fleet.onAction = [this](Fleet::Instance &instance, const messages::Action &action) {
            execute(instance, action);
        };
        for (int i = 0; i < instanceCount; ++i) {
            m_descriptions.push_back({core::InstanceId("i-" + std::to_string(i)), static_cast<core::Incarnation>(i + 1),
                core::DataCentreId("dc-" + std::to_string(i % 3)), "10.0.0." + std::to_string(i) + ":7000", "", false});
        }
        for (const membership::InstanceDescription &description : m_descriptions) {
            startInstance(description);
        }
    }

    void startInstance(const membership::InstanceDescription &description)
    {
        Fleet::Instance &instance = m_fleet.start(description);
        std::vector<membership::InstanceDescription> others;
        for (const membership::InstanceDescription &other : m_descriptions) {
            if (other.id != description.id) {
                others.push_back(other);
            }
        }
        instance.outbox->push(messages::KeepLinks{others});
        m_fleet.collect(instance);
        m_fleet.run(absl::Milliseconds(1), absl::Milliseconds(1));
        instance.part->book.configure(m_configuration);
        instance.part->book.setMembers(others);
        m_fleet.collect(instance);
    }

    /** Runs the fleet with random traffic at an average rate per instance. */
    void run(absl::Duration length, double requestsPerSecond, const Model &model)
    {
        constexpr absl::Duration STEP = absl::Milliseconds(100);
        for (absl::Duration done = absl::ZeroDuration(); done < length; done += STEP) {
            m_elapsed += STEP;
            for (auto &entry : m_fleet.instances()) {
                if (!entry.second.isFrozen) {
                    sendRequests(entry.second, requestsPerSecond * absl::ToDoubleSeconds(STEP), model);
                }
            }
            m_fleet.run(STEP, STEP);
        }
    }

    /** The distinct stages of the rollout on all instances. */
    std::set<rollout::Stage> stages()
    {
        std::set<rollout::Stage> found;
        for (auto &entry : m_fleet.instances()) {
            found.insert(entry.second.part->book.statuses().front().stage);
        }
        return found;
    }

    bool allAre(rollout::Stage stage)
    {
        return stages() == std::set<rollout::Stage>{stage};
    }

    Fleet &fleet()
    {
        return m_fleet;
    }

    inline static const core::ServiceId SERVICE{"chat"};
    inline static const core::VersionId OLD{"v1"};
    inline static const core::VersionId NEW{"v2"};
    inline static const core::RolloutId ROLLOUT{"r1"};
    /** The platform answers no calls. */
    bool isPlatformDown = false;
    /** Identifier of an instance whose calls the platform does not answer, or empty. */
    std::string cutFromPlatform;
    /** Probability that the answer to a write is lost after the write was applied. */
    double lostAnswerRate = 0;
    /** Number of rollout_ended log events on all instances. */
    int endedEvents = 0;
    int requests = 0;
    int newRequests = 0;
    int newFailures = 0;
    int platformCalls = 0;
    /** The rollout's record on the platform, as JSON, and its revision. */
    std::string record;
    std::int64_t recordRevision = 0;

private:
    void sendRequests(Fleet::Instance &instance, double mean, const Model &model)
    {
        std::poisson_distribution<int> count(mean);
        const std::vector<std::string> routes{"/chat", "/embed", "/rare"};
        std::discrete_distribution<std::size_t> routeOf({6, 3, 1});
        rollout::RolloutBook &book = instance.part->book;
        for (int remaining = count(m_random); remaining > 0; --remaining) {
            const std::string &route = routes[routeOf(m_random)];
            const bool isNew = book.chooseVersion(SERVICE, route) == NEW;
            const Behaviour behaviour = model(isNew, route, m_elapsed, newRequests / std::max(1.0, static_cast<double>(requests)));
            const bool hasFailed = std::bernoulli_distribution(behaviour.failureRate)(m_random);
            const double latencyMs = std::lognormal_distribution<double>(std::log(behaviour.medianMs), 0.6)(m_random);
            ++requests;
            newRequests += isNew ? 1 : 0;
            newFailures += isNew && hasFailed ? 1 : 0;
            book.observe({SERVICE, isNew ? NEW : OLD, route, hasFailed, absl::Milliseconds(latencyMs)});
        }
        m_fleet.collect(instance);
    }

    void execute(Fleet::Instance &instance, const messages::Action &action)
    {
        if (const platform::Call *call = std::get_if<platform::Call>(&action)) {
            ++platformCalls;
            instance.part->book.handle(messages::PlatformReplied{answer(instance.self, *call)});
            m_fleet.collect(instance);
        } else if (const messages::Log *log = std::get_if<messages::Log>(&action)) {
            endedEvents += log->event.name == "rollout_ended" ? 1 : 0;
        }
    }

    platform::Reply answer(const membership::InstanceDescription &from, const platform::Call &call)
    {
        platform::Reply reply{call.id, platform::Outcome::Answered, true, {}, recordRevision, 0};
        if (isPlatformDown || from.id.value() == cutFromPlatform) {
            reply.outcome = platform::Outcome::NotSent;
            return reply;
        }
        const platform::Transaction *transaction = std::get_if<platform::Transaction>(&call.request);
        if (transaction != nullptr && transaction->conditions.front().modRevision == recordRevision) {
            record = *transaction->writes.front().value;
            ++recordRevision;
            reply.outcome = std::bernoulli_distribution(lostAnswerRate)(m_random) ? platform::Outcome::Unknown : platform::Outcome::Answered;
            return reply;
        }
        reply.succeeded = transaction == nullptr;
        if (recordRevision > 0) {
            reply.values = {{platform::ROLLOUT_PREFIX + ROLLOUT.value(), record, recordRevision}};
        }
        return reply;
    }

    absl::Time m_start = absl::FromUnixSeconds(1'700'000'000);
    absl::Duration m_elapsed = absl::ZeroDuration();
    std::mt19937_64 m_random;
    std::uint64_t m_seed;
    configuration::Configuration m_configuration;
    std::vector<membership::InstanceDescription> m_descriptions;
    Fleet m_fleet;
};

} // namespace snipeferry::test
