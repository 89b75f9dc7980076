#include "support/requestlog.h"

namespace snipeferry::standins {

namespace {

constexpr std::size_t MAX_BODY_BYTES = 64 << 10;

} // namespace

RequestLog::RequestLog(std::size_t maxEntries)
    : m_maxEntries(maxEntries)
{
}

std::uint64_t RequestLog::add(const http::HttpRequest &request)
{
    nlohmann::json headers = nlohmann::json::array();
    for (const core::Header &header : request.headers) {
        headers.push_back({{"name", header.name}, {"value", header.value}});
    }
    nlohmann::json entry = {
        {"method", request.method},
        {"target", request.target},
        {"headers", headers},
        {"body", request.body.substr(0, MAX_BODY_BYTES)},
        {"request_id", http::headerValue(request.headers, "X-Request-Id")},
    };
    const std::lock_guard<std::mutex> lock(m_mutex);
    const std::uint64_t number = m_firstNumber + m_entries.size();
    entry["number"] = number;
    m_entries.push_back(std::move(entry));
    if (m_entries.size() > m_maxEntries) {
        m_entries.pop_front();
        ++m_firstNumber;
    }
    return number;
}

void RequestLog::set(std::uint64_t number, const std::string &field, nlohmann::json value)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    if (number >= m_firstNumber && number - m_firstNumber < m_entries.size()) {
        m_entries[number - m_firstNumber][field] = std::move(value);
    }
}

nlohmann::json RequestLog::entries() const
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    nlohmann::json list = nlohmann::json::array();
    for (const nlohmann::json &entry : m_entries) {
        list.push_back(entry);
    }
    return list;
}

} // namespace snipeferry::standins
