#include "support/fakeservice.h"

#include "snipeferry/http/erroranswer.h"

#include <absl/strings/numbers.h>

#include <chrono>
#include <thread>

namespace snipeferry::standins {

namespace {

using nlohmann::json;

constexpr std::size_t MAX_LOG_ENTRIES = 20'000;
constexpr int OK = 200;
constexpr int CONFLICT = 409;

std::string effectId(const http::HttpRequest &request)
{
    const json body = json::parse(request.body, nullptr, false);
    return body.is_object() && body.contains("id") && body["id"].is_string() ? body["id"].get<std::string>() : "";
}

StandinAnswer lostAnswer()
{
    StandinAnswer answer;
    answer.next = [](std::string &) {
        return Piece::Abort;
    };
    return answer;
}

} // namespace

FakeService::FakeService(ServiceBehaviour behaviour)
    : m_behaviour(behaviour),
      m_log(MAX_LOG_ENTRIES)
{
}

StandinAnswer FakeService::handle(const http::HttpRequest &request)
{
    if (request.target == "/effects") {
        const std::lock_guard<std::mutex> lock(m_mutex);
        return http::jsonAnswer(OK, json{{"effects", m_effects}}.dump());
    }
    if (request.target == "/load") {
        return http::jsonAnswer(OK, json{{"running", 0}, {"waiting", 0}}.dump());
    }
    if (request.target == "/log") {
        return http::jsonAnswer(OK, m_log.entries().dump(-1, ' ', false, json::error_handler_t::replace));
    }
    if (request.target == "/control") {
        return control(request);
    }
    return call(request);
}

StandinAnswer FakeService::control(const http::HttpRequest &request)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    if (request.method == "POST") {
        json merged = m_behaviour;
        merged.update(json::parse(request.body, nullptr, false));
        m_behaviour = merged.get<ServiceBehaviour>();
    }
    return http::jsonAnswer(OK, json(m_behaviour).dump());
}

bool FakeService::isFencedOff(const http::HttpRequest &request)
{
    std::uint64_t number = 0;
    if (!absl::SimpleAtoi(http::headerValue(request.headers, "X-Fencing-Number"), &number)) {
        return false;
    }
    const bool isOld = number < m_highestFencing;
    m_highestFencing = std::max(m_highestFencing, number);
    return isOld && m_behaviour.checksFencing;
}

StandinAnswer FakeService::call(const http::HttpRequest &request)
{
    m_log.add(request);
    std::unique_lock<std::mutex> lock(m_mutex);
    const ServiceBehaviour behaviour = m_behaviour;
    if (behaviour.status != 0) {
        return http::jsonAnswer(static_cast<int>(behaviour.status), json{{"error", "as told"}}.dump());
    }
    if (isFencedOff(request)) {
        return http::jsonAnswer(CONFLICT, json{{"error", "old fencing number"}}.dump());
    }
    const bool hasEffect = request.method != "GET" && request.method != "HEAD";
    const std::string id = effectId(request);
    const std::int64_t effects = hasEffect ? ++m_effects[id] : 0;
    const bool isLost = hasEffect && m_behaviour.answersToLose > 0;
    m_behaviour.answersToLose -= isLost ? 1 : 0;
    lock.unlock();

    std::this_thread::sleep_for(std::chrono::milliseconds(behaviour.delayMs));
    if (isLost) {
        return lostAnswer();
    }
    return http::jsonAnswer(OK, json{{"id", id}, {"method", request.method}, {"path", request.target}, {"effects", effects}}.dump());
}

} // namespace snipeferry::standins
