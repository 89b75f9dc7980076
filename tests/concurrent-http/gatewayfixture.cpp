#include "gatewayfixture.h"

#include <absl/time/clock.h>

#include <stdexcept>

namespace snipeferry::tests {

namespace {

constexpr std::size_t SLOW_READER_BYTES = std::size_t{1} << 20;
constexpr std::size_t MAX_COLLECTED_BYTES = std::size_t{1} << 20;
constexpr int FLOOD_CHUNKS = 400;

} // namespace

ScriptedCore::ScriptedCore(std::shared_ptr<CoreRecord> record, std::string backendAddress)
    : m_record(std::move(record)),
      m_backendAddress(std::move(backendAddress)),
      m_configuration(std::make_shared<configuration::Configuration>())
{
    configuration::Service assistant;
    assistant.id = core::ServiceId("assistant");
    assistant.type = configuration::ServiceType::ModelEngine;
    assistant.model = "planner";
    configuration::Service script;
    script.id = core::ServiceId("script");
    m_configuration->services = {assistant, script};
}

std::vector<messages::Action> ScriptedCore::answer(const node::CallerRequest &request) const
{
    const core::RequestId &id = request.id;
    const std::vector<node::Header> events = {{"Content-Type", "text/event-stream"}};
    if (request.path == "/echo") {
        return {messages::AnswerHead{id, 200, {{"Content-Type", "text/plain"}}}, messages::AnswerChunk{id, request.body}, messages::AnswerEnd{id}};
    }
    if (request.path == "/error") {
        return {messages::AnswerError{id, core::makeError(core::ErrorKind::RateExceeded, "Too fast.", absl::Milliseconds(1500))}};
    }
    if (request.path == "/stream-error") {
        return {messages::AnswerHead{id, 200, events}, messages::AnswerChunk{id, "data: 1\n\n"},
            messages::AnswerError{id, core::makeError(core::ErrorKind::StreamInterrupted, "Lost.")}};
    }
    if (request.path == "/whole-error") {
        return {messages::AnswerHead{id, 200, {}}, messages::AnswerChunk{id, "half"},
            messages::AnswerError{id, core::makeError(core::ErrorKind::StreamInterrupted, "Lost.")}};
    }
    if (request.path == "/flood") {
        std::vector<messages::Action> actions = {messages::AnswerHead{id, 200, events}};
        for (int i = 0; i < FLOOD_CHUNKS; ++i) {
            actions.push_back(messages::AnswerChunk{id, std::string(65536, 'x')});
        }
        return actions;
    }
    if (request.path == "/throw") {
        throw std::runtime_error("scripted");
    }
    if (request.path == "/hold") {
        return {};
    }
    messages::Dispatch dispatch;
    dispatch.request = id;
    dispatch.address = m_backendAddress;
    dispatch.method = request.method;
    dispatch.path = request.path;
    dispatch.headers = request.headers;
    dispatch.body = request.body;
    dispatch.isStream = request.isStream;
    return {dispatch};
}

std::vector<messages::Action> ScriptedCore::handle(const messages::Event &event)
{
    if (const messages::RequestArrived *arrived = std::get_if<messages::RequestArrived>(&event)) {
        ++m_record->arrived;
        return answer(arrived->request);
    }
    if (const messages::CallerLeft *left = std::get_if<messages::CallerLeft>(&event)) {
        ++m_record->callersLeft;
        return {messages::CancelDispatch{left->request, 1}};
    }
    if (const messages::BackendHead *head = std::get_if<messages::BackendHead>(&event)) {
        return {messages::AnswerHead{head->request, head->status, head->headers}};
    }
    if (const messages::BackendChunk *chunk = std::get_if<messages::BackendChunk>(&event)) {
        return {messages::AnswerChunk{chunk->request, chunk->data}};
    }
    if (const messages::BackendEnd *end = std::get_if<messages::BackendEnd>(&event)) {
        return {messages::AnswerEnd{end->request}};
    }
    if (const messages::BackendFailure *failure = std::get_if<messages::BackendFailure>(&event)) {
        ++(failure->mayHaveRun ? m_record->failuresMaybeRun : m_record->failuresNotRun);
        return {messages::AnswerError{failure->request, core::makeError(core::ErrorKind::BackendFailed, failure->reason)}};
    }
    return {};
}

std::vector<messages::Action> ScriptedCore::takeActions()
{
    return {};
}

bool ScriptedCore::isReady() const
{
    return true;
}

bool ScriptedCore::isDrained() const
{
    return false;
}

node::NodeStatus ScriptedCore::status() const
{
    return {};
}

core::Expected<std::vector<node::RankedEntry>> ScriptedCore::entries(const std::string &keyDigest) const
{
    if (keyDigest.empty()) {
        return tl::make_unexpected(core::makeError(core::ErrorKind::UnknownKey, "No key."));
    }
    return std::vector<node::RankedEntry>{{core::InstanceId("a"), "127.0.0.1:1", core::DataCentreId("recife-1")}};
}

core::Expected<std::vector<std::string>> ScriptedCore::models(const std::string &) const
{
    return std::vector<std::string>{"planner"};
}

core::Expected<std::string> ScriptedCore::issueOperationNumber(const std::string &)
{
    return std::string("op-1");
}

std::shared_ptr<const configuration::Configuration> ScriptedCore::configuration() const
{
    return m_configuration;
}

GatewayFixture::GatewayFixture(http::CallerServerSettings settings, const std::string &backendAddress)
    : m_engine("engine", {}, 1024),
      m_engineServer([this](const http::HttpRequest &request, const standins::ClientProbe &isClientGone) { return m_engine.handle(request, isClientGone); }),
      m_engineAddress(m_engineServer.start(0).value())
{
    const std::string backend = backendAddress.empty() ? m_engineAddress : backendAddress;
    settings.server.listenAddress = "127.0.0.1:0";
    settings.server.slowReaderBytes = SLOW_READER_BYTES;
    m_address = m_thread.call([&] {
        net::EventLoop &loop = m_thread.loop();
        m_registry = std::make_unique<http::CallerRegistry>(
            MAX_COLLECTED_BYTES, [this](const http::CallerGone &event) { m_loop->post(messages::CallerLeft{event.request}); });
        m_loop = std::make_unique<supervision::CoreLoop>(
            loop, supervision::CoreLoopSettings(), [this, backend](core::TimerService &) { return std::make_unique<ScriptedCore>(m_record, backend); }, *this);
        m_backends
            = std::make_unique<http::BackendClient>(loop, http::BackendClientSettings(), [this](messages::Event event) { m_loop->post(std::move(event)); });
        m_server = std::make_unique<http::CallerServer>(loop, settings, *m_loop, *m_registry);
        m_loop->start();
        return m_server->start().value();
    });
}

GatewayFixture::~GatewayFixture()
{
    m_thread.call([this] {
        m_registry->failAll(core::makeError(core::ErrorKind::Internal, "The test is over."));
        m_server.reset();
        m_backends.reset();
        m_loop.reset();
        m_registry.reset();
    });
    m_engineServer.stop();
}

const std::string &GatewayFixture::address() const
{
    return m_address;
}

std::string GatewayFixture::enginePage(const std::string &path, const std::string &posted) const
{
    http::ClientRequest request;
    request.address = m_engineAddress;
    request.method = posted.empty() ? "GET" : "POST";
    request.path = path;
    request.body = posted;
    return http::fetch(request, std::size_t{1} << 20).body;
}

const CoreRecord &GatewayFixture::record() const
{
    return *m_record;
}

std::size_t GatewayFixture::openRequests() const
{
    return m_thread.call([this] { return m_registry->size(); });
}

std::size_t GatewayFixture::openAttempts() const
{
    return m_thread.call([this] { return m_backends->openAttempts(); });
}

bool GatewayFixture::isReady() const
{
    return m_thread.call([this] { return m_loop->isReady(); });
}

bool GatewayFixture::hasFailed() const
{
    return m_thread.call([this] { return m_loop->hasFailed(); });
}

http::ClientAnswer GatewayFixture::call(const std::string &method, const std::string &path, const std::string &body, std::vector<node::Header> headers) const
{
    http::ClientRequest request;
    request.address = m_address;
    request.method = method;
    request.path = path;
    request.body = body;
    request.headers = std::move(headers);
    return http::fetch(request, std::size_t{64} << 20);
}

void GatewayFixture::carryOut(const messages::SendToPeer &)
{
}
void GatewayFixture::carryOut(const messages::KeepLinks &)
{
}
void GatewayFixture::carryOut(const platform::Call &)
{
}
void GatewayFixture::carryOut(const messages::Log &)
{
}
void GatewayFixture::carryOut(const messages::Count &)
{
}

void GatewayFixture::carryOut(const messages::Dispatch &action)
{
    m_backends->dispatch(action);
}

void GatewayFixture::carryOut(const messages::CancelDispatch &action)
{
    m_backends->cancel(action);
}

void GatewayFixture::carryOut(const messages::AnswerHead &action)
{
    m_registry->deliver(action);
}

void GatewayFixture::carryOut(const messages::AnswerChunk &action)
{
    m_registry->deliver(action);
}

void GatewayFixture::carryOut(const messages::AnswerEnd &action)
{
    m_registry->deliver(action);
}

void GatewayFixture::carryOut(const messages::AnswerError &action)
{
    m_registry->deliver(action);
}

bool eventually(const std::function<bool()> &condition)
{
    const absl::Time deadline = absl::Now() + absl::Seconds(10);
    while (!condition() && absl::Now() < deadline) {
        absl::SleepFor(absl::Milliseconds(5));
    }
    return condition();
}

std::string chatBody(const std::string &content, bool isStream)
{
    return nlohmann::json{{"model", "planner"}, {"stream", isStream}, {"messages", {{{"role", "user"}, {"content", content}}}}}.dump();
}

} // namespace snipeferry::tests
