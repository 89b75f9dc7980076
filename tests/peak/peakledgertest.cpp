#include "snipeferry/peak/peakledger.h"

#include "snipeferry/peak/usetable.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <map>

using namespace snipeferry;

namespace {

const core::RegionId homeRegion("home");
const core::RegionId awayRegion("away");

configuration::Configuration twoRegions()
{
    configuration::Configuration configuration;
    configuration.regions = {{homeRegion, {{core::DataCentreId("home-1"), 1}}}, {awayRegion, {{core::DataCentreId("away-1"), 1}}}};
    return configuration;
}

membership::InstanceDescription instance(const std::string &id, const std::string &dataCentre, core::Incarnation incarnation = 1)
{
    membership::InstanceDescription description;
    description.id = core::InstanceId(id);
    description.incarnation = incarnation;
    description.dataCentre = core::DataCentreId(dataCentre);
    return description;
}

/** Instances that exchange messages and share a key-value store. The store can be made unavailable. */
struct Fleet
{
    struct Member
    {
        membership::InstanceDescription self;
        messages::Outbox outbox;
        std::unique_ptr<peak::PeakLedger> ledger;
    };

    // The start of a minute, so that tests know when the next minute begins.
    core::VirtualTimerService timers{absl::FromUnixSeconds(1'700'000'040)};
    std::vector<std::unique_ptr<Member>> members;
    std::map<std::string, platform::KeyValue> store;
    bool isStoreUp = true;
    int writeCount = 0;
    std::int64_t revision = 0;

    peak::PeakLedger &add(const membership::InstanceDescription &self)
    {
        members.push_back(std::make_unique<Member>());
        Member &member = *members.back();
        member.self = self;
        member.ledger = std::make_unique<peak::PeakLedger>(self, timers, member.outbox);
        member.ledger->configure(twoRegions());
        return *member.ledger;
    }

    void connect()
    {
        for (const auto &member : members) {
            std::vector<membership::InstanceDescription> others;
            for (const auto &other : members) {
                if (other != member) {
                    others.push_back(other->self);
                }
            }
            member->ledger->setMembers(others);
        }
    }

    void run(absl::Duration duration)
    {
        for (absl::Duration step = absl::ZeroDuration(); step < duration; step += absl::Milliseconds(500)) {
            deliver();
            timers.advance(absl::Milliseconds(500));
            deliver();
        }
    }

    void deliver()
    {
        for (const auto &member : members) {
            for (const messages::Action &action : member->outbox.take()) {
                if (const messages::SendToPeer *send = std::get_if<messages::SendToPeer>(&action)) {
                    for (const auto &other : members) {
                        if (other->self.id == send->to) {
                            other->ledger->handle(messages::PeerReceived{member->self.id, send->message});
                        }
                    }
                }
                if (const platform::Call *call = std::get_if<platform::Call>(&action)) {
                    member->ledger->handle(messages::PlatformReplied{answer(*call)});
                }
            }
        }
    }

    platform::Reply answer(const platform::Call &call)
    {
        platform::Reply reply;
        reply.id = call.id;
        if (!isStoreUp) {
            return reply;
        }
        reply.outcome = platform::Outcome::Answered;
        const platform::Transaction *transaction = std::get_if<platform::Transaction>(&call.request);
        if (transaction == nullptr) {
            for (const auto &entry : store) {
                reply.values.push_back(entry.second);
            }
            return reply;
        }
        const std::string &key = transaction->writes.front().key;
        const auto known = store.find(key);
        reply.succeeded = (known == store.end() ? 0 : known->second.modRevision) == transaction->conditions.front().modRevision;
        if (reply.succeeded) {
            store[key] = {key, *transaction->writes.front().value, ++revision};
            ++writeCount;
        } else if (known != store.end()) {
            reply.values.push_back(known->second);
        }
        reply.storeRevision = revision;
        return reply;
    }
};

peak::PeakQuery query(core::Tokens tokens, absl::Duration hold = absl::ZeroDuration())
{
    return {tokens, {homeRegion, awayRegion}, hold};
}

} // namespace

TEST_CASE("requests are served below the peak, otherwise moved, then held, and last they raise the peak")
{
    Fleet fleet;
    peak::PeakLedger &home = fleet.add(instance("a", "home-1"));
    peak::PeakLedger &away = fleet.add(instance("b", "away-1"));
    fleet.connect();
    home.record(1000);
    away.record(1000);
    fleet.run(absl::Seconds(180));

    // Neither region has used tokens in this minute, so both have capacity left under their peaks of 1000.
    CHECK(home.monthPeak(awayRegion) == 1000);
    CHECK(home.advise(query(900)).verdict == peak::PeakAdvice::Verdict::ServeNow);
    home.record(900);
    const peak::PeakAdvice moved = home.advise(query(400));
    CHECK(moved.verdict == peak::PeakAdvice::Verdict::Move);
    CHECK(moved.regions == std::vector<core::RegionId>{awayRegion});

    // The other region has reached its peak as well. Requests that can wait are held, and the others raise the peak.
    away.record(900);
    fleet.run(absl::Seconds(15));
    const peak::PeakAdvice held = home.advise(query(400, absl::Minutes(2)));
    CHECK(held.verdict == peak::PeakAdvice::Verdict::Hold);
    CHECK(held.until - fleet.timers.now() == absl::Seconds(5));
    CHECK(home.advise(query(400, absl::Seconds(2))).until - fleet.timers.now() == absl::Seconds(2));
    const peak::PeakAdvice served = home.advise(query(400));
    CHECK(served.verdict == peak::PeakAdvice::Verdict::ServeNow);
    CHECK(served.raisesPeak);
}

TEST_CASE("a held request is served when the next minute has capacity left")
{
    Fleet fleet;
    peak::PeakLedger &home = fleet.add(instance("a", "home-1"));
    home.record(1000);
    fleet.run(absl::Seconds(180));
    home.record(900);
    fleet.run(absl::Seconds(50));
    CHECK(home.advise({400, {homeRegion}, absl::Minutes(2)}).verdict == peak::PeakAdvice::Verdict::Hold);
    fleet.run(absl::Seconds(15));
    CHECK(home.advise({400, {homeRegion}, absl::Minutes(2)}).verdict == peak::PeakAdvice::Verdict::ServeNow);
}

TEST_CASE("tokens sent to a region count until its reports include them")
{
    Fleet fleet;
    peak::PeakLedger &home = fleet.add(instance("a", "home-1"));
    peak::PeakLedger &away = fleet.add(instance("b", "away-1"));
    fleet.connect();
    home.record(1000);
    away.record(1000);
    fleet.run(absl::Seconds(180));
    home.record(1000);
    CHECK(home.advise(query(300)).verdict == peak::PeakAdvice::Verdict::Move);
    home.noteMoved(awayRegion, 800);
    CHECK(home.advise(query(300)).verdict != peak::PeakAdvice::Verdict::Move);
    fleet.run(absl::Seconds(11));
    CHECK(home.advise(query(300)).verdict == peak::PeakAdvice::Verdict::Move);
}

TEST_CASE("holds of a burst are spread over the hold limit")
{
    double sum = 0;
    for (int i = 0; i < 1000; ++i) {
        const double share = peak::holdShare(core::RequestId(std::to_string(i)));
        REQUIRE(share >= 0);
        REQUIRE(share < 1);
        sum += share;
    }
    CHECK(sum / 1000 == Approx(0.5).margin(0.05));
}

TEST_CASE("reserved tokens of running requests count as used")
{
    Fleet fleet;
    peak::PeakLedger &home = fleet.add(instance("a", "home-1"));
    home.record(1000);
    fleet.run(absl::Seconds(180));
    home.reserve(800);
    CHECK(home.advise({300, {homeRegion}, absl::ZeroDuration()}).raisesPeak);
    home.release(800);
    CHECK_FALSE(home.advise({300, {homeRegion}, absl::ZeroDuration()}).raisesPeak);
}

TEST_CASE("eight instances agree within seconds and write once a minute and region")
{
    Fleet fleet;
    for (int i = 0; i < 8; ++i) {
        fleet.add(instance("i" + std::to_string(i), i < 4 ? "home-1" : "away-1"));
    }
    fleet.connect();
    for (const auto &member : fleet.members) {
        member->ledger->record(100);
    }
    fleet.run(absl::Seconds(20));
    for (const auto &member : fleet.members) {
        CHECK(member->ledger->minuteUse(homeRegion) == 400);
        CHECK(member->ledger->monthPeak(awayRegion) == 400);
    }
    fleet.writeCount = 0;
    fleet.run(absl::Minutes(10));
    CHECK(fleet.writeCount == 20);
}

TEST_CASE("the peak survives the loss of every instance, and a restarted one loses no recorded use")
{
    Fleet fleet;
    fleet.add(instance("a", "home-1")).record(500);
    fleet.run(absl::Seconds(30));
    fleet.members.clear();
    peak::PeakLedger &restarted = fleet.add(instance("a", "home-1", 2));
    fleet.run(absl::Seconds(1));
    CHECK(restarted.monthPeak(homeRegion) == 500);
    restarted.record(300);
    CHECK(restarted.minuteUse(homeRegion) == 800);
}

TEST_CASE("the ledger goes on without the platform and writes when it is available again")
{
    Fleet fleet;
    fleet.isStoreUp = false;
    peak::PeakLedger &home = fleet.add(instance("a", "home-1"));
    home.record(700);
    fleet.run(absl::Minutes(3));
    CHECK(home.monthPeak(homeRegion) == 700);
    CHECK(fleet.writeCount == 0);
    fleet.isStoreUp = true;
    fleet.run(absl::Minutes(2));
    CHECK(fleet.store.at("/snipeferry/peak/home").value.find("700") != std::string::npos);
}

TEST_CASE("merging is idempotent, commutative and monotone")
{
    const bool passed = rc::check("same totals and peaks in any order and any number of times", [] {
        std::vector<peak::MinuteUse> uses;
        const int useCount = *rc::gen::inRange(0, 30);
        uses.reserve(static_cast<std::size_t>(useCount));
        for (int i = 0; i < useCount; ++i) {
            uses.push_back({core::InstanceId(std::to_string(*rc::gen::inRange(0, 4))), homeRegion, 100 + *rc::gen::inRange(0, 3), *rc::gen::inRange(0, 1000)});
        }
        peak::UseTable inOrder;
        core::Tokens last = 0;
        for (const peak::MinuteUse &use : uses) {
            inOrder.merge(use, absl::UnixEpoch());
            RC_ASSERT(inOrder.peak(homeRegion, 0) >= last);
            last = inOrder.peak(homeRegion, 0);
        }
        peak::UseTable reversed;
        for (int repeat = 0; repeat < 2; ++repeat) {
            for (auto use = uses.rbegin(); use != uses.rend(); ++use) {
                reversed.merge(*use, absl::UnixEpoch());
            }
        }
        for (std::int64_t minute = 100; minute < 103; ++minute) {
            RC_ASSERT(inOrder.total(homeRegion, minute) == reversed.total(homeRegion, minute));
        }
        RC_ASSERT(inOrder.peak(homeRegion, 0) == reversed.peak(homeRegion, 0));
    });
    CHECK(passed);
}

TEST_CASE("months are counted in UTC from the epoch")
{
    CHECK(peak::monthOf(0) == 0);
    CHECK(peak::monthOf(peak::minuteOf(absl::FromUnixSeconds(1'700'000'000))) == (2023 - 1970) * 12 + 10);
}
