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

/** What the memory of an engine has to hold, as far as this instance knows. */
struct MemoryUse
{
    /** Tokens that fit into the memory; 0 if it is not known. */
    std::int64_t capacity = 0;
    /** Tokens of the running requests without the shared parts of their prompts. */
    std::int64_t runningTokens = 0;
    /** Usual duration of a run. */
    absl::Duration runTime;

    SNIPEFERRY_VALUE(MemoryUse, capacity, runningTokens, runTime)
};

/**
 * Estimates which shared prompt parts are in the KV cache of which backend server.
 *
 * The estimate is based on the requests that this instance has dispatched and on the reports of other instances. The last part
 * of a prompt belongs to a single request; the parts before it are shared.
 *
 * A part counts as evicted some time after its last use. Where the memory of the engine is known, it does so by the tokens that the engine
 * has taken in since; near the limit, the part is held with a probability, because reports are late and have gaps.
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

    /** @brief Sets what the memory of a backend server has to hold. Its entries no longer expire by time alone once its capacity is known. */
    void setMemoryUse(const core::BackendServerId &server, const MemoryUse &use);

    /** @brief Records tokens that a backend server has taken into its memory; without effect while its capacity is not known. */
    void noteTakenIn(const core::BackendServerId &server, std::int64_t tokens);

    /** @brief Probability from 0 to 1 that a backend server still holds a part. */
    double chance(const core::BackendServerId &server, const std::string &part) const;

    /** @brief Removes all entries of a backend server that has stopped or restarted. */
    void removeServer(const core::BackendServerId &server);

    /** @brief Expected leading tokens of a prompt that will be cached by the time the backend server processes a request dispatched now. */
    std::int64_t expectedTokens(const core::BackendServerId &server, const std::vector<PromptPart> &parts) const;

    /** @brief Expected leading tokens of a prompt that the backend server has in its cache now. */
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

    static constexpr int SERVER_BITS = 20;
    static constexpr int MARK_BITS = 12;

    /** One backend server that has a part. The server and the mark share a word, so that known memory does not make entries larger. */
    struct CacheEntry
    {
        ServerNumber server : SERVER_BITS;
        /** The low bits of what the server had taken in at the last use, in units of ServerMemory::unitTokens. */
        std::uint32_t takenInMark : MARK_BITS;
        Milliseconds lastUsedAt = NEVER;
        /** When the prefill ended or is expected to end. */
        Milliseconds cachedAt = NOT_YET;
        /** When the entry was last reported within the region. */
        Milliseconds reportedAt = NEVER;
    };
    static_assert(sizeof(CacheEntry) == 16, "Entries must not grow: large fleets have hundreds of thousands.");
    using Holders = std::vector<CacheEntry>;

    /** Memory of one backend server whose capacity is or was known. */
    struct ServerMemory
    {
        MemoryUse use;
        /** Unit of the marks; 0 before a capacity was known. Stays the same, so that marks remain comparable. */
        std::int64_t unitTokens = 0;
        std::int64_t takenInTokens = 0;
        /** Report interval in tokens that the present one belongs to, and when it began. */
        std::int64_t reportInterval = 0;
        Milliseconds reportIntervalBeganAt = NEVER;
    };

    Milliseconds sinceStart(absl::Time time) const;
    /** Whether a time is at least as long ago as a duration. */
    bool isAgo(Milliseconds time, absl::Duration duration) const;
    ServerNumber numberOf(const core::BackendServerId &server);
    CacheEntry &updateEntry(const core::BackendServerId &server, const std::string &part, absl::Time cachedAt);
    void removeExpired();
    /** Null if the capacity of the backend server's memory is not known. */
    const ServerMemory *knownMemory(ServerNumber server) const;
    /** The mark of an entry that is used now. */
    std::uint32_t currentMark(ServerNumber server) const;
    double chanceOf(const CacheEntry &entry) const;
    bool isReportDue(const CacheEntry &entry) const;
    const CacheEntry *find(const core::BackendServerId &server, const std::string &part) const;
    std::int64_t leadingTokens(const core::BackendServerId &server, const std::vector<PromptPart> &parts, Milliseconds cachedBefore) const;

    core::TimerService &m_timers;
    absl::Time m_startedAt;
    absl::flat_hash_map<core::BackendServerId, ServerNumber> m_serverNumbers;
    /** Backend servers by their number. */
    std::vector<core::BackendServerId> m_servers;
    /** By the backend server's number; empty while no capacity is known. */
    std::vector<ServerMemory> m_memories;
    absl::flat_hash_map<std::string, Holders> m_parts;
    /** When a part was last reported to the other regions. They need only one backend server of this region that has it. */
    absl::flat_hash_map<std::string, Milliseconds> m_lastReportsToOtherRegions;
    std::vector<ReadPart> m_unreportedInRegion;
    std::vector<ReadPart> m_unreportedToOtherRegions;
    core::Subscription m_expiryTimer;
};

} // namespace snipeferry::promptcache
