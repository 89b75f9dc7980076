#include "snipeferry/http/callerserver.h"

#include "snipeferry/http/callerkey.h"
#include "snipeferry/http/erroranswer.h"
#include "snipeferry/http/requestparser.h"

#include <absl/strings/match.h>
#include <nlohmann/json.hpp>

namespace snipeferry::http {

namespace {

using nlohmann::json;

constexpr int CREATED = 201;

/** Errors of requests that the server refuses by itself. */
core::Error refusedError(net::Refused reason)
{
    switch (reason) {
    case net::Refused::HeaderTooLarge:
        return core::makeError(core::ErrorKind::BadRequest, "The header is too large.");
    case net::Refused::BodyTooLarge:
        return core::makeError(core::ErrorKind::RequestTooLarge, "The body is too large.");
    case net::Refused::TargetTooLong:
        return core::makeError(core::ErrorKind::BadRequest, "The path is too long.");
    case net::Refused::Malformed:
        break;
    case net::Refused::AmbiguousLength:
        return core::makeError(core::ErrorKind::BadRequest, "The length of the body is ambiguous.");
    case net::Refused::TooSlow:
        return core::makeError(core::ErrorKind::BadRequest, "The request did not arrive whole.");
    case net::Refused::TooManyBytes:
        return core::makeError(core::ErrorKind::Overloaded, "Too many large requests at once.", absl::Seconds(1));
    case net::Refused::TooManyConnections:
        return core::makeError(core::ErrorKind::Overloaded, "Too many open connections.", absl::Seconds(1));
    }
    return core::makeError(core::ErrorKind::BadRequest, "The request cannot be read.");
}

std::optional<net::Refusal> refusal(net::Refused reason)
{
    const HttpAnswer answer = errorAnswer(refusedError(reason), "");
    return net::Refusal{{answer.status, answer.headers}, answer.body};
}

/** Methods whose requests have a body that means something; any other body is dropped. */
bool carriesBody(const std::string &method)
{
    return method == "POST" || method == "PUT" || method == "PATCH" || method == "DELETE";
}

void send(net::HttpExchange &exchange, const HttpAnswer &answer)
{
    exchange.answer({answer.status, answer.headers}, answer.body);
}

core::Error unavailable()
{
    return core::makeError(core::ErrorKind::Overloaded, "The instance is overloaded.", absl::Seconds(1));
}

} // namespace

std::unique_ptr<net::HttpServer> makeServer(net::EventLoop &loop, net::HttpHandler handler, const ListenSettings &settings)
{
    net::HttpServerSettings bounds;
    bounds.maxConnections = settings.maxConnections;
    bounds.maxTargetBytes = settings.maxTargetBytes;
    bounds.maxBufferedBytes = settings.maxBufferedBytes;
    bounds.maxUnsentBytes = settings.slowReaderBytes;
    bounds.bodyTimeout = settings.requestTimeout;
    bounds.writeTimeout = settings.writeTimeout;
    std::unique_ptr<net::HttpServer> server = std::make_unique<net::HttpServer>(loop, std::move(handler), bounds);
    server->setLimits({settings.maxHeaderBytes, settings.maxBodyBytes, settings.requestTimeout, settings.keepAliveTimeout});
    server->setRefusals(&refusal);
    return server;
}

core::Expected<std::string> listenOn(net::HttpServer &server, const std::string &address)
{
    return server.listen(address).map([&](int port) { return address.substr(0, address.find(':')) + ":" + std::to_string(port); });
}

class CallerServer::Impl
{
public:
    Impl(net::EventLoop &loop, CallerServerSettings settings, supervision::CoreLoop &core, CallerRegistry &registry)
        : m_loop(loop),
          m_settings(std::move(settings)),
          m_core(core),
          m_registry(registry)
    {
        core.failed().subscribe(
            [this](const supervision::CoreFailed & /*event*/) { m_registry.failAll(core::makeError(core::ErrorKind::Internal, "The instance has stopped.")); });
    }

    core::Expected<std::string> start()
    {
        m_server = makeServer(
            m_loop, [this](HttpRequest request, const std::shared_ptr<net::HttpExchange> &exchange) { handle(std::move(request), exchange); },
            m_settings.server);
        return listenOn(*m_server, m_settings.server.listenAddress);
    }

    const std::unique_ptr<net::HttpServer> &server() const
    {
        return m_server;
    }

private:
    /** One path of the interface that is answered from the decision parts' state. */
    struct Query
    {
        const char *method;
        const char *path;
        HttpAnswer (Impl::*answer)(const std::string &keyDigest, const std::string &requestId);
    };

    void handle(HttpRequest request, const std::shared_ptr<net::HttpExchange> &exchange);
    std::optional<HttpAnswer> answerQuery(const std::string &method, const KeylessRequest &request, const core::RequestId &id);
    core::Expected<node::CallerRequest> parse(const std::string &method, KeylessRequest request, const core::RequestId &id) const;
    HttpAnswer entries(const std::string &keyDigest, const std::string &requestId);
    HttpAnswer models(const std::string &keyDigest, const std::string &requestId);
    HttpAnswer operationNumber(const std::string &keyDigest, const std::string &requestId);

    template<typename Result>
    core::Expected<Result> ask(std::function<core::Expected<Result>(supervision::DecisionCore &)> question)
    {
        return m_core.query<core::Expected<Result>>(std::move(question)).value_or(tl::make_unexpected(unavailable()));
    }

