#include "support/fakeengine.h"

#include "snipeferry/http/chatrequest.h"
#include "snipeferry/http/erroranswer.h"
#include "snipeferry/http/target.h"

#include <absl/strings/numbers.h>

#include <chrono>
#include <thread>

namespace snipeferry::standins {

namespace {

using nlohmann::json;

constexpr std::size_t MAX_LOG_ENTRIES = 20'000;
constexpr std::size_t MAX_ECHO_BYTES = 1024;
constexpr std::int64_t PERMILLE = 1000;
constexpr std::chrono::milliseconds SLOT_POLL(20);
constexpr int OK = 200;
constexpr int BAD_REQUEST = 400;
constexpr int FAILURE = 500;

std::string lastMessage(const json &body)
{
    const json &content = body.at("messages").back().at("content");
    return (content.is_string() ? content.get<std::string>() : content.dump()).substr(0, MAX_ECHO_BYTES);
}

} // namespace

/** One answer while it is generated. */
class FakeEngine::Generation
{
public:
    Generation(FakeEngine &engine, const json &body, std::int64_t firstToken, std::uint64_t logNumber)
        : m_engine(engine),
          m_model(body.at("model").get<std::string>()),
          m_echo(lastMessage(body)),
          m_count(std::min(engine.behaviour().tokens, body.value("max_tokens", engine.behaviour().tokens))),
          m_next(firstToken),
          m_logNumber(logNumber)
    {
    }

    ~Generation()
    {
        m_engine.releaseSlot();
        m_engine.m_log.set(m_logNumber, "outcome", m_isWhole ? "whole" : "cut");
        m_engine.m_log.set(m_logNumber, "tokens_sent", m_next);
    }

    Generation(const Generation &) = delete;
    Generation &operator=(const Generation &) = delete;

    std::string tokenAt(std::int64_t index) const
    {
        return index == 0 ? m_echo : " t" + std::to_string(index);
    }

    std::int64_t count() const
    {
        return m_count;
    }

    void finish()
    {
        m_isWhole = true;
    }

    Piece pull(std::string &piece);
    StandinAnswer whole();

private:
    std::string event() const;
    json header(const char *object) const;
    void waitForToken() const;

    FakeEngine &m_engine;
    const std::string m_model;
    const std::string m_echo;
    const std::int64_t m_count;
    std::int64_t m_next;
    const std::uint64_t m_logNumber;
    bool m_isFirst = true;
    bool m_isWhole = false;
};

json FakeEngine::Generation::header(const char *object) const
{
    return {{"id", "chatcmpl-" + std::to_string(m_logNumber)}, {"object", object}, {"created", 0}, {"model", m_model}};
}

void FakeEngine::Generation::waitForToken() const
{
    const EngineBehaviour behaviour = m_engine.behaviour();
    std::this_thread::sleep_for(std::chrono::milliseconds(m_isFirst ? behaviour.firstTokenMs : behaviour.tokenMs));
}

std::string FakeEngine::Generation::event() const
{
    json delta = {{"content", tokenAt(m_next)}};
    if (m_next == 0) {
        delta["role"] = "assistant";
    }
    json chunk = header("chat.completion.chunk");
    const json reason = m_next + 1 == m_count ? json("stop") : json();
    chunk["choices"] = json::array({json{{"index", 0}, {"delta", delta}, {"finish_reason", reason}}});
    return "data: " + chunk.dump(-1, ' ', false, json::error_handler_t::replace) + "\n\n";
}

Piece FakeEngine::Generation::pull(std::string &piece)
{
    if (m_isWhole) {
        return Piece::End;
    }
    const std::int64_t abortAfter = m_engine.behaviour().abortAfterTokens;
    if (abortAfter >= 0 && m_next >= abortAfter) {
        return Piece::Abort;
    }
    if (m_next >= m_count) {
        finish();
        piece = "data: [DONE]\n\n";
        return Piece::More;
    }
    waitForToken();
    piece = event();
    m_isFirst = false;
    ++m_next;
    return Piece::More;
}

StandinAnswer FakeEngine::Generation::whole()
{
    std::string content;
    for (; m_next < m_count; ++m_next) {
        waitForToken();
        m_isFirst = false;
        content += tokenAt(m_next);
    }
    json answer = header("chat.completion");
    answer["choices"] = json::array({json{{"index", 0}, {"message", {{"role", "assistant"}, {"content", content}}}, {"finish_reason", "stop"}}});
    answer["usage"] = {{"prompt_tokens", 10}, {"completion_tokens", m_count}, {"total_tokens", 10 + m_count}};
    finish();
    return http::jsonAnswer(OK, answer.dump(-1, ' ', false, json::error_handler_t::replace));
}

FakeEngine::FakeEngine(std::string name, EngineBehaviour behaviour, std::size_t cacheBlocks)
    : m_name(std::move(name)),
      m_behaviour(behaviour),
      m_cache(cacheBlocks),
      m_log(MAX_LOG_ENTRIES)
{
}

StandinAnswer FakeEngine::handle(const http::HttpRequest &request, const ClientProbe &isClientGone)
{
    const core::Expected<http::Target> target = http::parseTarget(request.target);
    const std::string path = target.has_value() ? target->path : "";
    if (path == "/load") {
        const std::lock_guard<std::mutex> lock(m_mutex);
        return http::jsonAnswer(OK, json{{"running", m_running}, {"waiting", m_waiting}}.dump());
    }
    if (path == "/cache-events") {
        std::uint64_t after = 0;
        const bool isNumber = !target->query.empty() && absl::SimpleAtoi(target->query.front().value, &after);
        return http::jsonAnswer(OK, json{{"events", m_cache.eventsAfter(isNumber ? after : 0)}}.dump());
    }
    if (path == "/log") {
        return http::jsonAnswer(OK, m_log.entries().dump(-1, ' ', false, json::error_handler_t::replace));
    }
    if (path == "/control") {
        return control(request);
    }
    return chat(request, isClientGone);
}

StandinAnswer FakeEngine::control(const http::HttpRequest &request)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    if (request.method == "POST") {
        json merged = m_behaviour;
        merged.update(json::parse(request.body, nullptr, false));
        m_behaviour = merged.get<EngineBehaviour>();
        m_hasSlot.notify_all();
    }
    return http::jsonAnswer(OK, json(m_behaviour).dump());
}

