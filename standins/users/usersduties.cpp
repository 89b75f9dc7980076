#include "users/usersduties.h"

#include <absl/strings/match.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/time/clock.h>
#include <nlohmann/json.hpp>

#include <exception>
#include <stdexcept>

namespace snipeferry::standins {

namespace {

constexpr int OK = 200;
constexpr int BAD_REQUEST = 400;

} // namespace

UsersDuties::UsersDuties(net::EventLoop &loop)
    : m_server(loop, [this](const gateway::HttpRequest &request, const std::shared_ptr<net::HttpExchange> &exchange) { take(request, *exchange); })
{
    const core::Expected<int> port = m_server.listen("127.0.0.1:0");
    if (!port) {
        throw std::runtime_error(port.error().message);
    }
    m_address = absl::StrCat("127.0.0.1:", *port);
}

const std::string &UsersDuties::address() const
{
    return m_address;
}

const std::vector<UsageSeen> &UsersDuties::reports() const
{
    return m_reports;
}

void UsersDuties::refuse(int status, int times)
{
    m_refusalStatus = status;
    m_refusals = times;
}

void UsersDuties::take(const gateway::HttpRequest &request, net::HttpExchange &exchange)
{
    if (m_refusals > 0) {
        --m_refusals;
        exchange.answer({m_refusalStatus, {}}, "");
        return;
    }
    try {
        UsageSeen seen;
        for (const gateway::Header &header : request.headers) {
            if (absl::EqualsIgnoreCase(header.name, "Duty-Holder")) {
                seen.holder = header.value;
            }
            if (absl::EqualsIgnoreCase(header.name, "Fence-Token") && !absl::SimpleAtoi(header.value, &seen.token)) {
                throw std::invalid_argument("a token that is no number");
            }
        }
        const nlohmann::json body = nlohmann::json::parse(request.body);
        if (request.method != "POST" || request.target != "/usage" || seen.holder.empty() || seen.token <= 0 || body.size() != 2) {
            throw std::invalid_argument("not a usage report");
        }
        body.at("windowNo").get_to(seen.window);
        body.at("counts").get_to(seen.counts);
        seen.atMs = absl::ToUnixMillis(absl::Now());
        m_reports.push_back(std::move(seen));
        exchange.answer({OK, {}}, "");
    } catch (const std::exception & /*error*/) {
        exchange.answer({BAD_REQUEST, {}}, "");
    }
}

} // namespace snipeferry::standins
