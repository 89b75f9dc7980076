#include "support/rawconnection.h"
#include "users/endlessserver.h"
#include "usersfixture.h"

#include <absl/strings/str_cat.h>
#include <absl/time/clock.h>
#include <catch2/catch.hpp>

#include <atomic>
#include <thread>

using namespace snipeferry;
using namespace snipeferry::testing;
using standins::EndlessServer;

// Load: an outside system or a caller that writes bytes which complete nothing, without end. Memory is measured from outside.
namespace {

constexpr absl::Duration START_LIMIT = absl::Seconds(10);
/** A quarter of the memory that the settings state, in KB. */
constexpr std::int64_t MAX_GROWTH_KB = 65536;
constexpr std::size_t FILLER_BYTES = 4096;
/** Callers whose requests do not end, at once. */
constexpr int CUT_CALLERS = 4;

std::string valueOf(const std::string &request, const std::string &header)
{
    const std::size_t at = request.find(header + ": ");
    const std::size_t begin = at + header.size() + 2;
    return at == std::string::npos ? std::string() : request.substr(begin, request.find("\r\n", begin) - begin);
}

/** A place in an answer at which bytes may go on. */
struct Place
{
    std::string name;
    /** What follows the status line and the headers that tell whose answer it is; empty if the place is before them. */
    std::string begun;
    std::string filler;
};

std::vector<Place> placesInAnswers()
{
    const std::string letters(FILLER_BYTES, 'a');
    return {{"status line", "", letters}, {"header name", "Filler", letters}, {"header value", "Filler: ", letters}, {"headers", "", "Filler: a\r\n"},
        {"interim heads", "", "HTTP/1.1 102 Processing\r\n\r\n"}, {"chunk size", "Transfer-Encoding: chunked\r\n\r\n", "0"},
        {"chunk extension", "Transfer-Encoding: chunked\r\n\r\n40;", letters}, {"trailer", "Transfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\nX: ", letters},
        {"body by length", "Content-Length: 99999999999\r\n\r\n", letters}, {"body by close", "\r\n", letters}};
}

EndlessServer::Answer answerAt(const Place &place, const std::string &request)
{
    const std::string attempt = valueOf(request, "Attempt-Id");
    const std::string head = absl::StrCat("HTTP/1.1 200 OK\r\nAttempt-Id: ", attempt, "\r\nServer-Seal: x.", attempt, "\r\n");
    if (place.name == "status line") {
        return {"HTTP/1.1 200 ", place.filler};
    }
    return {place.name == "interim heads" ? "" : head + place.begun, place.filler};
}

/** Sends requests at once; returns how many answers looked whole or said falsely that nothing had run. */
int untrueAnswers(UsersFixture &fixture, const std::vector<std::string> &paths, int callers)
{
    std::atomic<int> untrue = 0;
    std::vector<std::thread> threads;
    threads.reserve(static_cast<std::size_t>(callers));
    for (int caller = 0; caller < callers; ++caller) {
        threads.emplace_back([&, caller] {
            const std::string &path = paths[static_cast<std::size_t>(caller) % paths.size()];
            const UsersAnswer answer = fixture.ask(path);
            const bool looksWhole = answer.answer.status == 200 && answer.answer.result.outcome == http::ClientOutcome::Whole;
            untrue += looksWhole && !UsersFixture::isWhole(path, answer) ? 1 : 0;
        });
    }
    for (std::thread &thread : threads) {
        thread.join();
    }
    return untrue;
}

} // namespace

// Failure (LOST): one server that wrote bytes without end took the memory of an instance, and with it the requests of all its callers.
TEST_CASE("bytes without end at any place of a runner's answer cost the gateway little memory, and sound work goes on")
{
    UsersFixture fixture;
    std::unique_ptr<EndlessServer> endless;
    fixture.startGateway();
    REQUIRE(fixture.servesWithin(START_LIMIT));
    const std::int64_t before = peakMemoryKb(fixture.gateway().id());
    fixture.onStandins([&] {
        endless = std::make_unique<EndlessServer>(fixture.loop(), [](const std::string & /*request*/) { return EndlessServer::Answer(); });
        // Both engines answer so; the services for bookings are sound.
        fixture.runner("i-e1").announce(endless->address());
        fixture.runner("i-e2").announce(endless->address());
    });
    for (const int callers : {4, 40}) {
        for (const Place &place : placesInAnswers()) {
            INFO(place.name << ", " << callers << " callers");
            fixture.onStandins([&] { endless->setScript([place](const std::string &request) { return answerAt(place, request); }); });
            std::atomic<int> served = 0;
            std::thread sound([&] {
                for (int request = 0; request < 5; ++request) {
                    served += UsersFixture::isWhole("/stock/x", fixture.ask("/stock/x")) ? 1 : 0;
                }
            });
            CHECK(untrueAnswers(fixture, {"/plan/x", "/answer/x"}, callers) == 0);
            sound.join();
            CHECK(served == 5);
            CHECK(peakMemoryKb(fixture.gateway().id()) - before < MAX_GROWTH_KB);
        }
    }
    CHECK(fixture.onStandins([&] { return endless->answers(); }) > 0);
    fixture.onStandins([&] { endless = nullptr; });
}

