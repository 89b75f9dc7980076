#include "fixture.h"

using namespace snipeferry;
using namespace snipeferry::tests;

namespace {

struct QuarantineFixture
{
    QuarantineFixture()
        : quarantine(absl::Milliseconds(1200), timers, journal)
    {
    }

    static std::vector<gateway::PromptPart> parts(const std::string &shared)
    {
        return {{shared, 100}, {"own", 10}};
    }

    /** A backend server that ends with one run in work and refuses the next connection. */
    void crash(const std::string &name, const std::string &part)
    {
        const gateway::BackendServer server = GatewayFixture::server(name);
        quarantine.addFailedRun(server, parts(part), gateway::AnswerProgress::Begun, gateway::REASON_ANSWER_BROKEN_OFF);
        quarantine.addFailedRun(server, {}, gateway::AnswerProgress::NotBegun, gateway::REASON_CONNECT_REFUSED);
        timers.advance(absl::Seconds(1));
    }

    bool isQuarantined(const std::string &part)
    {
        return quarantine.find(core::ServiceId("booking"), parts(part)) != nullptr;
    }

    static gateway::CrashReport report(const std::string &server, absl::Duration ago)
    {
        return {core::BackendServerId(server), 0, core::ServiceId("booking"), ago, {{"bad", gateway::AnswerProgress::Begun}}};
    }

    core::VirtualTimerService timers;
    FakeJournal journal;
    gateway::PromptQuarantine quarantine;
};

} // namespace

// Guards against one crash that counts for each instance that reports it, or for each copy of a report.
TEST_CASE("reports of one crash that come twice, late and in any order count once")
{
    QuarantineFixture fixture;
    for (int copy = 0; copy < 5; ++copy) {
        fixture.quarantine.receive({{QuarantineFixture::report("s2", absl::Milliseconds(500 + copy))}, {}, {}});
        fixture.quarantine.receive({{QuarantineFixture::report("s1", absl::Seconds(2))}, {}, {}});
        fixture.timers.advance(absl::Milliseconds(200));
    }
    fixture.timers.advance(absl::Seconds(2));
    CHECK_FALSE(fixture.isQuarantined("bad"));
    CHECK(fixture.quarantine.receive({{QuarantineFixture::report("s1", absl::Seconds(4))}, {}, {}}).isEmpty());
    fixture.quarantine.receive({{QuarantineFixture::report("s3", absl::Seconds(1))}, {}, {}});
    fixture.timers.advance(absl::Seconds(1));
    CHECK(fixture.isQuarantined("bad"));
}

// Guards against blame by ends that are no crash: drains, silence, ends by this side, and a server that goes on.
TEST_CASE("drains, silent connections and connections that a server ends alone are no crashes")
{
    QuarantineFixture fixture;
    for (int count = 0; count < 6; ++count) {
        gateway::BackendServer draining = GatewayFixture::server(absl::StrCat("d", count));
        draining.isDraining = true;
        fixture.quarantine.addFailedRun(draining, QuarantineFixture::parts("p"), gateway::AnswerProgress::Begun, gateway::REASON_ANSWER_BROKEN_OFF);
        fixture.quarantine.addFailedRun(draining, {}, gateway::AnswerProgress::NotBegun, gateway::REASON_CONNECT_REFUSED);
        const gateway::BackendServer silent = GatewayFixture::server(absl::StrCat("s", count));
        fixture.quarantine.addFailedRun(silent, QuarantineFixture::parts("p"), gateway::AnswerProgress::Begun, gateway::REASON_CONNECTION_SILENT);
        fixture.quarantine.addFailedRun(silent, {}, gateway::AnswerProgress::NotBegun, gateway::REASON_CONNECT_REFUSED);
        const gateway::BackendServer sound = GatewayFixture::server(absl::StrCat("g", count));
        fixture.quarantine.addFailedRun(sound, QuarantineFixture::parts("p"), gateway::AnswerProgress::Begun, gateway::REASON_ANSWER_BROKEN_OFF);
        fixture.timers.advance(absl::Seconds(1));
    }
    fixture.timers.advance(absl::Seconds(10));
    CHECK_FALSE(fixture.isQuarantined("p"));
}

// Guards against an end of an announcement that is not taken as the sign of a crash where nobody connects again.
TEST_CASE("the end of a backend server's announcement confirms its crash")
{
    QuarantineFixture fixture;
    for (const char *name : {"s1", "s2", "s3"}) {
        fixture.quarantine.addFailedRun(
            GatewayFixture::server(name), QuarantineFixture::parts("bad"), gateway::AnswerProgress::Begun, gateway::REASON_ANSWER_BROKEN_OFF);
        fixture.timers.advance(absl::Seconds(1));
    }
    CHECK_FALSE(fixture.isQuarantined("bad"));
    for (const char *name : {"s1", "s2", "s3"}) {
        fixture.quarantine.addEndOfProcess(core::BackendServerId(name));
    }
    fixture.timers.advance(absl::Seconds(1));
    CHECK(fixture.isQuarantined("bad"));
}

