#pragma once

#include "snipeferry/core/timerservice.h"
#include "snipeferry/gateway/message.h"

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <limits>
#include <string>
#include <vector>

/** Which prompt parts backend servers still have in their caches. The code in this namespace uses no sockets, threads or system clocks. */
namespace snipeferry::promptcache {

using gateway::PromptPart;

/** A shared prompt part that a backend server has prefilled and keeps in its KV cache until other parts displace it. */
struct ReadPart
{
    core::BackendServerId server;
    std::string part;

    SNIPEFERRY_VALUE(ReadPart, server, part)
};

/**
 * Estimates which shared prompt parts are in the KV cache of which backend server.
 *
 * The estimate is based on the requests that this instance has dispatched and on the reports of other instances. The last part
 * of a prompt belongs to a single request; the parts before it are shared.
 */
class PromptCacheIndex
{
public:
    explicit PromptCacheIndex(core::TimerService &timers);

    /** @brief Records that a prompt was dispatched to a backend server, which needs the given time until it has prefilled it. */
    void noteDispatched(const core::BackendServerId &server, const std::vector<PromptPart> &parts, absl::Duration prefillTime);

    /** @brief Records prompt parts that other instances have dispatched. */
    void notePeerReports(const std::vector<ReadPart> &parts);

    /** @brief Returns and clears the dispatched parts that the other instances of this region, or of other regions, have to be told about. */
    std::vector<ReadPart> takeUnreported(bool isForRegion);

    /** @brief Removes all entries of a backend server that has stopped or restarted. */
    void removeServer(const core::BackendServerId &server);

    /** @brief Leading tokens of a prompt that will be cached by the time the backend server processes a request dispatched now. */
    std::int64_t expectedTokens(const core::BackendServerId &server, const std::vector<PromptPart> &parts) const;

    /** @brief Leading tokens of a prompt that the backend server has in its cache now. */
    std::int64_t cachedTokens(const core::BackendServerId &server, const std::vector<PromptPart> &parts) const;

    bool hasPart(const core::BackendServerId &server, const std::string &part) const;

    /** @brief Backend servers that have the last shared part of a prompt in their cache now. */
    std::vector<core::BackendServerId> holders(const std::vector<PromptPart> &parts) const;

private:
    /**
     * Time in milliseconds since the index was created.
     *
     * Large fleets share tens of thousands of parts, each with several holders; absl::Time would double the memory of an entry.
     */
    using Milliseconds = std::int32_t;
    /** Short number of a backend server, in place of its identifier. */
    using ServerNumber = std::uint32_t;

    static constexpr Milliseconds NEVER = std::numeric_limits<Milliseconds>::min();
    static constexpr Milliseconds NOT_YET = std::numeric_limits<Milliseconds>::max();

    /** One backend server that has a part. */
    struct CacheEntry
    {
        ServerNumber server = 0;
        Milliseconds lastUsedAt = NEVER;
        /** When the prefill ended or is expected to end. */
        Milliseconds cachedAt = NOT_YET;
        /** When the entry was last reported within the region. */
        Milliseconds reportedAt = NEVER;
    };
    using Holders = std::vector<CacheEntry>;

    Milliseconds sinceStart(absl::Time time) const;
    /** Whether a time is at least as long ago as a duration. */
    bool isAgo(Milliseconds time, absl::Duration duration) const;
    ServerNumber numberOf(const core::BackendServerId &server);
    CacheEntry &updateEntry(const core::BackendServerId &server, const std::string &part, absl::Time cachedAt);
    void removeExpired();
    const CacheEntry *find(const core::BackendServerId &server, const std::string &part) const;
    std::int64_t leadingTokens(const core::BackendServerId &server, const std::vector<PromptPart> &parts, Milliseconds cachedBefore) const;

    core::TimerService &m_timers;
    absl::Time m_startedAt;
    absl::flat_hash_map<core::BackendServerId, ServerNumber> m_serverNumbers;
    /** Backend servers by their number. */
    std::vector<core::BackendServerId> m_servers;
    absl::flat_hash_map<std::string, Holders> m_parts;
    /** When a part was last reported to the other regions. They need only one backend server of this region that has it. */
    absl::flat_hash_map<std::string, Milliseconds> m_lastReportsToOtherRegions;
    std::vector<ReadPart> m_unreportedInRegion;
    std::vector<ReadPart> m_unreportedToOtherRegions;
    core::Subscription m_expiryTimer;
};

} // namespace snipeferry::promptcache
