#pragma once

#include "snipeferry/core/logevent.h"

#include <deque>
#include <string>
#include <unordered_map>
#include <vector>

namespace snipeferry::observability {

/** Keeps the newest log lines that name a request, so that operators can ask what was decided about it. */
class DecisionJournal
{
public:
    explicit DecisionJournal(std::size_t maxLines);

    /** @brief Keeps an event that has a field "request"; others are left out. */
    void add(const core::LogEvent &event);

    /** @brief Lines of one request, oldest first; empty when none is kept any more. */
    std::vector<std::string> linesOf(const std::string &request) const;

private:
    const std::size_t m_maxLines;
    /** Requests in the order of their lines. */
    std::deque<std::string> m_order;
    std::unordered_map<std::string, std::deque<std::string>> m_lines;
};

} // namespace snipeferry::observability
