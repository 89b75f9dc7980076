#include "snipeferry/observability/decisionjournal.h"

#include <algorithm>

namespace snipeferry::observability {

DecisionJournal::DecisionJournal(std::size_t maxLines)
    : m_maxLines(maxLines)
{
}

void DecisionJournal::add(const core::LogEvent &event)
{
    const auto field = std::find_if(event.fields.begin(), event.fields.end(), [](const core::LogField &entry) { return entry.key == "request"; });
    if (field == event.fields.end()) {
        return;
    }
    m_order.push_back(field->value);
    m_lines[field->value].push_back(core::formatLogLine(event));
    if (m_order.size() <= m_maxLines) {
        return;
    }

    // The oldest line of all is the first line of the request that stands first.
    const auto oldest = m_lines.find(m_order.front());
    oldest->second.pop_front();
    if (oldest->second.empty()) {
        m_lines.erase(oldest);
    }
    m_order.pop_front();
}

std::vector<std::string> DecisionJournal::linesOf(const std::string &request) const
{
    const auto it = m_lines.find(request);
    return it == m_lines.end() ? std::vector<std::string>() : std::vector<std::string>(it->second.begin(), it->second.end());
}

} // namespace snipeferry::observability
