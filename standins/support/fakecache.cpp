#include "support/fakeengine.h"

namespace snipeferry::standins {

namespace {

constexpr std::size_t MAX_EVENTS = 1000;

} // namespace

FakeCache::FakeCache(std::size_t maxBlocks)
    : m_maxBlocks(maxBlocks)
{
}

void FakeCache::store(const std::vector<std::uint64_t> &blocks)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    Event event;
    for (const std::uint64_t block : blocks) {
        const auto it = m_blocks.find(block);
        if (it != m_blocks.end()) {
            m_byUse.erase(it->second);
        } else {
            event.stored.push_back(block);
        }
        m_byUse.push_front(block);
        m_blocks[block] = m_byUse.begin();
    }
    while (m_byUse.size() > m_maxBlocks) {
        event.evicted.push_back(m_byUse.back());
        m_blocks.erase(m_byUse.back());
        m_byUse.pop_back();
    }
    if (event.stored.empty() && event.evicted.empty()) {
        return;
    }
    event.sequence = ++m_lastSequence;
    m_events.push_back(std::move(event));
    if (m_events.size() > MAX_EVENTS) {
        m_events.pop_front();
    }
}

nlohmann::json FakeCache::eventsAfter(std::uint64_t sequence) const
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    nlohmann::json list = nlohmann::json::array();
    for (const Event &event : m_events) {
        if (event.sequence > sequence) {
            list.push_back({{"sequence", event.sequence}, {"stored", event.stored}, {"evicted", event.evicted}});
        }
    }
    return list;
}

} // namespace snipeferry::standins