StandinAnswer FakeEngine::chat(const http::HttpRequest &request, const ClientProbe &isClientGone)
{
    const std::uint64_t number = m_log.add(request);
    const EngineBehaviour current = behaviour();
    std::uint64_t count = 0;
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        count = ++m_requests;
    }
    // Spread evenly, so that a share of failures needs no random numbers.
    const bool isFailure
        = static_cast<std::int64_t>(count) * current.failPermille / PERMILLE != static_cast<std::int64_t>(count - 1) * current.failPermille / PERMILLE;
    if (current.status != 0 || isFailure) {
        return http::jsonAnswer(current.status != 0 ? static_cast<int>(current.status) : FAILURE, json{{"error", {{"message", "as told"}}}}.dump());
    }
    const core::Expected<http::ChatRequest> chat = http::parseChatRequest(request.body);
    if (!chat.has_value()) {
        return http::jsonAnswer(BAD_REQUEST, json{{"error", {{"message", chat.error().message}}}}.dump());
    }
    if (!waitForSlot(isClientGone)) {
        return http::jsonAnswer(FAILURE, "{}");
    }
    m_cache.store(chat->prefixHashes);
    std::int64_t resumeAt = 0;
    const std::string resume = http::headerValue(request.headers, "X-Resume-Token");
    if (!resume.empty() && !absl::SimpleAtoi(resume, &resumeAt)) {
        resumeAt = 0;
    }
    m_log.set(number, "resumed_at", resumeAt);
    const std::shared_ptr<Generation> generation = std::make_shared<Generation>(*this, json::parse(chat->body), resumeAt, number);
    if (!chat->isStream) {
        return generation->whole();
    }
    StandinAnswer answer;
    answer.headers = {{"Content-Type", "text/event-stream"}, {"Cache-Control", "no-cache"}, {"X-Engine", m_name}};
    answer.next = [generation](std::string &piece) {
        return generation->pull(piece);
    };
    return answer;
}

EngineBehaviour FakeEngine::behaviour() const
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    return m_behaviour;
}

bool FakeEngine::waitForSlot(const ClientProbe &isClientGone)
{
    std::unique_lock<std::mutex> lock(m_mutex);
    ++m_waiting;
    while (m_running >= m_behaviour.slots) {
        m_hasSlot.wait_for(lock, SLOT_POLL);
        if (isClientGone()) {
            --m_waiting;
            return false;
        }
    }
    --m_waiting;
    ++m_running;
    return true;
}

void FakeEngine::releaseSlot()
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    --m_running;
    m_hasSlot.notify_one();
}

} // namespace snipeferry::standins