    net::EventLoop &m_loop;
    const CallerServerSettings m_settings;
    supervision::CoreLoop &m_core;
    CallerRegistry &m_registry;
    std::unique_ptr<net::HttpServer> m_server;
};

void CallerServer::Impl::handle(HttpRequest request, const std::shared_ptr<net::HttpExchange> &exchange)
{
    const core::RequestId id = newRequestId();
    if (!carriesBody(request.method)) {
        request.body.clear();
    }
    core::Expected<KeylessRequest> keyless = takeCallerKey(request);
    if (!keyless.has_value()) {
        send(*exchange, errorAnswer(keyless.error(), id.value()));
        return;
    }
    const std::optional<HttpAnswer> answer = answerQuery(request.method, *keyless, id);
    if (answer.has_value()) {
        send(*exchange, *answer);
        return;
    }

    // Everything else runs at a backend server.
    core::Expected<node::CallerRequest> parsed = parse(request.method, std::move(*keyless), id);
    if (!parsed.has_value()) {
        send(*exchange, errorAnswer(parsed.error(), id.value()));
        return;
    }
    m_registry.open(id, exchange, parsed->isStream);
    if (!m_core.tryPost(messages::RequestArrived{std::move(*parsed)})) {
        m_registry.refuse(id, unavailable());
    }
}

std::optional<HttpAnswer> CallerServer::Impl::answerQuery(const std::string &method, const KeylessRequest &request, const core::RequestId &id)
{
    static constexpr Query QUERIES[] = {
        {"GET", MODELS_PATH, &Impl::models},
        {"GET", ENTRIES_PATH, &Impl::entries},
        {"POST", OPERATIONS_PATH, &Impl::operationNumber},
    };
    for (const Query &query : QUERIES) {
        if (method == query.method && request.target.path == query.path) {
            return (this->*query.answer)(request.keyDigest, id.value());
        }
    }
    return std::nullopt;
}

core::Expected<node::CallerRequest> CallerServer::Impl::parse(const std::string &method, KeylessRequest request, const core::RequestId &id) const
{
    const bool isChat = request.target.path == CHAT_PATH && method == "POST";
    if (!isChat && !absl::StartsWith(request.target.path, SERVICES_PREFIX)) {
        return tl::make_unexpected(core::makeError(core::ErrorKind::UnknownService, "Nothing is served under this method and path."));
    }
    const std::shared_ptr<const configuration::Configuration> configuration = m_core.configuration();
    if (configuration == nullptr) {
        return tl::make_unexpected(core::makeError(core::ErrorKind::ConfigurationMissing, "The instance has no configuration yet.", absl::Seconds(1)));
    }
    const ParseContext context = {*configuration, id};
    return isChat ? parseChat(request, context) : parseServiceCall(method, std::move(request), context);
}

HttpAnswer CallerServer::Impl::entries(const std::string &keyDigest, const std::string &requestId)
{
    using Entries = std::vector<node::RankedEntry>;
    const core::Expected<Entries> ranked = ask<Entries>([&](supervision::DecisionCore &core) { return core.entries(keyDigest); });
    if (!ranked.has_value()) {
        return errorAnswer(ranked.error(), requestId);
    }
    json list = json::array();
    for (const node::RankedEntry &entry : *ranked) {
        list.push_back({{"instance", entry.instance}, {"address", entry.address}, {"data_centre", entry.dataCentre}, {"url", "http://" + entry.address}});
    }
    const std::int64_t seconds = absl::ToInt64Seconds(m_settings.entriesTimeToLive);
    HttpAnswer answer = jsonAnswer(200, json{{"entries", list}, {"ttl_seconds", seconds}}.dump());
    answer.headers.push_back({"Cache-Control", "private, max-age=" + std::to_string(seconds)});
    return answer;
}

HttpAnswer CallerServer::Impl::models(const std::string &keyDigest, const std::string &requestId)
{
    using Names = std::vector<std::string>;
    const core::Expected<Names> names = ask<Names>([&](supervision::DecisionCore &core) { return core.models(keyDigest); });
    if (!names.has_value()) {
        return errorAnswer(names.error(), requestId);
    }
    json list = json::array();
    for (const std::string &name : *names) {
        list.push_back({{"id", name}, {"object", "model"}, {"created", 0}, {"owned_by", "snipeferry"}});
    }
    return jsonAnswer(200, json{{"object", "list"}, {"data", list}}.dump());
}

HttpAnswer CallerServer::Impl::operationNumber(const std::string &keyDigest, const std::string &requestId)
{
    const core::Expected<std::string> number = ask<std::string>([&](supervision::DecisionCore &core) { return core.issueOperationNumber(keyDigest); });
    if (!number.has_value()) {
        return errorAnswer(number.error(), requestId);
    }
    return jsonAnswer(CREATED, json{{"operation_number", *number}}.dump());
}

CallerServer::CallerServer(net::EventLoop &loop, CallerServerSettings settings, supervision::CoreLoop &core, CallerRegistry &registry)
    : m_impl(std::make_unique<Impl>(loop, std::move(settings), core, registry))
{
}

CallerServer::~CallerServer()
{
    stop();
}

core::Expected<std::string> CallerServer::start()
{
    return m_impl->start();
}

void CallerServer::stop()
{
    if (m_impl->server() != nullptr) {
        m_impl->server()->stop();
    }
}

bool CallerServer::isRunning() const
{
    return m_impl->server() != nullptr && m_impl->server()->isListening();
}

std::size_t CallerServer::busyConnections() const
{
    return m_impl->server() == nullptr ? 0 : m_impl->server()->busyCount();
}

} // namespace snipeferry::http
