#pragma once

#include "snipeferry/core/logevent.h"

#include <deque>
#include <string>
#include <unordered_map>
#include <vector>

namespace snipeferry::observability {

/** Keeps the most recent log lines that have a request field, so that operators can query what was decided about a request. */
class DecisionJournal
{
public:
    explicit DecisionJournal(std::size_t maxLines);

    /** @brief Stores an event that has a "request" field and ignores any other. */
    void add(const core::LogEvent &event);

    /** @brief Returns the stored lines of one request, oldest first; empty if none is stored. */
    std::vector<std::string> linesOf(const std::string &request) const;

private:
    const std::size_t m_maxLines;
    /** Id of the request that each stored line belongs to, oldest line first. */
    std::deque<std::string> m_requestOfEachLine;
    std::unordered_map<std::string, std::deque<std::string>> m_linesByRequest;
};

} // namespace snipeferry::observability
