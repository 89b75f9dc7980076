#include "fixture.h"
#include "support/seeds.h"

#include <random>

using namespace snipeferry;
using namespace snipeferry::tests;

namespace {

constexpr absl::Duration STEP = absl::Milliseconds(20);
/** Longest time for which a backend server that has left may get requests, GatewaySettings::serverDrainTime. */
constexpr absl::Duration DRAIN_TIME = absl::Seconds(3);
/** Bound of the users' platform within which a living backend server is announced again after the store's return. */
constexpr absl::Duration REPORT_AFTER_RETURN = absl::Seconds(2);
/** A removal that an instance reads so long after the store's return. */
constexpr absl::Duration REMOVED_AFTER_RETURN = absl::Milliseconds(300);
const core::InstanceId PEER("gw-2");

/** A gateway that calls a store which may fail. Both backend servers are announced. */
struct ContactFixture : GatewayFixture
{
    ContactFixture()
    {
        start();
        gateway.linkUp(member(PEER.value(), "north"));
    }

    /** Lets time pass; the store confirms once a second, unless it is away. */
    void pass(absl::Duration time, bool isAway = false)
    {
        const absl::Time end = timers.now() + time;
        while (timers.now() < end) {
            timers.advance(std::min(STEP, end - timers.now()));
            if (!isAway && timers.now() - m_confirmedAt >= absl::Seconds(1)) {
                answer();
            }
        }
    }

    void answer()
    {
        m_confirmedAt = timers.now();
        confirm();
    }

    /** A single call fails, and the next one is answered. */
    void failOnce(absl::Duration untilAnswer = absl::Milliseconds(100))
    {
        gateway.storeFailed();
        timers.advance(untilAnswer);
        answer();
    }

    /** The store is away: calls fail from its loss on, and one is answered at its return. */
    void loseStore(absl::Duration time)
    {
        gateway.storeFailed();
        pass(time, true);
        gateway.storeFailed();
        answer();
    }

    /** Calls that wait are closed in turn, for as long as the caller wants. */
    void passWithCuts(absl::Duration time, absl::Duration interval)
    {
        const absl::Time end = timers.now() + time;
        while (timers.now() < end) {
            if (timers.now() - m_cutAt >= interval) {
                failOnce();
                m_cutAt = timers.now();
            }
            pass(STEP);
        }
    }

    void withdrawBoth()
    {
        withdraw("s1");
        withdraw("s2");
    }

    bool isServed()
    {
        const std::shared_ptr<Answer> answer = ask("/once/x");
        if (answer->finalCount != 0) {
            return false;
        }
        succeed("done");
        return true;
    }

    void hear(const gateway::FleetMessage &message)
    {
        gateway.received(PEER, message);
    }

    /** The peer of the region has had an answer of the store. */
    void hearOfAnswer(absl::Duration ago)
    {
        gateway::Pulse pulse;
        pulse.sentAt = ++m_pulses;
        pulse.echo = absl::ToUnixNanos(timers.now() - absl::Milliseconds(10));
        pulse.storeAnsweredAgo = ago;
        hear(pulse);
    }

    /** The announcement of a backend server is missing in an update that the peer has read. */
    gateway::RecordsUpdate removal(const std::string &name, std::vector<gateway::LapsedRecord> lapsed)
    {
        const core::Revision after = revision;
        ++revision;
        return {gateway::Topic::BackendServers, after, revision, {{name, std::nullopt, revision}}, std::move(lapsed)};
    }

private:
    absl::Time m_confirmedAt = absl::InfinitePast();
    absl::Time m_cutAt = absl::InfinitePast();
    std::int64_t m_pulses = 0;
};

} // namespace

// Guards against a removed backend server that stays in use for as long as single calls to the store fail (DRAIN).
TEST_CASE("a removed backend server is not kept because waiting calls to the store are closed again and again")
{
    const absl::Duration interval = GENERATE(absl::Milliseconds(300), absl::Seconds(1), absl::Seconds(2), absl::Milliseconds(3900));
    // The removal falls before a cut, after it, and everywhere between.
    for (absl::Duration offset; offset < absl::Seconds(2); offset += absl::Milliseconds(100)) {
        ContactFixture fixture;
        fixture.passWithCuts(absl::Seconds(9) + offset, interval);
        fixture.withdrawBoth();
        fixture.passWithCuts(DRAIN_TIME, interval);
        INFO("calls closed every " << interval << ", removal " << offset << " later");
        CHECK_FALSE(fixture.isServed());
    }
}

