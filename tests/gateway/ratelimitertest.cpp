#include "snipeferry/gateway/ratelimiter.h"

#include <catch2/catch.hpp>

#include <deque>
#include <memory>
#include <random>

using namespace snipeferry;

namespace {

constexpr double RATE = 40'000;
const core::CustomerId CUSTOMER_ID("bar");

gateway::Customer limitedCustomer(double rate = RATE, double burst = RATE)
{
    gateway::Customer customer;
    customer.id = CUSTOMER_ID;
    customer.ratePerSecond = rate;
    customer.burst = burst;
    return customer;
}

/** Several instances that share one customer's rate limit over links that may lose grants. */
struct SmallFleet
{
    SmallFleet(int count, gateway::AllowanceSettings settings)
    {
        for (int index = 0; index < count; ++index) {
            limiters.push_back(std::make_unique<gateway::RateLimiter>(settings, timers));
            limiters.back()->setInstanceCount(count);
            limiters.back()->configure({limitedCustomer()});
        }
    }

    void exchangeGrants(double lossProbability, std::mt19937_64 &random)
    {
        for (std::size_t sender = 0; sender < limiters.size(); ++sender) {
            for (std::size_t receiver = 0; receiver < limiters.size(); ++receiver) {
                if (sender == receiver) {
                    continue;
                }
                const std::vector<gateway::AllowanceGrant> grants = limiters[sender]->grantsFor(core::InstanceId("x"), limiters[receiver]->reports());
                if (std::uniform_real_distribution<double>(0, 1)(random) >= lossProbability) {
                    limiters[receiver]->receive(grants);
                }
            }
        }
    }

    core::VirtualTimerService timers;
    std::vector<std::unique_ptr<gateway::RateLimiter>> limiters;
};

/** 72 instances in three regions. Each can request tokens from the others of its region when it runs short. */
struct LargeFleet
{
    LargeFleet(double rate, bool canRequestTokens)
    {
        isRequestingTokens = canRequestTokens;
        limiters.resize(INSTANCES);
        for (std::size_t index = 0; index < INSTANCES; ++index) {
            restart(index, rate);
        }
    }

