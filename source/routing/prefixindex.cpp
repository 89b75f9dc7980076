#include "snipeferry/routing/prefixindex.h"

#include <algorithm>

namespace snipeferry::routing {

void PrefixIndex::applyReport(ServerIndex server, std::uint64_t sequence, const std::vector<std::uint64_t> &stored, const std::vector<std::uint64_t> &evicted)
{
    ServerState &state = m_servers[server];
    const bool isFirstEvent = state.lastSequence == 0;

    // Ignore an event that arrives after one with a higher sequence number, which may have changed the same blocks.
    if (!isFirstEvent && sequence <= state.lastSequence) {
        return;
    }
    const bool hasGap = !isFirstEvent && sequence != state.lastSequence + 1;
    if (hasGap) {
        removeServer(server);
    }
    m_servers[server].lastSequence = sequence;

    for (const std::uint64_t hash : evicted) {
        evict(server, hash);
    }
    for (const std::uint64_t hash : stored) {
        store(server, hash);
    }
}

void PrefixIndex::addExpected(ServerIndex server, const std::vector<std::uint64_t> &hashes)
{
    for (const std::uint64_t hash : hashes) {
        store(server, hash);
    }
}

void PrefixIndex::removeServer(ServerIndex server)
{
    ServerState &state = m_servers[server];
    for (const std::uint64_t hash : state.blocks) {
        evict(server, hash);
    }
    state.blocks.clear();
    state.lastSequence = 0;
    ++state.generation;
}

std::vector<PrefixMatch> PrefixIndex::find(const std::vector<std::uint64_t> &hashes) const
{
    // Binary search for the longest prefix that a backend server has in its cache.
    std::size_t knownLength = 0;
    std::size_t unknownLength = hashes.size() + 1;
    while (unknownLength - knownLength > 1) {
        const std::size_t middle = knownLength + (unknownLength - knownLength) / 2;
        const std::vector<Holder> *found = holders(hashes[middle - 1]);
        const bool isHeld = found != nullptr && std::any_of(found->begin(), found->end(), [this](const Holder &holder) { return isCurrent(holder); });
        (isHeld ? knownLength : unknownLength) = middle;
    }

    std::vector<PrefixMatch> matches;
    if (knownLength == 0) {
        return matches;
    }
    for (const Holder &holder : *holders(hashes[knownLength - 1])) {
        if (isCurrent(holder)) {
            matches.push_back({holder.server, knownLength});
        }
    }
    return matches;
}

std::size_t PrefixIndex::size() const
{
    return m_holdersByBlock.size();
}

void PrefixIndex::store(ServerIndex server, std::uint64_t hash)
{
    ServerState &state = m_servers[server];
    std::vector<Holder> &found = m_holdersByBlock[hash];
    const auto knownLength = std::find_if(found.begin(), found.end(), [server](const Holder &holder) { return holder.server == server; });
    if (knownLength != found.end()) {
        knownLength->generation = state.generation;
        return;
    }

    // Replace the oldest holder if the maximum is reached.
    if (found.size() == HOLDERS_PER_BLOCK) {
        found.erase(found.begin());
    }
    found.push_back({server, state.generation});
    state.blocks.push_back(hash);
    if (state.blocks.size() > BLOCKS_PER_SERVER) {
        const std::uint64_t oldest = state.blocks.front();
        state.blocks.pop_front();
        evict(server, oldest);
    }
}

void PrefixIndex::evict(ServerIndex server, std::uint64_t hash)
{
    const auto it = m_holdersByBlock.find(hash);
    if (it == m_holdersByBlock.end()) {
        return;
    }
    std::vector<Holder> &found = it->second;
    found.erase(std::remove_if(found.begin(), found.end(), [server](const Holder &holder) { return holder.server == server; }), found.end());
    if (found.empty()) {
        m_holdersByBlock.erase(it);
    }
}

bool PrefixIndex::isCurrent(const Holder &holder) const
{
    const auto it = m_servers.find(holder.server);
    return it != m_servers.end() && it->second.generation == holder.generation;
}

const std::vector<PrefixIndex::Holder> *PrefixIndex::holders(std::uint64_t hash) const
{
    const auto it = m_holdersByBlock.find(hash);
    return it == m_holdersByBlock.end() ? nullptr : &it->second;
}

} // namespace snipeferry::routing
