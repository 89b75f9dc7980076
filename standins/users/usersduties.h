#pragma once

#include "snipeferry/net/httpserver.h"

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace snipeferry::standins {

/** A usage report as it arrived. */
struct UsageSeen
{
    std::string holder;
    std::int64_t token = 0;
    std::int64_t window = 0;
    std::map<std::string, std::int64_t> counts;
    /** Unix milliseconds. */
    std::int64_t atMs = 0;
};

/** The platform's second interface, as far as the usage reports need it. */
class UsersDuties
{
public:
    explicit UsersDuties(net::EventLoop &loop);

    const std::string &address() const;
    const std::vector<UsageSeen> &reports() const;

    /** @brief Answers the next calls with this status and takes nothing. */
    void refuse(int status, int times);

private:
    void take(const gateway::HttpRequest &request, net::HttpExchange &exchange);

    net::HttpServer m_server;
    std::string m_address;
    std::vector<UsageSeen> m_reports;
    int m_refusalStatus = 0;
    int m_refusals = 0;
};

} // namespace snipeferry::standins