// Guards against a removal that is kept because a call failed once, at any time around it (DRAIN).
TEST_CASE("a removed backend server gets no requests after the drain time, whenever one call fails")
{
    for (absl::Duration failsAt; failsAt < absl::Seconds(5); failsAt += absl::Milliseconds(100)) {
        ContactFixture fixture;
        fixture.pass(absl::Seconds(8));
        const absl::Time removedAt = fixture.timers.now() + absl::Seconds(2);
        fixture.pass(std::min(failsAt, absl::Seconds(2)));
        if (failsAt < absl::Seconds(2)) {
            fixture.failOnce();
            fixture.pass(removedAt - fixture.timers.now());
        }
        fixture.withdrawBoth();
        if (failsAt >= absl::Seconds(2)) {
            fixture.pass(failsAt - absl::Seconds(2));
            fixture.failOnce();
        }
        fixture.pass(removedAt + DRAIN_TIME - fixture.timers.now());
        INFO("failed call at " << failsAt);
        CHECK_FALSE(fixture.isServed());
    }
}

// Guards against living backend servers that are lost to callers because their announcements lapsed in an outage (LOST).
TEST_CASE("a living backend server stays in use over an outage of the store until it is announced again")
{
    const absl::Duration outage = GENERATE(absl::Milliseconds(500), absl::Seconds(3), absl::Seconds(10));
    const bool isMissingAtReturn = GENERATE(true, false);
    const bool isTroubledTwice = GENERATE(false, true);
    ContactFixture fixture;
    fixture.pass(absl::Seconds(8));
    fixture.gateway.storeFailed();
    fixture.pass(outage, true);
    if (!isMissingAtReturn) {
        fixture.answer();
        fixture.pass(REMOVED_AFTER_RETURN);
    }
    fixture.withdrawBoth();
    CHECK(fixture.isServed());
    if (isTroubledTwice) {
        fixture.pass(absl::Milliseconds(500));
        fixture.loseStore(absl::Seconds(4));
    }
    // It is announced at the last moment.
    const bool isReturnedNow = isTroubledTwice || isMissingAtReturn;
    const absl::Time announcedAt = fixture.timers.now() + REPORT_AFTER_RETURN - (isReturnedNow ? absl::ZeroDuration() : REMOVED_AFTER_RETURN);
    while (fixture.timers.now() < announcedAt) {
        CHECK(fixture.isServed());
        fixture.pass(absl::Milliseconds(100));
        fixture.failOnce(absl::Milliseconds(20));
    }
    fixture.announce(GatewayFixture::server("s1"));
    fixture.pass(absl::Seconds(5));
    CHECK(fixture.isServed());
}

// Guards against a bound that is renewed: in any order of failed calls, answers, removals and outages (DRAIN).
TEST_CASE("a missing backend server is kept for a bounded working time of the store in any order of events")
{
    for (const std::uint64_t seed : testing::seeds(60)) {
        std::mt19937_64 random(seed);
        const auto draw = [&random](double low, double high) {
            return std::uniform_real_distribution<double>(low, high)(random);
        };
        ContactFixture fixture;
        fixture.pass(draw(0, 4) * absl::Seconds(1));
        absl::Duration away;
        bool isLostSinceRemoval = false;
        absl::Time removedAt = absl::InfiniteFuture();
        for (int event = 0; event < 80; ++event) {
            const double kind = draw(0, 1);
            if (kind < 0.45) {
                fixture.failOnce(draw(0, 0.35) * absl::Seconds(1));
            } else if (kind < 0.6) {
                const absl::Duration outage = draw(0.4, 4) * absl::Seconds(1);
                fixture.loseStore(outage);
                isLostSinceRemoval = removedAt < absl::InfiniteFuture();
                away += isLostSinceRemoval ? outage : absl::ZeroDuration();
            } else if (kind < 0.7 && removedAt == absl::InfiniteFuture()) {
                fixture.withdrawBoth();
                removedAt = fixture.timers.now();
            }
            fixture.pass(draw(0, 0.5) * absl::Seconds(1));
            INFO("seed " << seed << ", event " << event);
            // Where the store is lost again, the time may be given twice.
            if (fixture.timers.now() - removedAt - away > (isLostSinceRemoval ? 2 * DRAIN_TIME : DRAIN_TIME)) {
                CHECK_FALSE(fixture.isServed());
            }
        }
    }
}

// Guards against an instance that neither reads the store itself nor sees its trouble, and takes lapsed announcements for removals, or the reverse.
TEST_CASE("what another instance keeps as lapsed is kept here for the time it has left there, and no longer")
{
    ContactFixture fixture;
    fixture.pass(absl::Seconds(8));
    const bool isTransfer = GENERATE(false, true);
    const std::vector<gateway::LapsedRecord> lapsed = {{"s1", absl::Milliseconds(1500)}, {"s2", absl::Minutes(1)}};
    if (isTransfer) {
        ++fixture.revision;
        fixture.hear(gateway::RecordsTransfer{gateway::Topic::BackendServers, fixture.revision, {}, lapsed});
    } else {
        fixture.hear(fixture.removal("s1", lapsed));
        fixture.hear(fixture.removal("s2", lapsed));
    }
    CHECK(fixture.isServed());
    fixture.pass(absl::Milliseconds(2400));
    CHECK(fixture.isServed());
    fixture.pass(absl::Milliseconds(400));
    CHECK_FALSE(fixture.isServed());
}

