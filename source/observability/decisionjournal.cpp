#include "snipeferry/observability/decisionjournal.h"

#include <algorithm>

namespace snipeferry::observability {

DecisionJournal::DecisionJournal(std::size_t maxLines)
    : m_maxLines(maxLines)
{
}

void DecisionJournal::add(const core::LogEvent &event)
{
    const auto field = std::find_if(event.fields.begin(), event.fields.end(), [](const core::LogField &logField) { return logField.key == "request"; });
    if (field == event.fields.end()) {
        return;
    }
    m_requestOfEachLine.push_back(field->value);
    m_linesByRequest[field->value].push_back(core::formatLogLine(event));
    if (m_requestOfEachLine.size() <= m_maxLines) {
        return;
    }

    // The front of m_requestOfEachLine names the request that the oldest stored line belongs to.
    const auto oldest = m_linesByRequest.find(m_requestOfEachLine.front());
    oldest->second.pop_front();
    if (oldest->second.empty()) {
        m_linesByRequest.erase(oldest);
    }
    m_requestOfEachLine.pop_front();
}

std::vector<std::string> DecisionJournal::linesOf(const std::string &request) const
{
    const auto it = m_linesByRequest.find(request);
    return it == m_linesByRequest.end() ? std::vector<std::string>() : std::vector<std::string>(it->second.begin(), it->second.end());
}

} // namespace snipeferry::observability
