#include "snipeferry/gateway/promptquarantine.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <utility>

// What instances tell each other, and the store, about crashes and quarantined prompt parts.
namespace snipeferry::gateway {

QuarantinedPart PromptQuarantine::describe(const Entry &entry) const
{
    QuarantinedPart part = entry.part;
    part.lastCrashAgo = m_timers.now() - entry.lastCrashAt;
    return part;
}

PromptEvidence PromptQuarantine::receive(const PromptEvidence &message)
{
    const absl::Time now = m_timers.now();
    PromptEvidence fresh;
    for (const PartClearance &clearance : message.clearances) {
        const absl::Time at = now - clearance.ago;
        const bool matters = m_crashes.lastCrashOf(clearance.key) > clearedAt(clearance.key) || m_quarantined.contains(clearance.key);
        if (matters && at > clearedAt(clearance.key)) {
            fresh.clearances.push_back(clearance);
        }
        noteCleared(clearance.key, at);
    }
    for (const CrashReport &report : message.crashes) {
        if (m_crashes.merge(report)) {
            evidenceChanged();
            fresh.crashes.push_back(report);
        }
    }
    for (const QuarantinedPart &part : message.quarantined) {
        if (isExonerated(part, clearedAt(part.key))) {
            // The sender does not know of the run with the part that ended well.
            m_clearanceNews.push_back(part.key);
            continue;
        }
        if (!m_quarantined.contains(part.key)) {
            fresh.quarantined.push_back(part);
        }
        quarantine(part, "instance");
    }
    return fresh;
}

PromptEvidence PromptQuarantine::takeNews()
{
    const absl::Time now = m_timers.now();
    PromptEvidence news;
    news.crashes = m_crashes.takeNews();
    for (const CrashReport &report : news.crashes) {
        m_journal.log(core::LogEvent{"server_crashed", {}}
                          .with("server", report.server.value())
                          .with("service", report.service.value())
                          .with("ago_ms", absl::StrCat(absl::ToInt64Milliseconds(report.ago)))
                          .with("parts", absl::StrCat(report.parts.size())));
    }
    const absl::flat_hash_set<PartKey> cleared(m_clearanceNews.begin(), m_clearanceNews.end());
    m_clearanceNews.clear();
    for (const PartKey &key : cleared) {
        news.clearances.push_back({key, now - clearedAt(key)});
    }
    for (const PartKey &key : std::exchange(m_quarantineNews, {})) {
        const auto it = m_quarantined.find(key);
        if (it != m_quarantined.end()) {
            news.quarantined.push_back(describe(it->second));
        }
    }
    return news;
}

PromptEvidence PromptQuarantine::summary() const
{
    const absl::Time now = m_timers.now();
    PromptEvidence all;
    for (CrashReport &report : m_crashes.recentReports()) {
        // The receiver has not heard of the runs that ended well since.
        const auto isCleared = [this, &report, now](const PartInWork &part) {
            return clearedAt(PartKey{report.service, part.part}) >= now - report.ago;
        };
        report.parts.erase(std::remove_if(report.parts.begin(), report.parts.end(), isCleared), report.parts.end());
        if (!report.parts.empty()) {
            all.crashes.push_back(std::move(report));
        }
    }
    for (const auto &entry : m_quarantined) {
        all.quarantined.push_back(describe(entry.second));
    }
    return all;
}

void PromptQuarantine::adopt(const QuarantineRecord &record)
{
    if (record.isReleased) {
        release(record.key, "stored");
    } else if (!m_quarantined.contains(record.key)) {
        quarantine(QuarantinedPart{record.key, record.crashes, absl::ZeroDuration(), {}}, "store");
    }
}

void PromptQuarantine::clear(const PartKey &key)
{
    noteCleared(key, m_timers.now());
    release(key, "record_removed");
}

std::vector<QuarantineRecord> PromptQuarantine::records() const
{
    std::vector<QuarantineRecord> all;
    for (const auto &entry : m_quarantined) {
        all.push_back({entry.first, entry.second.part.crashes, false});
    }
    return all;
}

} // namespace snipeferry::gateway
