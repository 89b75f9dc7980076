#include "forwardingpair.h"
#include "support/seeds.h"

using namespace snipeferry;
using namespace snipeferry::tests;

namespace {

const core::InstanceId ORIGIN("gw-9");

/** A process of the instance that forwards requests; its number may be lower than that of the one before. */
gateway::Member originProcess(core::Incarnation incarnation)
{
    gateway::Member member = GatewayFixture::member("gw-9", "south");
    member.incarnation = incarnation;
    return member;
}

/** Forwards a request that may run once at most. */
gateway::Number forward(GatewayFixture &fixture, gateway::Number number, const std::string &id)
{
    gateway::ForwardRequest request;
    request.number = number;
    request.request.id = core::RequestId(id);
    request.request.http = {"POST", "/once/x", {{"id", id}}, ""};
    request.service = core::ServiceId("booking");
    request.timeLeft = absl::Seconds(9);
    fixture.gateway.received(ORIGIN, request);
    return fixture.lastRun().run;
}

std::size_t forwardMessages(const GatewayFixture &fixture)
{
    return fixture.links.all<gateway::ForwardHead>().size() + fixture.links.all<gateway::ForwardData>().size() + fixture.links.all<gateway::ForwardEnd>().size()
        + fixture.links.all<gateway::ForwardFailed>().size();
}

} // namespace

// Failure (MIXED): callers of a restarted instance got answers to requests that its earlier process had forwarded under the same numbers.
TEST_CASE("the answer to a request that an earlier process of an instance has forwarded reaches no request of the present one")
{
    GatewayFixture fixture;
    fixture.start();
    fixture.gateway.linkUp(originProcess(7));
    const gateway::Number earlier = forward(fixture, 1, "earlier");
    const int stage = GENERATE(0, 1, 2);
    const auto answer = [&fixture](gateway::Number run, const std::string &body) {
        fixture.gateway.runHead(run, {200, {{"receipt", "x"}}});
        fixture.gateway.runData(run, body);
        fixture.gateway.runEnd(run, gateway::AnswerEnd::Framed);
    };
    if (stage == 1) {
        fixture.gateway.runHead(earlier, {200, {{"receipt", "x"}}});
    } else if (stage == 2) {
        answer(earlier, "of the earlier request");
    }
    fixture.gateway.linkDown(ORIGIN);
    fixture.timers.advance(absl::Milliseconds(300));
    fixture.gateway.linkUp(originProcess(GENERATE(6, 8)));
    // Nobody waits for the answer any more.
    CHECK(fixture.gateway.openCount() == 0);
    CHECK(fixture.runs.cancelled == (stage == 2 ? std::vector<gateway::Number>{} : std::vector<gateway::Number>{earlier}));

    fixture.links.sent.clear();
    const gateway::Number later = forward(fixture, 1, "later");
    if (stage == 2) {
        fixture.gateway.received(ORIGIN, gateway::ForwardResume{2, false, 0});
        CHECK(fixture.links.all<gateway::ForwardFailed>() == std::vector<gateway::ForwardFailed>{{2, true, "unknown_after_link_loss"}});
        fixture.links.sent.clear();
    } else {
        answer(earlier, "of the earlier request");
    }
    CHECK(forwardMessages(fixture) == 0);
    answer(later, "of the later request");
    CHECK(fixture.links.all<gateway::ForwardData>() == std::vector<gateway::ForwardData>{{1, 0, "of the later request"}});
}

