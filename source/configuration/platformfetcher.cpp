#include "platformfetcher.h"

#include "snipeferry/core/digest.h"
#include "snipeferry/platform/keys.h"

#include <algorithm>
#include <utility>

namespace snipeferry::configuration {

namespace {

constexpr absl::Duration FIRST_BACKOFF = absl::Milliseconds(200);
constexpr absl::Duration MAX_BACKOFF = absl::Seconds(2);
constexpr absl::Duration READ_TIMEOUT = absl::Seconds(2);
/** If more chunks than this are missing, all chunks are read by one call. */
constexpr std::size_t MAX_SEPARATE_READS = 4;

} // namespace

PlatformFetcher::PlatformFetcher(core::TimerService &timers, messages::Outbox &outbox, Listener listener)
    : m_timers(timers),
      m_outbox(outbox),
      m_listener(std::move(listener)),
      m_backoff(FIRST_BACKOFF)
{
}

void PlatformFetcher::setCurrent(std::shared_ptr<const Configuration> current)
{
    m_current = std::move(current);
    if (m_manifest.has_value() && m_manifest->revision <= currentRevision()) {
        reset();
    }
}

void PlatformFetcher::poll()
{
    if (!m_manifestCall.has_value() && !m_manifest.has_value()) {
        m_manifestCall = read(platform::CONFIGURATION_KEY, false);
    }
}

bool PlatformFetcher::isReachable() const
{
    return m_isReachable;
}

void PlatformFetcher::handle(const messages::PlatformReplied &event)
{
    const platform::Reply &reply = event.reply;
    const bool isManifest = m_manifestCall == reply.id;
    const bool isChunk = m_chunkCalls.erase(reply.id) > 0;
    if (!isManifest && !isChunk) {
        return;
    }
    m_isReachable = reply.outcome == platform::Outcome::Answered;
    if (!m_isReachable) {
        m_listener.answered(PlatformState::Unreachable);
        scheduleRetry();
        return;
    }
    if (isChunk) {
        handleChunk(reply);
        return;
    }
    m_manifestCall.reset();
    if (reply.values.empty()) {
        m_listener.answered(currentRevision() == 0 ? PlatformState::Empty : PlatformState::Older);
        return;
    }
    handleManifest(reply.values.front().value);
}

void PlatformFetcher::handle(const messages::PlatformWatched &event)
{
    if (event.event.key == platform::CONFIGURATION_KEY && event.event.value.has_value()) {
        m_isReachable = true;
        handleManifest(*event.event.value);
    }
}

void PlatformFetcher::handleManifest(const std::string &text)
{
    core::Expected<Manifest> manifest = decodeManifest(text);
    if (!manifest.has_value()) {
        scheduleRetry();
        return;
    }
    if (manifest->revision <= currentRevision()) {
        m_backoff = FIRST_BACKOFF;
        m_listener.answered(manifest->revision == currentRevision() ? PlatformState::Same : PlatformState::Older);
        return;
    }
    if (m_manifest.has_value() && manifest->revision <= m_manifest->revision) {
        return;
    }
    // Reuse the chunks of the configuration in force.
    reset();
    m_manifest = std::move(*manifest);
    if (m_current != nullptr) {
        for (Chunk &chunk : splitConfiguration(*m_current)) {
            m_chunks[chunk.name] = std::move(chunk.bytes);
        }
    }
    requestChunks();
}

void PlatformFetcher::requestChunks()
{
    std::vector<std::string> missing;
    for (const ChunkReference &reference : m_manifest->chunks) {
        const auto chunk = m_chunks.find(reference.name);
        if (chunk == m_chunks.end() || core::sha256Hex(chunk->second) != reference.digest) {
            missing.push_back(reference.key);
        }
    }
    if (missing.empty()) {
        assembleConfiguration();
        return;
    }
    if (missing.size() > MAX_SEPARATE_READS) {
        m_chunkCalls.insert(read(platform::CONFIGURATION_CHUNK_PREFIX, true));
        return;
    }
    for (const std::string &key : missing) {
        m_chunkCalls.insert(read(key, false));
    }
}

void PlatformFetcher::handleChunk(const platform::Reply &reply)
{
    for (const platform::KeyValue &value : reply.values) {
        for (const ChunkReference &reference : m_manifest->chunks) {
            if (reference.key == value.key) {
                m_chunks[reference.name] = value.value;
            }
        }
    }
    if (m_chunkCalls.empty()) {
        assembleConfiguration();
    }
}

void PlatformFetcher::assembleConfiguration()
{
    core::Expected<Configuration> configuration = joinConfiguration(*m_manifest, m_chunks);
    if (!configuration.has_value()) {
        scheduleRetry();
        return;
    }
    reset();
    m_backoff = FIRST_BACKOFF;
    m_listener.fetched(std::move(*configuration));
}

void PlatformFetcher::scheduleRetry()
{
    // A later change may have deleted chunks that the manifest lists, so the manifest and the chunks are read again.
    reset();
    m_retryTimer = m_timers.after(m_backoff, [this] { poll(); });
    m_backoff = std::min(m_backoff * 2, MAX_BACKOFF);
}

void PlatformFetcher::reset()
{
    m_manifestCall.reset();
    m_chunkCalls.clear();
    m_manifest.reset();
    m_chunks.clear();
}

platform::CallId PlatformFetcher::read(std::string key, bool isPrefix)
{
    const platform::CallId id = m_outbox.nextCallId();
    m_outbox.push(platform::Call{id, platform::Read{std::move(key), isPrefix}, READ_TIMEOUT});
    return id;
}

core::Revision PlatformFetcher::currentRevision() const
{
    return m_current == nullptr ? 0 : m_current->revision;
}

} // namespace snipeferry::configuration
