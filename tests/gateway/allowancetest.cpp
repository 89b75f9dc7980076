#include "snipeferry/gateway/allowancebook.h"

#include <catch2/catch.hpp>

#include <deque>
#include <memory>
#include <random>

using namespace snipeferry;

namespace {

constexpr double RATE = 40'000;
const core::CustomerId BAR("bar");

gateway::Customer bar(double rate = RATE, double burst = RATE)
{
    gateway::Customer customer;
    customer.id = BAR;
    customer.ratePerSecond = rate;
    customer.burst = burst;
    return customer;
}

/** Several instances that share one customer's allowance over links that may lose grants. */
struct AllowanceFleet
{
    AllowanceFleet(int count, gateway::AllowanceSettings settings)
    {
        for (int index = 0; index < count; ++index) {
            books.push_back(std::make_unique<gateway::AllowanceBook>(settings, timers));
            books.back()->setInstanceCount(count);
            books.back()->configure({bar()});
        }
    }

    void exchange(double lossShare, std::mt19937_64 &random)
    {
        for (std::size_t giver = 0; giver < books.size(); ++giver) {
            for (std::size_t taker = 0; taker < books.size(); ++taker) {
                if (giver == taker) {
                    continue;
                }
                const std::vector<gateway::AllowanceGrant> grants = books[giver]->grantsFor(core::InstanceId("x"), books[taker]->reports());
                if (std::uniform_real_distribution<double>(0, 1)(random) >= lossShare) {
                    books[taker]->receive(grants);
                }
            }
        }
    }

    core::VirtualTimerService timers;
    std::vector<std::unique_ptr<gateway::AllowanceBook>> books;
};

/** 72 instances in three regions that ask the others of their region when they run short. */
struct LargeFleet
{
    LargeFleet(double rate, bool asks)
    {
        isAsking = asks;
        books.resize(INSTANCES);
        for (std::size_t index = 0; index < INSTANCES; ++index) {
            restart(index, rate);
        }
    }

