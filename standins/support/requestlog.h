#pragma once

#include "snipeferry/http/httpmessage.h"

#include <nlohmann/json.hpp>

#include <deque>
#include <mutex>
#include <string>

namespace snipeferry::standins {

/** What a stand-in received, for checkers to read. Thread-safe; keeps the newest entries. */
class RequestLog
{
public:
    explicit RequestLog(std::size_t maxEntries);

    /** @brief Adds a request with all its headers; returns its number. */
    std::uint64_t add(const http::HttpRequest &request);

    /** @brief Sets a field of an entry that is still kept. */
    void set(std::uint64_t number, const std::string &field, nlohmann::json value);

    /** @brief All kept entries, oldest first. */
    nlohmann::json entries() const;

private:
    const std::size_t m_maxEntries;
    mutable std::mutex m_mutex;
    std::uint64_t m_firstNumber = 1;
    std::deque<nlohmann::json> m_entries;
};

} // namespace snipeferry::standins
