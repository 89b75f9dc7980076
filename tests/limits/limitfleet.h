#pragma once

#include "snipeferry/limits/ratelimiter.h"
#include "support/history/ratechecker.h"
#include "support/storefake.h"

#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace snipeferry::testing {

/** Faults that a test can give to an instance's calls to the platform. */
enum class PlatformMode {
    Up,
    /** Calls are not sent. */
    Down,
    /** Calls are lost on the way to the platform and time out. */
    Silent,
    /** Calls take effect, but their answers are lost. */
    AnswersLost,
    /** Calls take effect after the caller's timeout. */
    LateEffect,
};

/** One request that a test sends to an instance, and its result. */
struct Offer
{
    core::CustomerId customer;
    std::size_t node = 0;
    core::Tokens amount = 0;
    core::Tokens used = 0;
    absl::Duration duration;
    absl::Time offeredAt;
    std::optional<absl::Time> admittedAt;
    std::optional<core::Error> refusal;
    absl::Time decidedAt = absl::InfiniteFuture();
    bool isSettled = false;
};

/** Runs many RateLimiters in virtual time. The network between them and the platform can fail as a test demands. */
class LimitFleet
{
public:
    struct Node
    {
        membership::InstanceDescription self;
        std::unique_ptr<core::VirtualTimerService> timers;
        std::unique_ptr<messages::Outbox> outbox;
        std::unique_ptr<limits::RateLimiter> limiter;
        core::Revision revision = 0;
        absl::Time configureAt = absl::InfiniteFuture();
        absl::Time frozenUntil = absl::InfinitePast();
        absl::Duration pausedFor = absl::ZeroDuration();
        PlatformMode platform = PlatformMode::Up;
        std::size_t nextChange = 0;
        bool isDraining = false;
        std::vector<std::pair<absl::Time, std::size_t>> settlements;
    };

    LimitFleet(std::uint64_t seed, configuration::Configuration configuration, int nodesPerDataCentre);

    void run(absl::Duration runDuration);
    void offer(std::size_t node, const core::CustomerId &customer, core::Tokens amount, core::Tokens used, absl::Duration duration, absl::Duration patience);
    void crash(std::size_t node);
    void restart(std::size_t node);
    void freeze(std::size_t node, absl::Duration freezeDuration);
    void drain(std::size_t node);
    void accept(configuration::Configuration configuration);

    /** @brief Returns a description of the first violation of a customer's limit, if there is one. */
    std::optional<std::string> violation() const;

    bool isAlive(std::size_t node) const;
    absl::Time now() const;
    std::mt19937_64 &random();

    std::vector<Node> nodes;
    std::vector<Offer> offers;
    /** Links that lose all messages from the first to the second node. */
    std::set<std::pair<std::size_t, std::size_t>> cuts;
    int lossPermille = 0;
    int duplicatePermille = 0;
    /** Number of packets in 1000 that arrive up to three seconds late. */
    int latePermille = 5;
    StoreFake store;

private:
    struct Packet
    {
        std::size_t from = 0;
        std::size_t to = 0;
        core::Incarnation incarnation = 0;
        std::variant<messages::PeerMessage, platform::Reply, platform::Call> content;
    };

    void start(std::size_t index);
    void step();
    void stepNode(std::size_t index);
    void executeActions(std::size_t index);
    void sendToPeer(std::size_t index, const messages::SendToPeer &send);
    void callPlatform(std::size_t index, const platform::Call &call);
    void deliver(const Packet &packet);
    void watch(std::size_t index);
    void updateMembers();
    void recordLimits();
    bool areLinked(std::size_t left, std::size_t right) const;
    absl::Duration latency(std::size_t from, std::size_t to);

    std::mt19937_64 m_random;
    absl::Time m_now = absl::FromUnixSeconds(1'700'000'000);
    std::map<core::Revision, configuration::Configuration> m_configurations;
    core::Revision m_acceptedRevision = 0;
    std::multimap<absl::Time, Packet> m_packets;
    std::map<core::CustomerId, std::vector<history::LimitEpoch>> m_epochs;
    absl::Time m_nextMemberUpdate = absl::InfinitePast();
};

/** @brief Returns a configuration with these customers and three regions with one data centre each. */
configuration::Configuration threeRegions(const std::vector<configuration::Customer> &customers);

/** @brief Returns a customer that is allowed in all three regions. */
configuration::Customer customerWith(const std::string &id, core::Tokens ratePerSecond, core::Tokens burst);

} // namespace snipeferry::testing