// Failure (MIXED): a cancellation or a question for the rest of an answer found the run of another process under the same number.
TEST_CASE("messages of a restarted instance find only runs that its present process has forwarded")
{
    GatewayFixture fixture;
    fixture.start();
    fixture.gateway.linkUp(originProcess(7));
    const gateway::Number earlier = forward(fixture, 1, "earlier");
    fixture.gateway.runHead(earlier, {200, {{"receipt", "x"}}});
    fixture.gateway.runData(earlier, "of the earlier request");
    fixture.gateway.runEnd(earlier, gateway::AnswerEnd::Framed);
    // The loss of the link is noticed with the greeting of the next process.
    fixture.gateway.linkDown(ORIGIN);
    fixture.gateway.linkUp(originProcess(8));
    fixture.links.sent.clear();
    fixture.gateway.received(ORIGIN, gateway::ForwardResume{1, false, 0});
    CHECK(fixture.links.all<gateway::ForwardData>().empty());
    CHECK(fixture.links.all<gateway::ForwardFailed>() == std::vector<gateway::ForwardFailed>{{1, true, "unknown_after_link_loss"}});

    const gateway::Number later = forward(fixture, 1, "later");
    fixture.gateway.received(ORIGIN, gateway::ForwardFlow{1, true});
    CHECK(fixture.runs.paused == std::map<gateway::Number, bool>{{later, true}});
    fixture.gateway.received(ORIGIN, gateway::ForwardCancel{1});
    CHECK(fixture.runs.cancelled == std::vector<gateway::Number>{later});
}

// Failure (TWICE): "not run", said of a request that an earlier process had forwarded, reached an order in work, which was then sent once more.
TEST_CASE("the refusal of a request that an earlier process of an instance has forwarded reaches no request of the present one")
{
    GatewayFixture fixture;
    fixture.start();
    fixture.gateway.linkUp(originProcess(7));
    const gateway::Number earlier = forward(fixture, 7, "earlier");
    fixture.gateway.linkDown(ORIGIN);
    fixture.gateway.linkUp(originProcess(GENERATE(6, 8)));
    forward(fixture, 7, "later");
    fixture.links.sent.clear();
    const bool isRefused = GENERATE(true, false);
    if (isRefused) {
        fixture.gateway.runHead(earlier, {503, {{"not-run", "1"}}});
    } else {
        fixture.gateway.runFailed(earlier, false, "connect_timeout");
    }
    CHECK(forwardMessages(fixture) == 0);
    CHECK(fixture.gateway.openCount() == 1);
}

// Failure (TWICE): the instance that runs a forwarded order was restarted, and what its next process said of its own runs passed for the order's.
TEST_CASE("a forwarded call whose instance was restarted ends as one that may have run, and nothing of the next process reaches it")
{
    GatewayFixture fixture;
    fixture.start();
    fixture.linkRemote("gw-9", "south");
    const std::shared_ptr<Answer> answer = fixture.ask("/south/x");
    const gateway::Number number = fixture.links.all<gateway::ForwardRequest>().at(0).number;
    fixture.gateway.linkDown(ORIGIN);
    CHECK(answer->finalCount == 0);
    fixture.links.sent.clear();
    fixture.gateway.linkUp(originProcess(GENERATE(0, 2)));
    CHECK(answer->status == 502);
    CHECK(fixture.links.all<gateway::ForwardResume>().empty());
    fixture.gateway.received(ORIGIN, gateway::ForwardFailed{number, false, "refused_by_server"});
    fixture.gateway.received(ORIGIN, gateway::ForwardHead{number, {200, {{"receipt", "x"}}}});
    CHECK(fixture.links.all<gateway::ForwardRequest>().empty());
    CHECK(answer->finalCount == 1);
}

// Failure (MIXED, TWICE): whichever of two instances was restarted, and whenever, answers and refusals reached other requests than their own.
TEST_CASE("each forwarded request gets its own answer and runs once, whatever is restarted and whenever the link is lost")
{
    int successes = 0;
    for (const std::uint64_t seed : testing::seeds(20)) {
        ForwardingPair pair(seed);
        std::mt19937_64 random(seed + 1000);
        pair.run(absl::Seconds(2));
        for (int step = 0; step < 60; ++step) {
            const std::uint64_t chance = random() % 20;
            if (chance == 0) {
                pair.restart("north");
            } else if (chance == 1) {
                pair.restart("south");
            } else if (chance == 2) {
                pair.loseLink();
            } else {
                pair.ask();
            }
            pair.run(absl::Milliseconds(static_cast<std::int64_t>(random() % 300)));
        }
        pair.run(absl::Seconds(15));
        INFO("seed " << seed);
        const std::string violations = pair.violations();
        INFO(violations);
        CHECK(violations.empty());
        CHECK(pair.openCount() == 0);
        successes += pair.successCount();
    }
    CHECK(successes > 100);
}