// Failure (LOST): one caller whose request never ended took the memory of an instance.
TEST_CASE("bytes without end at any place of a request cost the gateway little memory, and other callers are served")
{
    UsersFixture fixture;
    fixture.startGateway();
    REQUIRE(fixture.servesWithin(START_LIMIT));
    const std::int64_t before = peakMemoryKb(fixture.gateway().id());
    const std::string head = "POST /reserve/x HTTP/1.1\r\nHost: shop.example\r\nAttempt-Id: endless\r\n";
    const std::string chunked = head + "Transfer-Encoding: chunked\r\n\r\n";
    const std::string letters(FILLER_BYTES, 'a');
    const std::vector<Place> places = {{"target", "POST /", letters}, {"header value", head + "Filler: ", letters}, {"headers", head, "Filler: a\r\n"},
        {"chunk size", chunked, "0"}, {"chunk extension", chunked + "5;", letters}, {"second chunk", chunked + "1\r\na\r\n5;", letters},
        {"trailer", chunked + "1\r\na\r\n0\r\nX: ", letters}};
    for (const Place &place : places) {
        INFO(place.name);
        std::vector<std::thread> callers;
        std::atomic<int> cut = 0;
        callers.reserve(CUT_CALLERS);
        for (int caller = 0; caller < CUT_CALLERS; ++caller) {
            callers.emplace_back([&] {
                tests::RawConnection connection(fixture.addresses().callers);
                connection.send(place.begun);
                std::string filler;
                while (filler.size() < FILLER_BYTES) {
                    filler += place.filler;
                }
                const absl::Time end = absl::Now() + absl::Seconds(3);
                bool isOpen = true;
                while (isOpen && absl::Now() < end) {
                    isOpen = connection.send(filler);
                }
                cut += isOpen ? 0 : 1;
            });
        }
        CHECK(UsersFixture::isWhole("/stock/x", fixture.ask("/stock/x")));
        for (std::thread &caller : callers) {
            caller.join();
        }
        CHECK(cut == CUT_CALLERS);
        CHECK(peakMemoryKb(fixture.gateway().id()) - before < MAX_GROWTH_KB);
        CHECK(UsersFixture::isWhole("/stock/x", fixture.ask("/stock/x")));
    }
}

// Failure (FAULT, LOST): a store whose answer did not end crashed the process, or took its memory.
TEST_CASE("bytes without end at any place of the store's answers neither end the gateway nor cost it much memory")
{
    UsersFixture fixture;
    const std::string letters(FILLER_BYTES, 'a');
    const std::string chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    const std::vector<Place> places = {{"head", "HTTP/1.1 200 OK\r\nX: ", letters}, {"chunk extension", chunked + "5;", letters},
        {"trailer", chunked + "1\r\na\r\n0\r\nX: ", letters}, {"chunks", chunked, "1\r\na\r\n"}, {"body by close", "HTTP/1.1 200 OK\r\n\r\n", letters},
        {"body by length", "HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\n\r\n", letters}};
    std::unique_ptr<EndlessServer> endless;
    fixture.onStandins(
        [&] { endless = std::make_unique<EndlessServer>(fixture.loop(), [](const std::string & /*request*/) { return EndlessServer::Answer(); }); });
    fixture.startGateway(fixture.onStandins([&] { return endless->address(); }));
    for (const Place &place : places) {
        INFO(place.name);
        fixture.onStandins([&] { endless->setScript([place](const std::string & /*request*/) { return EndlessServer::Answer{place.begun, place.filler}; }); });
        const int before = fixture.onStandins([&] { return endless->answers(); });
        absl::SleepFor(absl::Seconds(4));
        REQUIRE(fixture.gateway().isRunning());
        CHECK(fixture.onStandins([&] { return endless->answers(); }) > before);
        CHECK(peakMemoryKb(fixture.gateway().id()) < MAX_GROWTH_KB);
    }
    fixture.onStandins([&] { endless = nullptr; });
}