    /** Replaces an instance by a fresh process, which knows all others from the store. */
    void restart(std::size_t index, double rate)
    {
        books[index] = std::make_unique<gateway::AllowanceBook>(gateway::AllowanceSettings{140'000, 0.1}, timers);
        books[index]->setInstanceCount(INSTANCES);
        books[index]->configure({bar(rate, rate)});
        if (isAsking) {
            books[index]->shortages().subscribe([this, index](const gateway::AllowanceShortage &shortage) { ask(static_cast<int>(index), shortage); });
        }
    }

    void ask(int index, const gateway::AllowanceShortage &shortage)
    {
        constexpr int REGION = 24;
        constexpr int ASKED = 16;
        ++asked;
        for (int step = 1; step <= ASKED; ++step) {
            const int peer = index / REGION * REGION + (index + step) % REGION;
            const double tokens = books[static_cast<std::size_t>(peer)]->giveOnDemand(BAR, shortage.tokens * 2 / ASKED);
            books[static_cast<std::size_t>(index)]->receive({{BAR, tokens}});
        }
    }

    /** A request at any instance; one that is short of tokens waits for those that were asked for. */
    bool request(double cost)
    {
        gateway::AllowanceBook &book = *books[std::uniform_int_distribution<std::size_t>(0, INSTANCES - 1)(random)];
        return book.reserve(BAR, cost).has_value() || book.reserve(BAR, cost).has_value();
    }

    static constexpr int INSTANCES = 72;
    std::mt19937_64 random{3};
    core::VirtualTimerService timers;
    std::vector<std::unique_ptr<gateway::AllowanceBook>> books;
    int asked = 0;
    bool isAsking = false;
};

/** Tokens that were taken, and the most in any eight seconds. */
class Takings
{
public:
    void add(absl::Time at, double tokens)
    {
        while (!m_taken.empty() && at - m_taken.front().first > WINDOW) {
            m_inWindow -= m_taken.front().second;
            m_taken.pop_front();
        }
        m_taken.emplace_back(at, tokens);
        m_inWindow += tokens;
        m_most = std::max(m_most, m_inWindow);
    }

    double most() const
    {
        return m_most;
    }

    static constexpr absl::Duration WINDOW = absl::Seconds(8);

private:
    std::deque<std::pair<absl::Time, double>> m_taken;
    double m_inWindow = 0;
    double m_most = 0;
};

} // namespace

TEST_CASE("instances together keep a customer's allowance, whatever grants are lost")
{
    // Pattern: one customer sends many times its rate through three of eight instances; a third of the grants is lost.
    const std::uint64_t seed = GENERATE(1, 2, 3, 4, 5, 6, 7, 8);
    std::mt19937_64 random(seed);
    const gateway::AllowanceSettings settings{140'000, 0.1};
    AllowanceFleet fleet(8, settings);
    std::deque<std::pair<absl::Time, double>> taken;
    double inWindow = 0;
    double most = 0;
    for (int step = 0; step < 2000; ++step) {
        fleet.timers.advance(absl::Milliseconds(20));
        if (step % 10 == 0) {
            fleet.exchange(0.33, random);
        }
        for (int instance = 0; instance < 3; ++instance) {
            const double cost = std::uniform_real_distribution<double>(500, 12'000)(random);
            if (fleet.books[static_cast<std::size_t>(instance)]->reserve(BAR, cost)) {
                taken.emplace_back(fleet.timers.now(), cost);
                inWindow += cost;
            }
        }
        while (!taken.empty() && fleet.timers.now() - taken.front().first > absl::Seconds(8)) {
            inWindow -= taken.front().second;
            taken.pop_front();
        }
        most = std::max(most, inWindow);
    }
    INFO("seed " << seed);
    CHECK(most <= (RATE * 8 + RATE) * 1.1 + 140'000);
    // Tokens of the five idle instances reach the three busy ones: without grants these have three eighths of the rate.
    CHECK(most > RATE * 8 * 0.6);
}

TEST_CASE("a small customer's request passes although an instance's part of the burst is smaller")
{
    AllowanceFleet fleet(8, {140'000, 0.1});
    fleet.timers.advance(absl::Seconds(10));
    CHECK(fleet.books[0]->reserve(BAR, 12'400));
}

TEST_CASE("parts grow only after an instance that left has surely stopped spending")
{
    AllowanceFleet fleet(2, {});
    fleet.timers.advance(absl::Seconds(10));
    gateway::AllowanceBook &book = *fleet.books[0];
    REQUIRE(book.reserve(BAR, RATE / 2));
    book.setInstanceCount(1);
    fleet.timers.advance(absl::Seconds(5));
    CHECK(book.reports().front().balance <= RATE / 2);
    fleet.timers.advance(absl::Seconds(3));
    CHECK(book.reports().front().balance > RATE / 2);
}

TEST_CASE("a small customer's large requests are admitted in a large fleet, since instances ask each other for tokens")
{
    // Pattern: a customer of 36,000 tokens a second sends plans of 12,000 tokens at 0.55 of its rate, each to any instance. An equal part of
    // its burst is 1,861 tokens, so each plan would leave a debt that the part pays off in 20 s.
    constexpr double CUSTOMER_RATE = 36'000;
    constexpr double PLAN = 12'000;
    const bool asks = GENERATE(true, false);
    LargeFleet fleet(CUSTOMER_RATE, asks);
    // A fleet in service: started processes have nothing, and an equal part of the burst is refilled in 3.5 s.
    fleet.timers.advance(absl::Seconds(4));
    int sent = 0;
    int admitted = 0;
    for (int step = 0; step < 2400; ++step) {
        fleet.timers.advance(absl::Milliseconds(25));
        if (std::uniform_real_distribution<double>(0, 1)(fleet.random) < 0.55 * CUSTOMER_RATE / PLAN / 40) {
            ++sent;
            admitted += fleet.request(PLAN) ? 1 : 0;
        }
    }
    INFO("sent " << sent << " admitted " << admitted);
    REQUIRE(sent > 60);
    if (asks) {
        // In a hundred one or two may come just behind another one at the same instance.
        CHECK(admitted * 100 >= sent * 98);
    } else {
        CHECK(admitted < sent * 9 / 10);
    }
}

TEST_CASE("an instance that reaches no other one goes on with its own part, also for large requests")
{
    LargeFleet fleet(36'000, false);
    gateway::AllowanceBook &book = *fleet.books.front();
    int admitted = 0;
    for (int step = 0; step < 1200; ++step) {
        fleet.timers.advance(absl::Milliseconds(100));
        admitted += book.reserve(BAR, 5000).has_value() ? 1 : 0;
    }
    // Two minutes at 500 tokens a second.
    CHECK(admitted >= 9);
    CHECK(admitted <= 13);
}

TEST_CASE("a customer that sends four times its usual through a large fleet stays within its limit in any eight seconds")
{
    // Pattern: deploy/days/two-at-once.toml on sifon-central-grown: requests of 800 to 30,000 tokens at over twice the rate, from full buckets.
    constexpr double CUSTOMER_RATE = 172'000;
    constexpr double MEAN_COST = 5'000;
    const absl::Duration window = absl::Seconds(8);
    LargeFleet fleet(CUSTOMER_RATE, true);
    fleet.timers.advance(absl::Seconds(30));
    std::deque<std::pair<absl::Time, double>> taken;
    double inWindow = 0;
    double most = 0;
    for (int step = 0; step < 4000; ++step) {
        fleet.timers.advance(absl::Milliseconds(5));
        if (std::uniform_real_distribution<double>(0, 1)(fleet.random) < 2.2 * CUSTOMER_RATE / MEAN_COST / 200) {
            const double cost = std::min(30'000.0, 800 + std::exponential_distribution<double>(1.0 / (MEAN_COST - 800))(fleet.random));
            if (fleet.request(cost)) {
                taken.emplace_back(fleet.timers.now(), cost);
                inWindow += cost;
            }
        }
        while (!taken.empty() && fleet.timers.now() - taken.front().first > window) {
            inWindow -= taken.front().second;
            taken.pop_front();
        }
        most = std::max(most, inWindow);
    }
    const double allowed = (CUSTOMER_RATE * absl::ToDoubleSeconds(window) + CUSTOMER_RATE) * 1.1 + 140'000;
    INFO("most " << most << " allowed " << allowed << " asked " << fleet.asked);
    CHECK(most <= allowed);
    // Asking brings little when all are short, so it is rare: twice a second, and some more while tokens last.
    CHECK(fleet.asked < 3 * LargeFleet::INSTANCES * 20);
    // What is within the limit itself is served, but for a tenth that lies in other regions' buckets.
    CHECK(most > 0.9 * (CUSTOMER_RATE * absl::ToDoubleSeconds(window) + CUSTOMER_RATE));
}

TEST_CASE("instances that all start at once and learn of each other one by one keep a customer's limit")
{
    // Pattern: tests/soak seeds 1, 102 and 200: after a power failure that outlasts the announcements, or at the first start, each of six
    // instances knows itself first and hears of the others in the next second; a customer asks for twice its rate from the start.
    constexpr int INSTANCES = 6;
    constexpr double CUSTOMER_RATE = 2500;
    constexpr double SLACK = 2000;
    core::VirtualTimerService timers;
    std::vector<std::unique_ptr<gateway::AllowanceBook>> books;
    Takings takings;
    for (int step = 0; step < 2000; ++step) {
        timers.advance(absl::Milliseconds(5));
        // One instance more every 100 ms; each hears of a new one at once.
        if (step % 20 == 0 && books.size() < INSTANCES) {
            books.push_back(std::make_unique<gateway::AllowanceBook>(gateway::AllowanceSettings{SLACK, 0.1}, timers));
            books.back()->setInstanceCount(1);
            books.back()->configure({bar(CUSTOMER_RATE, CUSTOMER_RATE)});
        }
        if (step % 20 == 10) {
            for (const std::unique_ptr<gateway::AllowanceBook> &book : books) {
                book->setInstanceCount(static_cast<int>(books.size()));
            }
        }
        const double cost = 125;
        gateway::AllowanceBook &book = *books[static_cast<std::size_t>(step) % books.size()];
        if (step % 5 == 0 && book.reserve(BAR, cost)) {
            takings.add(timers.now(), cost);
        }
        if (step % 5 == 2 && book.reserve(BAR, cost)) {
            takings.add(timers.now(), cost);
        }
    }
    // Once full, the buckets hold what the limit allows at once; from the start, less than a second's rate is lost.
    CHECK(takings.most() <= (CUSTOMER_RATE * 8 + CUSTOMER_RATE) * 1.1 + SLACK);
    CHECK(takings.most() >= CUSTOMER_RATE * 6);
}

TEST_CASE("a third of a large fleet that is killed and comes back adds nothing to a customer's limit")
{
    // Pattern: deploy/days/two-at-once.toml on sifon-central-grown, seed 307417727040: 30 % of 72 processes are killed at the moment at which a
    // customer sends four times its usual; each comes back a second later without the debts that its large requests had left.
    constexpr double CUSTOMER_RATE = 172'000;
    constexpr double MEAN_COST = 5'000;
    constexpr std::size_t KILLED = 22;
    LargeFleet fleet(CUSTOMER_RATE, true);
    fleet.timers.advance(absl::Seconds(30));
    Takings takings;
    for (int step = 0; step < 4000; ++step) {
        fleet.timers.advance(absl::Milliseconds(5));
        for (std::size_t index = 0; step == 200 && index < KILLED; ++index) {
            fleet.restart(index, CUSTOMER_RATE);
        }
        if (std::uniform_real_distribution<double>(0, 1)(fleet.random) < 2.2 * CUSTOMER_RATE / MEAN_COST / 200) {
            const double cost = std::min(30'000.0, 800 + std::exponential_distribution<double>(1.0 / (MEAN_COST - 800))(fleet.random));
            if (fleet.request(cost)) {
                takings.add(fleet.timers.now(), cost);
            }
        }
    }
    const double allowed = (CUSTOMER_RATE * 8 + CUSTOMER_RATE) * 1.1 + 140'000;
    INFO("most " << takings.most() << " allowed " << allowed);
    CHECK(takings.most() <= allowed);
    CHECK(takings.most() > 0.85 * CUSTOMER_RATE * 9);
}
