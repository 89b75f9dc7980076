#pragma once

#include <absl/container/flat_hash_map.h>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <vector>

namespace snipeferry::routing {

/** Index of a backend server in the table of ServerPool. */
using ServerIndex = int;

/** A backend server whose prefix cache contains the leading blocks of a prompt. */
struct PrefixMatch
{
    ServerIndex server = -1;
    /** Number of the prompt's leading blocks in the cache. */
    std::size_t blocks = 0;
};

/**
 * Index of the prompt blocks that each backend server has in its prefix cache.
 *
 * The index is built from the backend servers' cache events, which can be late or lost, and from the requests that this
 * instance dispatches. The number of blocks per backend server is limited; the oldest are removed first.
 */
class PrefixIndex
{
public:
    /** @brief Applies a cache event; after a gap in the sequence numbers the backend server's earlier entries are removed. */
    void applyReport(ServerIndex server, std::uint64_t sequence, const std::vector<std::uint64_t> &stored, const std::vector<std::uint64_t> &evicted);

    /** @brief Adds the blocks that a dispatched request is expected to store in the cache. */
    void addExpected(ServerIndex server, const std::vector<std::uint64_t> &hashes);

    /** @brief Removes all entries of a backend server. */
    void removeServer(ServerIndex server);

    /**
     * @brief Finds the backend servers whose caches contain the longest prefix of a prompt.
     *
     * Uses a binary search because model engines evict a prompt's last blocks first. A missing entry only shortens the match.
     * @param hashes hashes of the prompt's prefixes, one per leading block, the longest prefix last
     * @return at most HOLDERS_PER_BLOCK matches
     */
    std::vector<PrefixMatch> find(const std::vector<std::uint64_t> &hashes) const;

    /** @brief Number of distinct blocks in the index, for metrics. */
    std::size_t size() const;

private:
    static constexpr std::size_t HOLDERS_PER_BLOCK = 4;
    static constexpr std::size_t BLOCKS_PER_SERVER = 8192;

    /** A backend server that has a block in its cache. */
    struct Holder
    {
        ServerIndex server = -1;
        /** The server's generation when the entry was made; entries of an older generation are ignored. */
        std::uint32_t generation = 0;
    };

    struct ServerState
    {
        /** Incremented when all entries of the server are removed; entries of older generations still in the index become invalid. */
        std::uint32_t generation = 0;
        /** Sequence number of the last cache event; 0 before the first. */
        std::uint64_t lastSequence = 0;
        /** Hashes of the blocks, oldest first. */
        std::deque<std::uint64_t> blocks;
    };

    void store(ServerIndex server, std::uint64_t hash);
    void evict(ServerIndex server, std::uint64_t hash);
    bool isCurrent(const Holder &holder) const;
    const std::vector<Holder> *holders(std::uint64_t hash) const;

    absl::flat_hash_map<std::uint64_t, std::vector<Holder>> m_holdersByBlock;
    absl::flat_hash_map<ServerIndex, ServerState> m_servers;
};

} // namespace snipeferry::routing
