#pragma once

#include "snipeferry/gateway/message.h"
#include "snipeferry/gateway/records.h"

#include <absl/time/time.h>

#include <optional>
#include <string>
#include <vector>

namespace snipeferry::net {

/** One page of a topic's records. */
struct RecordPage
{
    std::vector<gateway::Record> records;
    /** Revision of the store at the time of the answer. */
    core::Revision revision = 0;
    bool hasMore = false;
};

/** Changes of a topic up to a revision. */
struct ChangePage
{
    std::vector<gateway::RecordChange> changes;
    core::Revision revision = 0;
};

/** A lease that the store holds for this process. */
struct Lease
{
    std::string id;
    absl::Duration timeToLive;
};

/** Strategy that writes calls to one kind of key-value store as HTTP requests and reads its answers. */
class StoreFormat
{
public:
    virtual ~StoreFormat() = default;

    /** @brief The era that an answer names; none if it names none, an error if it cannot be read or is out of range. */
    virtual core::Expected<std::optional<std::int64_t>> decodeEra(const gateway::Headers &headers) const = 0;

    /** @brief Reads records of a topic behind a key; empty from the first one. @param mayBeOld takes an answer that is seconds old */
    virtual gateway::HttpRequest readPage(gateway::Topic topic, const std::string &afterKey, bool mayBeOld) const = 0;
    virtual core::Expected<RecordPage> decodePage(const std::string &body) const = 0;

    /** @brief Waits for changes of a topic behind a revision. */
    virtual gateway::HttpRequest awaitChanges(gateway::Topic topic, core::Revision after, absl::Duration wait) const = 0;
    virtual core::Expected<ChangePage> decodeChanges(const std::string &body) const = 0;

    virtual gateway::HttpRequest openLease(absl::Duration timeToLive) const = 0;
    virtual core::Expected<Lease> decodeLease(const std::string &body) const = 0;
    virtual gateway::HttpRequest renewLease(const Lease &lease) const = 0;
    virtual gateway::HttpRequest endLease(const Lease &lease) const = 0;

    /** @brief Writes records for good; with a guard only if no record has the guard's key yet, and the guard with them. */
    virtual gateway::HttpRequest writeRecords(const std::vector<gateway::Record> &records, const std::optional<gateway::Record> &guard) const = 0;

    /** @brief Reads which record stood in the way of a guard. */
    virtual core::Expected<gateway::Record> decodeConflict(const std::string &body) const = 0;

    /** @brief Reads records whose keys begin so, at most one page. @param mayBeOld takes an answer that is seconds old */
    virtual gateway::HttpRequest readPrefix(const std::string &prefix, bool mayBeOld) const = 0;

    /**
     * @brief Writes a record if its key still has a revision, and removes others with it, all or nothing.
     * @param expected the store's own revision of the key; 0 if there must be none
     */
    virtual gateway::HttpRequest swapRecord(const gateway::Record &record, core::Revision expected, const std::vector<std::string> &removedKeys) const = 0;

    /** @brief Reads the store's own revision of a write. */
    virtual core::Expected<core::Revision> decodeWritten(const std::string &body) const = 0;

    /** @brief Writes a record that goes with the lease. */
    virtual gateway::HttpRequest writeRecord(const gateway::Record &record, const Lease &lease) const = 0;
};

} // namespace snipeferry::net