TEST_CASE("a removal that another instance has read is in force at once")
{
    ContactFixture fixture;
    fixture.pass(absl::Seconds(8));
    fixture.hear(fixture.removal("s1", {}));
    fixture.hear(fixture.removal("s2", {}));
    CHECK_FALSE(fixture.isServed());
}

// Guards against an instance that the store alone turns away, which would keep what is removed for as long as that goes on.
TEST_CASE("an instance that the store turns away keeps to what its region sees of the store")
{
    ContactFixture fixture;
    fixture.pass(absl::Seconds(8));
    for (int call = 0; call < 40; ++call) {
        fixture.gateway.storeFailed();
        fixture.pass(absl::Milliseconds(250), true);
        fixture.hearOfAnswer(absl::Milliseconds(30));
    }
    fixture.hear(fixture.removal("s1", {}));
    fixture.hear(fixture.removal("s2", {}));
    for (int call = 0; call < 12; ++call) {
        fixture.gateway.storeFailed();
        fixture.pass(absl::Milliseconds(250), true);
        fixture.hearOfAnswer(absl::Milliseconds(30));
    }
    CHECK_FALSE(fixture.isServed());
}

// Guards against a region without the store that takes its backend servers for gone, because other regions still read the store.
TEST_CASE("a region that is cut off from the store keeps its backend servers, whatever other regions read")
{
    ContactFixture fixture;
    fixture.pass(absl::Seconds(8));
    fixture.linkRemote("gw-9", "south");
    fixture.gateway.storeFailed();
    fixture.pass(absl::Seconds(4), true);
    ++fixture.revision;
    fixture.gateway.received(core::InstanceId("gw-9"), gateway::RecordsTransfer{gateway::Topic::BackendServers, fixture.revision, {}});
    for (int second = 0; second < 8; ++second) {
        CHECK(fixture.isServed());
        gateway::Pulse pulse;
        pulse.sentAt = 10 + second;
        pulse.echo = absl::ToUnixNanos(fixture.timers.now() - absl::Milliseconds(110));
        pulse.topics = {{gateway::Topic::BackendServers, fixture.revision, absl::Milliseconds(100)}};
        fixture.gateway.received(core::InstanceId("gw-9"), pulse);
        fixture.gateway.storeFailed();
        fixture.pass(absl::Seconds(1), true);
    }
}

TEST_CASE("a single failed call is no outage, and a long time without an answer is one")
{
    core::VirtualTimerService timers;
    gateway::StoreContact contact(timers, absl::Milliseconds(400));
    using Change = gateway::StoreContact::Change;
    CHECK(contact.noteAnswer() == Change::None);
    timers.advance(absl::Seconds(1));
    CHECK(contact.noteFailure() == Change::Lost);
    CHECK(contact.noteFailure() == Change::None);
    timers.advance(absl::Milliseconds(399));
    CHECK_FALSE(contact.isAway());
    CHECK(contact.workingTime() == absl::Seconds(1));
    CHECK(contact.noteAnswer() == Change::Regained);
    CHECK(contact.workingTime() == absl::Milliseconds(1399));
    CHECK(contact.workingTimeAtReturn() == -absl::InfiniteDuration());

    CHECK(contact.noteFailure() == Change::Lost);
    timers.advance(absl::Milliseconds(400));
    CHECK(contact.isAway());
    CHECK(contact.noteAnswer() == Change::RegainedAfterOutage);
    CHECK(contact.workingTime() == absl::Milliseconds(1399));
    CHECK(contact.workingTimeAtReturn() == absl::Milliseconds(1399));

    // A silent connection fails when the store is back already.
    timers.advance(absl::Seconds(3));
    CHECK(contact.noteFailure() == Change::Lost);
    timers.advance(absl::Milliseconds(50));
    CHECK(contact.noteAnswer() == Change::RegainedAfterOutage);

    // What another instance heard before the failed call says nothing.
    timers.advance(absl::Seconds(1));
    contact.noteFailure();
    timers.advance(absl::Milliseconds(100));
    CHECK(contact.notePeerAnswer(timers.now() - absl::Milliseconds(200)) == Change::None);
    CHECK(contact.isInTrouble());
    CHECK(contact.notePeerAnswer(timers.now() - absl::Milliseconds(50)) == Change::Regained);
}
