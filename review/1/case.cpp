#include "stage.h"

#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>

#include <algorithm>
#include <csignal>

/**
 * Orders that north passes on to east, because east has the only runner that takes them; north's one process is killed and started again
 * while they run. The orders that are sent to it next must get their own answers or none.
 */
namespace {

using namespace snipeferry;

constexpr int ORDERS = 4;
constexpr absl::Duration WORK_TIME = absl::Milliseconds(1700);
constexpr absl::Duration TIME_LIMIT = absl::Milliseconds(4000);
constexpr absl::Duration DOWN_TIME = absl::Milliseconds(200);

void sendOrders(review::Stage &stage, const review::Gateway &gateway, const std::string &prefix)
{
    for (int number = 1; number <= ORDERS; ++number) {
        soak::RequestSeen request;
        request.attempt = absl::StrCat(prefix, number);
        request.path = absl::StrCat(standins::UsersManifest::RESERVE, request.attempt);
        request.body = absl::StrCat("order of ", request.attempt);
        request.key = prefix == "before-" ? "k-bar" : "k-hotel";
        request.timeLimit = TIME_LIMIT;
        stage.send(gateway, request);
        stage.run(absl::Milliseconds(40));
    }
}

} // namespace

int main()
{
    review::Stage stage;
    review::Gateway &north = stage.addGateway("north");
    review::Gateway &east = stage.addGateway("east");
    standins::RunnerSettings booking;
    booking.id = "i-east-booking";
    booking.service = standins::UsersManifest::BOOKING;
    booking.zone = "east-1";
    booking.workTime = WORK_TIME;
    stage.addRunner(booking);

    standins::UsersManifest manifest;
    manifest.tenants = {{"bar", {"k-bar"}, 0}, {"hotel", {"k-hotel"}, 0}};
    stage.store().put("op/config", manifest.json());
    stage.startGateway(north);
    stage.startGateway(east);
    const auto areReady = [&] {
        return stage.isReady(north) && stage.isReady(east);
    };
    if (!stage.runUntil(areReady, absl::Seconds(20))) {
        return stage.end(review::Verdict::CouldNotRun, "the gateways did not get ready");
    }
    stage.run(absl::Seconds(4));

    sendOrders(stage, north, "before-");
    const auto allRun = [&] {
        return stage.runs().size() >= ORDERS;
    };
    if (!stage.runUntil(allRun, absl::Seconds(2))) {
        return stage.end(review::Verdict::CouldNotRun, "the first orders did not reach the runner");
    }
    if (stage.hasTrouble()) {
        stage.killGateway(north, SIGKILL);
        stage.run(DOWN_TIME);
        stage.startGateway(north);
        if (!stage.runUntil([&] { return stage.isReady(north); }, absl::Seconds(5))) {
            return stage.end(review::Verdict::CouldNotRun, "the restarted gateway did not get ready");
        }
        stage.note("ready    " + north.name);
    }
    sendOrders(stage, north, "after-");
    stage.runUntil([&] { return stage.isAllAnswered(); }, absl::Seconds(10));

    std::string foreign;
    for (const soak::RequestSeen &request : stage.requests()) {
        const bool isSuccess = request.status >= 200 && request.status < 300;
        const bool isOwn = absl::EndsWith(request.receipt, "." + request.attempt) && request.answer == standins::wholeBodyOf(request.attempt);
        if (isSuccess && request.isComplete && !isOwn) {
            absl::StrAppend(&foreign, " ", request.attempt, " got '", request.answer.substr(0, 18), "'");
        }
    }
    if (!foreign.empty()) {
        return stage.end(review::Verdict::Broken, "MIXED: answers of other requests:" + foreign);
    }
    return stage.end(review::Verdict::Held, "each success bears its own receipt and body");
}
