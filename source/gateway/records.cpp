#include "snipeferry/gateway/records.h"

#include "snipeferry/gateway/storeposition.h"

#include <algorithm>

namespace snipeferry::gateway {

RecordMirror::RecordMirror(core::TimerService &timers)
    : m_timers(timers)
{
}

std::vector<RecordChange> RecordMirror::replace(const std::vector<Record> &records, core::Revision revision)
{
    std::vector<RecordChange> changes;
    if (m_isLoaded && revision < m_revision) {
        return changes;
    }
    // After a return of the store each record has a new position; what it holds decides whether it has changed.
    const bool isReturned = m_isLoaded && eraOf(revision) > eraOf(m_revision);
    std::map<std::string, Record> updatedRecords;
    for (const Record &record : records) {
        const auto known = m_records.find(record.key);
        const bool isSame = isReturned && known != m_records.end() && known->second.value == record.value;
        if (known == m_records.end() || known->second.revision < record.revision) {
            if (!isSame) {
                changes.push_back({record.key, record.value, record.revision});
            }
            m_changeRevision = std::max(m_changeRevision, record.revision);
            updatedRecords[record.key] = record;
        } else {
            updatedRecords[record.key] = known->second;
        }
    }
    if (isReturned) {
        m_changeRevision = std::max(m_changeRevision, positionOf(eraOf(revision), 0));
    }
    for (const auto &entry : m_records) {
        if (updatedRecords.count(entry.first) != 0) {
            continue;
        }
        if (entry.second.revision > revision) {
            // Written after the read.
            updatedRecords.insert(entry);
        } else {
            changes.push_back({entry.first, std::nullopt, revision});
        }
    }
    for (const RecordChange &change : changes) {
        m_changeRevision = std::max(m_changeRevision, change.revision);
    }
    m_records = std::move(updatedRecords);
    m_revision = revision;
    m_isLoaded = true;
    return changes;
}

std::vector<RecordChange> RecordMirror::apply(const std::vector<RecordChange> &changes, core::Revision revision)
{
    std::vector<RecordChange> newChanges;
    for (const RecordChange &change : changes) {
        const auto known = m_records.find(change.key);
        if (change.revision <= m_revision || (known != m_records.end() && known->second.revision >= change.revision)) {
            continue;
        }
        if (change.value.has_value()) {
            m_records[change.key] = Record{change.key, *change.value, change.revision};
        } else if (known != m_records.end()) {
            m_records.erase(known);
        }
        m_changeRevision = std::max(m_changeRevision, change.revision);
        newChanges.push_back(change);
    }
    m_revision = std::max(m_revision, revision);
    return newChanges;
}

void RecordMirror::confirm(absl::Time at)
{
    m_confirmedAt = std::max(m_confirmedAt, std::min(at, m_timers.now()));
}

bool RecordMirror::isLoaded() const
{
    return m_isLoaded;
}

core::Revision RecordMirror::revision() const
{
    return m_revision;
}

core::Revision RecordMirror::changeRevision() const
{
    return m_changeRevision;
}

absl::Time RecordMirror::confirmedAt() const
{
    return m_confirmedAt;
}

std::vector<Record> RecordMirror::records() const
{
    std::vector<Record> all;
    all.reserve(m_records.size());
    for (const auto &entry : m_records) {
        all.push_back(entry.second);
    }
    return all;
}

const Record *RecordMirror::find(const std::string &key) const
{
    const auto it = m_records.find(key);
    return it == m_records.end() ? nullptr : &it->second;
}

} // namespace snipeferry::gateway