// Guards against a part that stays suspect although its runs end well between the crashes.
TEST_CASE("a run that ends well clears its parts of all crashes before")
{
    QuarantineFixture fixture;
    for (int count = 0; count < 6; ++count) {
        fixture.crash(absl::StrCat("a", count), "sound");
        fixture.crash(absl::StrCat("b", count), "sound");
        fixture.quarantine.addEndedRun(
            GatewayFixture::server("ok"), QuarantineFixture::parts("sound"), fixture.timers.now() - absl::Milliseconds(50), gateway::AnswerEnd::Framed);
    }
    fixture.timers.advance(absl::Seconds(1));
    CHECK_FALSE(fixture.isQuarantined("sound"));
}

// Guards against memory and messages that grow with the number of different parts and crashes.
TEST_CASE("a million different parts leave memory and reports bounded, and the quarantine in force")
{
    QuarantineFixture fixture;
    for (const char *name : {"s1", "s2", "s3"}) {
        fixture.crash(name, "bad");
    }
    REQUIRE(fixture.isQuarantined("bad"));
    const gateway::BackendServer server = GatewayFixture::server("ok");
    for (int count = 0; count < 1'000'000; ++count) {
        fixture.quarantine.addEndedRun(server, QuarantineFixture::parts(absl::StrCat("p", count)), fixture.timers.now(), gateway::AnswerEnd::Framed);
    }
    for (int count = 0; count < 1000; ++count) {
        const gateway::BackendServer crashed = GatewayFixture::server(absl::StrCat("c", count));
        for (int part = 0; part < 50; ++part) {
            fixture.quarantine.addFailedRun(
                crashed, QuarantineFixture::parts(absl::StrCat("q", count, "-", part)), gateway::AnswerProgress::NotBegun, gateway::REASON_NO_ANSWER);
        }
        fixture.quarantine.addFailedRun(crashed, {}, gateway::AnswerProgress::NotBegun, gateway::REASON_CONNECT_REFUSED);
    }
    std::size_t reported = 0;
    for (const gateway::CrashReport &report : fixture.quarantine.takeNews().crashes) {
        reported += report.parts.size();
    }
    CHECK(reported <= std::size_t{64} * 256);
    CHECK(fixture.quarantine.summary().crashes.size() <= 16);
    CHECK(fixture.isQuarantined("bad"));
}

// Guards against an evaluation without end: a part is blamed for crashes in which others had begun, and does not explain them.
TEST_CASE("a part that was in work at five crashes in which other parts had begun is quarantined once")
{
    QuarantineFixture fixture;
    for (int count = 0; count < 6; ++count) {
        const gateway::BackendServer server = GatewayFixture::server(absl::StrCat("s", count));
        fixture.quarantine.addFailedRun(server, QuarantineFixture::parts("long"), gateway::AnswerProgress::Writing, gateway::REASON_ANSWER_BROKEN_OFF);
        fixture.quarantine.addFailedRun(
            server, QuarantineFixture::parts(absl::StrCat("other", count)), gateway::AnswerProgress::Begun, gateway::REASON_ANSWER_BROKEN_OFF);
        fixture.quarantine.addFailedRun(server, {}, gateway::AnswerProgress::NotBegun, gateway::REASON_CONNECT_REFUSED);
        fixture.timers.advance(absl::Seconds(1));
    }
    CHECK(fixture.isQuarantined("long"));
    CHECK_FALSE(fixture.isQuarantined("other0"));
    CHECK(fixture.quarantine.takeNews().quarantined.size() == 1);
}

// Guards against an evaluation without end: more parts are blamed than can be quarantined, and each that is dropped is blamed again.
TEST_CASE("more parts that are blamed than can be quarantined end the evaluation")
{
    constexpr int PARTS = 200;
    QuarantineFixture fixture;
    for (int crash = 0; crash < 5; ++crash) {
        const gateway::BackendServer server = GatewayFixture::server(absl::StrCat("s", crash));
        for (int part = 0; part < PARTS; ++part) {
            fixture.quarantine.addFailedRun(
                server, QuarantineFixture::parts(absl::StrCat("p", part)), gateway::AnswerProgress::Writing, gateway::REASON_ANSWER_BROKEN_OFF);
        }
        fixture.quarantine.addFailedRun(
            server, QuarantineFixture::parts(absl::StrCat("other", crash)), gateway::AnswerProgress::Begun, gateway::REASON_ANSWER_BROKEN_OFF);
        fixture.quarantine.addFailedRun(server, {}, gateway::AnswerProgress::NotBegun, gateway::REASON_CONNECT_REFUSED);
        fixture.timers.advance(absl::Seconds(1));
    }
    CHECK(fixture.quarantine.records().size() <= 128);
    CHECK_FALSE(fixture.isQuarantined("other0"));
}