    /** Replaces an instance by a new process, which already knows the number of instances from the store. */
    void restart(std::size_t index, double rate)
    {
        limiters[index] = std::make_unique<gateway::RateLimiter>(gateway::AllowanceSettings{140'000, 0.1}, timers);
        limiters[index]->setInstanceCount(INSTANCES);
        limiters[index]->configure({limitedCustomer(rate, rate)});
        if (isRequestingTokens) {
            limiters[index]->shortages().subscribe(
                [this, index](const gateway::AllowanceShortage &shortage) { requestTokens(static_cast<int>(index), shortage); });
        }
    }

    void requestTokens(int index, const gateway::AllowanceShortage &shortage)
    {
        constexpr int REGION_INSTANCES = 24;
        constexpr int QUERIED_PEERS = 16;
        ++tokenRequests;
        for (int step = 1; step <= QUERIED_PEERS; ++step) {
            const int peer = index / REGION_INSTANCES * REGION_INSTANCES + (index + step) % REGION_INSTANCES;
            const double tokens = limiters[static_cast<std::size_t>(peer)]->grantOnRequest(CUSTOMER_ID, shortage.tokens * 2 / QUERIED_PEERS);
            limiters[static_cast<std::size_t>(index)]->receive({{CUSTOMER_ID, tokens}});
        }
    }

    /** Sends a request to a random instance. If that instance is short of tokens, the request is tried again once with the granted ones. */
    bool request(double cost)
    {
        gateway::RateLimiter &limiter = *limiters[std::uniform_int_distribution<std::size_t>(0, INSTANCES - 1)(random)];
        return limiter.reserve(CUSTOMER_ID, cost).has_value() || limiter.reserve(CUSTOMER_ID, cost).has_value();
    }

    static constexpr int INSTANCES = 72;
    std::mt19937_64 random{3};
    core::VirtualTimerService timers;
    std::vector<std::unique_ptr<gateway::RateLimiter>> limiters;
    int tokenRequests = 0;
    bool isRequestingTokens = false;
};

/** Sums the tokens of admitted requests over a sliding window of eight seconds and keeps the maximum. */
class SlidingWindowSum
{
public:
    void add(absl::Time at, double tokens)
    {
        while (!m_entries.empty() && at - m_entries.front().first > WINDOW) {
            m_sum -= m_entries.front().second;
            m_entries.pop_front();
        }
        m_entries.emplace_back(at, tokens);
        m_sum += tokens;
        m_maxSum = std::max(m_maxSum, m_sum);
    }

    double maxWindowSum() const
    {
        return m_maxSum;
    }

    static constexpr absl::Duration WINDOW = absl::Seconds(8);

private:
    std::deque<std::pair<absl::Time, double>> m_entries;
    double m_sum = 0;
    double m_maxSum = 0;
};

} // namespace

TEST_CASE("instances together keep a customer's allowance, whatever grants are lost")
{
    // One customer sends many times its rate through three of eight instances, and a third of the grants is lost.
    const std::uint64_t seed = GENERATE(1, 2, 3, 4, 5, 6, 7, 8);
    std::mt19937_64 random(seed);
    const gateway::AllowanceSettings settings{140'000, 0.1};
    SmallFleet fleet(8, settings);
    std::deque<std::pair<absl::Time, double>> admittedCosts;
    double windowSum = 0;
    double maxWindowSum = 0;
    for (int step = 0; step < 2000; ++step) {
        fleet.timers.advance(absl::Milliseconds(20));
        if (step % 10 == 0) {
            fleet.exchangeGrants(0.33, random);
        }
        for (int instance = 0; instance < 3; ++instance) {
            const double cost = std::uniform_real_distribution<double>(500, 12'000)(random);
            if (fleet.limiters[static_cast<std::size_t>(instance)]->reserve(CUSTOMER_ID, cost)) {
                admittedCosts.emplace_back(fleet.timers.now(), cost);
                windowSum += cost;
            }
        }
        while (!admittedCosts.empty() && fleet.timers.now() - admittedCosts.front().first > absl::Seconds(8)) {
            windowSum -= admittedCosts.front().second;
            admittedCosts.pop_front();
        }
        maxWindowSum = std::max(maxWindowSum, windowSum);
    }
    INFO("seed " << seed);
    CHECK(maxWindowSum <= (RATE * 8 + RATE) * 1.1 + 140'000);
    // The tokens of the five idle instances reach the three busy ones, which would have only three eighths of the rate without grants.
    CHECK(maxWindowSum > RATE * 8 * 0.6);
}

TEST_CASE("a small customer's request passes although an instance's part of the burst is smaller")
{
    SmallFleet fleet(8, {140'000, 0.1});
    fleet.timers.advance(absl::Seconds(10));
    CHECK(fleet.limiters[0]->reserve(CUSTOMER_ID, 12'400));
}

TEST_CASE("an instance's share grows only after a departed instance has certainly stopped spending tokens")
{
    SmallFleet fleet(2, {});
    fleet.timers.advance(absl::Seconds(10));
    gateway::RateLimiter &limiter = *fleet.limiters[0];
    REQUIRE(limiter.reserve(CUSTOMER_ID, RATE / 2));
    limiter.setInstanceCount(1);
    fleet.timers.advance(absl::Seconds(5));
    CHECK(limiter.reports().front().balance <= RATE / 2);
    fleet.timers.advance(absl::Seconds(3));
    CHECK(limiter.reports().front().balance > RATE / 2);
}

TEST_CASE("a small customer's large requests are admitted in a large fleet, since instances ask each other for tokens")
{
    // A customer with a rate of 36,000 tokens per second sends requests of 12,000 tokens at 0.55 of its rate, each to a random instance.
    // An instance's share of the burst is 1,861 tokens, so each request alone would leave a negative balance that takes 20 s to refill.
    constexpr double CUSTOMER_RATE = 36'000;
    constexpr double REQUEST_COST = 12'000;
    const bool canRequestTokens = GENERATE(true, false);
    LargeFleet fleet(CUSTOMER_RATE, canRequestTokens);
    // Lets the buckets fill up, as in a fleet that has been running: started processes have no tokens, and the refill takes 3.5 s.
    fleet.timers.advance(absl::Seconds(4));
    int sent = 0;
    int admitted = 0;
    for (int step = 0; step < 2400; ++step) {
        fleet.timers.advance(absl::Milliseconds(25));
        if (std::uniform_real_distribution<double>(0, 1)(fleet.random) < 0.55 * CUSTOMER_RATE / REQUEST_COST / 40) {
            ++sent;
            admitted += fleet.request(REQUEST_COST) ? 1 : 0;
        }
    }
    INFO("sent " << sent << " admitted " << admitted);
    REQUIRE(sent > 60);
    if (canRequestTokens) {
        // One or two in a hundred may follow another request at the same instance too closely.
        CHECK(admitted * 100 >= sent * 98);
    } else {
        CHECK(admitted < sent * 9 / 10);
    }
}

TEST_CASE("an instance that reaches no other one goes on with its own part, also for large requests")
{
    LargeFleet fleet(36'000, false);
    gateway::RateLimiter &limiter = *fleet.limiters.front();
    int admitted = 0;
    for (int step = 0; step < 1200; ++step) {
        fleet.timers.advance(absl::Milliseconds(100));
        admitted += limiter.reserve(CUSTOMER_ID, 5000).has_value() ? 1 : 0;
    }
    // Two minutes at 500 tokens per second pay for 12 requests.
    CHECK(admitted >= 9);
    CHECK(admitted <= 13);
}

TEST_CASE("a customer that sends four times its usual through a large fleet stays within its limit in any eight seconds")
{
    // The load of the scenario deploy/days/two-at-once.toml on sifon-central-grown: requests of 800 to 30,000 tokens at more than twice
    // the rate, starting with full buckets.
    constexpr double CUSTOMER_RATE = 172'000;
    constexpr double MEAN_COST = 5'000;
    const absl::Duration window = absl::Seconds(8);
    LargeFleet fleet(CUSTOMER_RATE, true);
    fleet.timers.advance(absl::Seconds(30));
    std::deque<std::pair<absl::Time, double>> admittedCosts;
    double windowSum = 0;
    double maxWindowSum = 0;
    for (int step = 0; step < 4000; ++step) {
        fleet.timers.advance(absl::Milliseconds(5));
        if (std::uniform_real_distribution<double>(0, 1)(fleet.random) < 2.2 * CUSTOMER_RATE / MEAN_COST / 200) {
            const double cost = std::min(30'000.0, 800 + std::exponential_distribution<double>(1.0 / (MEAN_COST - 800))(fleet.random));
            if (fleet.request(cost)) {
                admittedCosts.emplace_back(fleet.timers.now(), cost);
                windowSum += cost;
            }
        }
        while (!admittedCosts.empty() && fleet.timers.now() - admittedCosts.front().first > window) {
            windowSum -= admittedCosts.front().second;
            admittedCosts.pop_front();
        }
        maxWindowSum = std::max(maxWindowSum, windowSum);
    }
    const double limit = (CUSTOMER_RATE * absl::ToDoubleSeconds(window) + CUSTOMER_RATE) * 1.1 + 140'000;
    INFO("maximum " << maxWindowSum << " limit " << limit << " token requests " << fleet.tokenRequests);
    CHECK(maxWindowSum <= limit);
    // When all instances are short, a request for tokens brings little, so each instance sends about two per second. It sends a few more while
    // tokens are left.
    CHECK(fleet.tokenRequests < 3 * LargeFleet::INSTANCES * 20);
    // The customer gets what its rate and burst permit, except for a tenth that is left in the buckets of other regions.
    CHECK(maxWindowSum > 0.9 * (CUSTOMER_RATE * absl::ToDoubleSeconds(window) + CUSTOMER_RATE));
}

TEST_CASE("instances that all start at once and learn of each other one by one keep a customer's limit")
{
    // Found by tests/soak with seeds 1, 102 and 200. At the first start, or after a power failure that lasts until the announcements have
    // expired, each of six instances first knows only itself and learns of the others within a second. A customer sends twice its rate
    // from the start.
    constexpr int INSTANCES = 6;
    constexpr double CUSTOMER_RATE = 2500;
    constexpr double SLACK = 2000;
    core::VirtualTimerService timers;
    std::vector<std::unique_ptr<gateway::RateLimiter>> limiters;
    SlidingWindowSum admittedTokens;
    for (int step = 0; step < 2000; ++step) {
        timers.advance(absl::Milliseconds(5));
        // One more instance starts every 100 ms, and all instances learn of it 50 ms later.
        if (step % 20 == 0 && limiters.size() < INSTANCES) {
            limiters.push_back(std::make_unique<gateway::RateLimiter>(gateway::AllowanceSettings{SLACK, 0.1}, timers));
            limiters.back()->setInstanceCount(1);
            limiters.back()->configure({limitedCustomer(CUSTOMER_RATE, CUSTOMER_RATE)});
        }
        if (step % 20 == 10) {
            for (const std::unique_ptr<gateway::RateLimiter> &limiter : limiters) {
                limiter->setInstanceCount(static_cast<int>(limiters.size()));
            }
        }
        const double cost = 125;
        gateway::RateLimiter &limiter = *limiters[static_cast<std::size_t>(step) % limiters.size()];
        if (step % 5 == 0 && limiter.reserve(CUSTOMER_ID, cost)) {
            admittedTokens.add(timers.now(), cost);
        }
        if (step % 5 == 2 && limiter.reserve(CUSTOMER_ID, cost)) {
            admittedTokens.add(timers.now(), cost);
        }
    }
    // Full buckets permit the whole burst at once. At the start, less than one second's rate is lost.
    CHECK(admittedTokens.maxWindowSum() <= (CUSTOMER_RATE * 8 + CUSTOMER_RATE) * 1.1 + SLACK);
    CHECK(admittedTokens.maxWindowSum() >= CUSTOMER_RATE * 6);
}

TEST_CASE("a third of a large fleet that is killed and comes back adds nothing to a customer's limit")
{
    // Found in the scenario deploy/days/two-at-once.toml on sifon-central-grown, seed 307417727040: 30 % of 72 processes are killed just
    // when a customer sends four times its usual load. Each restarts a second later, without the negative balances of its large requests.
    constexpr double CUSTOMER_RATE = 172'000;
    constexpr double MEAN_COST = 5'000;
    constexpr std::size_t RESTARTED_INSTANCES = 22;
    LargeFleet fleet(CUSTOMER_RATE, true);
    fleet.timers.advance(absl::Seconds(30));
    SlidingWindowSum admittedTokens;
    for (int step = 0; step < 4000; ++step) {
        fleet.timers.advance(absl::Milliseconds(5));
        for (std::size_t index = 0; step == 200 && index < RESTARTED_INSTANCES; ++index) {
            fleet.restart(index, CUSTOMER_RATE);
        }
        if (std::uniform_real_distribution<double>(0, 1)(fleet.random) < 2.2 * CUSTOMER_RATE / MEAN_COST / 200) {
            const double cost = std::min(30'000.0, 800 + std::exponential_distribution<double>(1.0 / (MEAN_COST - 800))(fleet.random));
            if (fleet.request(cost)) {
                admittedTokens.add(fleet.timers.now(), cost);
            }
        }
    }
    const double limit = (CUSTOMER_RATE * 8 + CUSTOMER_RATE) * 1.1 + 140'000;
    INFO("maximum " << admittedTokens.maxWindowSum() << " limit " << limit);
    CHECK(admittedTokens.maxWindowSum() <= limit);
    CHECK(admittedTokens.maxWindowSum() > 0.85 * CUSTOMER_RATE * 9);
}

TEST_CASE("the idle tokens of a large region are at its relay when a request comes")
{
    core::VirtualTimerService timers;
    constexpr int COUNT = 98;
    std::vector<std::unique_ptr<gateway::RateLimiter>> limiters;
    for (int index = 0; index < COUNT; ++index) {
        limiters.push_back(std::make_unique<gateway::RateLimiter>(gateway::AllowanceSettings(), timers));
        limiters.back()->setUsesRelays(true);
        limiters.back()->setInstanceCount(COUNT);
        limiters.back()->configure({limitedCustomer()});
    }
    gateway::RateLimiter &relay = *limiters.front();
    const auto balanceOf = [](gateway::RateLimiter &limiter) {
        return limiter.reports().front().balance;
    };
    double before = 0;
    for (const std::unique_ptr<gateway::RateLimiter> &limiter : limiters) {
        before += balanceOf(*limiter);
    }
    for (int round = 0; round < 5; ++round) {
        for (int index = 1; index < COUNT; ++index) {
            const core::InstanceId client(std::to_string(index));
            relay.noteClientReports(client, limiters[index]->reports());
            limiters[index]->receive(relay.grantsFor(client, limiters[index]->reports()));
            relay.receive(limiters[index]->grantsFor(core::InstanceId("relay"), relay.reports()));
        }
    }
    double after = 0;
    for (const std::unique_ptr<gateway::RateLimiter> &limiter : limiters) {
        after += balanceOf(*limiter);
    }
    // Tokens move, and none appear.
    CHECK(after <= before * 1.000001);
    CHECK(balanceOf(relay) > 0.6 * after);
    CHECK(relay.grantOnRequest(CUSTOMER_ID, 12'000) == Approx(12'000));
}
