#include "snipeferry/observability/operationsserver.h"

#include "snipeferry/http/erroranswer.h"
#include "snipeferry/http/target.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace snipeferry::observability {

namespace {

using http::HttpAnswer;
using nlohmann::json;

constexpr std::size_t MAX_CONNECTIONS = 32;
constexpr std::size_t MAX_BODY_BYTES = 4096;
constexpr int OK = 200;
constexpr int ACCEPTED = 202;
constexpr int NOT_FOUND = 404;
constexpr int UNAVAILABLE = 503;

http::ListenSettings listenSettings()
{
    http::ListenSettings settings;
    settings.maxConnections = MAX_CONNECTIONS;
    settings.maxBodyBytes = MAX_BODY_BYTES;
    return settings;
}

} // namespace

class OperationsServer::Impl
{
public:
    Impl(net::EventLoop &loop, OperationsSettings settings, supervision::CoreLoop &core, const DecisionJournal &journal)
        : m_loop(loop),
          m_settings(std::move(settings)),
          m_core(core),
          m_journal(journal)
    {
    }

    core::Expected<std::string> start()
    {
        m_server = http::makeServer(
            m_loop,
            [this](const http::HttpRequest &request, const std::shared_ptr<net::HttpExchange> &exchange) {
                const HttpAnswer answer = handle(request);
                exchange->answer({answer.status, answer.headers}, answer.body);
            },
            listenSettings());
        return http::listenOn(*m_server, m_settings.listenAddress);
    }

    const std::unique_ptr<net::HttpServer> &server() const
    {
        return m_server;
    }

private:
    /** One method and path, with the function that answers it. */
    struct Route
    {
        const char *method;
        const char *path;
        HttpAnswer (Impl::*answer)(const http::Target &target);
    };

    HttpAnswer handle(const http::HttpRequest &request);

    HttpAnswer live(const http::Target &)
    {
        return http::jsonAnswer(m_core.hasFailed() ? UNAVAILABLE : OK, json{{"live", !m_core.hasFailed()}}.dump());
    }

    HttpAnswer ready(const http::Target &)
    {
        const bool isReady = m_core.isReady() && m_settings.isHealthy();
        return http::jsonAnswer(isReady ? OK : UNAVAILABLE, json{{"ready", isReady}}.dump());
    }

    HttpAnswer status(const http::Target &)
    {
        const std::optional<node::NodeStatus> status = m_core.query<node::NodeStatus>([](supervision::DecisionCore &core) { return core.status(); });
        return status.has_value() ? http::jsonAnswer(OK, json(*status).dump())
                                  : http::errorAnswer(core::makeError(core::ErrorKind::Overloaded, "The instance does not answer in time."), "");
    }

    HttpAnswer explain(const http::Target &target);

    HttpAnswer drain(const http::Target &)
    {
        m_settings.drain();
        return http::jsonAnswer(ACCEPTED, json{{"draining", true}}.dump());
    }

    net::EventLoop &m_loop;
    const OperationsSettings m_settings;
    supervision::CoreLoop &m_core;
    const DecisionJournal &m_journal;
    std::unique_ptr<net::HttpServer> m_server;
};

HttpAnswer OperationsServer::Impl::handle(const http::HttpRequest &request)
{
    const core::Expected<http::Target> target = http::parseTarget(request.target);
    if (!target.has_value()) {
        return http::errorAnswer(target.error(), "");
    }
    static constexpr Route ROUTES[] = {
        {"GET", "/live", &Impl::live},
        {"GET", "/ready", &Impl::ready},
        {"GET", "/status", &Impl::status},
        {"GET", "/explain", &Impl::explain},
        {"POST", "/drain", &Impl::drain},
    };
    for (const Route &route : ROUTES) {
        if (request.method == route.method && target->path == route.path) {
            return (this->*route.answer)(*target);
        }
    }
    return http::jsonAnswer(NOT_FOUND, json{{"error", "no such path"}}.dump());
}

HttpAnswer OperationsServer::Impl::explain(const http::Target &target)
{
    const auto it = std::find_if(target.query.begin(), target.query.end(), [](const http::QueryParameter &parameter) { return parameter.name == "request"; });
    const std::vector<std::string> lines = it == target.query.end() ? std::vector<std::string>() : m_journal.linesOf(it->value);
    return http::jsonAnswer(lines.empty() ? NOT_FOUND : OK, json{{"lines", lines}}.dump());
}

OperationsServer::OperationsServer(net::EventLoop &loop, OperationsSettings settings, supervision::CoreLoop &core, const DecisionJournal &journal)
    : m_impl(std::make_unique<Impl>(loop, std::move(settings), core, journal))
{
}

OperationsServer::~OperationsServer()
{
    stop();
}

core::Expected<std::string> OperationsServer::start()
{
    return m_impl->start();
}

void OperationsServer::stop()
{
    if (m_impl->server() != nullptr) {
        m_impl->server()->stop();
    }
}

bool OperationsServer::isRunning() const
{
    return m_impl->server() != nullptr && m_impl->server()->isListening();
}

} // namespace snipeferry::observability
