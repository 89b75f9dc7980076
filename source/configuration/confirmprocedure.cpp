#include "snipeferry/configuration/confirmprocedure.h"

#include "snipeferry/platform/keys.h"

#include <algorithm>
#include <set>
#include <utility>

namespace snipeferry::configuration {

namespace {

constexpr absl::Duration CALL_TIMEOUT = absl::Seconds(2);
constexpr absl::Duration RETRY_DELAY = absl::Milliseconds(300);
/** Number of consecutive failed calls after which the procedure ends. */
constexpr int MAX_CONSECUTIVE_FAILURES = 8;
/** Number of accepted plans that a manifest lists. */
constexpr std::size_t MAX_ACCEPTED_PLANS = 100;

std::string chunkKey(const std::string &nonce, const std::string &name)
{
    return platform::CONFIGURATION_CHUNK_PREFIX + nonce + "/" + name;
}

const ChunkReference *findReference(const Manifest &manifest, const Chunk &chunk)
{
    const auto it = std::find_if(manifest.chunks.begin(), manifest.chunks.end(),
        [&](const ChunkReference &reference) { return reference.name == chunk.name && reference.digest == chunk.digest; });
    return it == manifest.chunks.end() ? nullptr : &*it;
}

// Groups writes into transactions of at most MAX_CHUNK_BYTES each.
std::vector<platform::Transaction> batchWrites(std::vector<platform::Write> writes)
{
    std::vector<platform::Transaction> batches;
    std::size_t bytes = 0;
    for (platform::Write &write : writes) {
        const std::size_t size = write.value->size();
        if (batches.empty() || bytes + size > MAX_CHUNK_BYTES) {
            batches.emplace_back();
            bytes = 0;
        }
        bytes += size;
        batches.back().writes.push_back(std::move(write));
    }
    return batches;
}

core::Error platformUnavailableError()
{
    return core::makeError(core::ErrorKind::PlatformUnavailable, "the platform does not answer");
}

} // namespace

const char *confirmOutcomeName(ConfirmResult::Outcome outcome)
{
    switch (outcome) {
    case ConfirmResult::Outcome::Accepted:
        return "accepted";
    case ConfirmResult::Outcome::Refused:
        return "refused";
    case ConfirmResult::Outcome::Unavailable:
        return "unavailable";
    case ConfirmResult::Outcome::Unclear:
        break;
    }
    return "unclear";
}

ConfirmProcedure::ConfirmProcedure(Plan plan)
    : m_plan(std::move(plan))
{
}

std::optional<platform::Call> ConfirmProcedure::nextCall()
{
    if (m_step == Step::Ended) {
        return std::nullopt;
    }
    return callFor(m_step);
}

absl::Duration ConfirmProcedure::retryDelay() const
{
    return m_failureCount == 0 ? absl::ZeroDuration() : RETRY_DELAY * m_failureCount;
}

const std::optional<ConfirmResult> &ConfirmProcedure::result() const
{
    return m_result;
}

platform::Call ConfirmProcedure::callFor(Step step)
{
    const platform::CallId id = ++m_lastCallId;
    if (step == Step::ReadBase) {
        return platform::Call{id, platform::Read{platform::CONFIGURATION_KEY, false}, CALL_TIMEOUT};
    }
    if (step == Step::StageChunks) {
        return platform::Call{id, m_batches[m_writtenBatchCount], CALL_TIMEOUT};
    }
    if (step == Step::Commit) {
        return platform::Call{id, m_commit, CALL_TIMEOUT};
    }
    // No manifest refers to the chunks of a refused plan, so they are deleted.
    platform::Transaction removal;
    for (const platform::Transaction &batch : m_batches) {
        for (const platform::Write &write : batch.writes) {
            removal.writes.push_back({write.key, std::nullopt, 0});
        }
    }
    return platform::Call{id, std::move(removal), CALL_TIMEOUT};
}

void ConfirmProcedure::handle(const platform::Reply &reply)
{
    if (reply.id != m_lastCallId || m_step == Step::Ended) {
        return;
    }
    if (m_step == Step::RemoveStaged) {
        m_step = Step::Ended;
        return;
    }
    if (reply.outcome != platform::Outcome::Answered) {
        m_isCommitReplyLost = m_isCommitReplyLost || (m_step == Step::Commit && reply.outcome == platform::Outcome::Unknown);
        handleFailure();
        return;
    }
    m_failureCount = 0;
    if (m_step == Step::ReadBase) {
        handleBase(reply);
    } else if (m_step == Step::StageChunks) {
        handleStagedBatch(reply);
    } else {
        handleCommit(reply);
    }
}

void ConfirmProcedure::handleFailure()
{
    if (++m_failureCount < MAX_CONSECUTIVE_FAILURES) {
        return;
    }
    if (m_isCommitReplyLost) {
        end(ConfirmResult::Outcome::Unclear, m_plan.baseRevision,
            "a reply was lost and the platform could not be queried again; confirm this plan again to learn whether it was accepted");
        return;
    }
    end(ConfirmResult::Outcome::Unavailable, m_plan.baseRevision, "the platform does not answer; this run changed nothing");
}

void ConfirmProcedure::handleBase(const platform::Reply &reply)
{
    const std::int64_t modRevision = reply.values.empty() ? 0 : reply.values.front().modRevision;
    if (modRevision > m_plan.baseModRevision) {
        decideFromManifest(reply);
        return;
    }
    // The platform answered with stale data: the reply is older than the plan's base.
    if (modRevision < m_plan.baseModRevision) {
        handleFailure();
        return;
    }
    Manifest base;
    if (!reply.values.empty()) {
        core::Expected<Manifest> manifest = decodeManifest(reply.values.front().value);
        if (!manifest.has_value()) {
            end(ConfirmResult::Outcome::Refused, m_plan.baseRevision, "the manifest at the platform cannot be read");
            return;
        }
        base = std::move(*manifest);
    }
    prepareTransactions(base);
    m_step = m_batches.empty() ? Step::Commit : Step::StageChunks;
}

void ConfirmProcedure::prepareTransactions(const Manifest &base)
{
    // Unchanged chunks keep their keys. The others are written under keys that contain this plan's nonce.
    Manifest next;
    next.revision = m_plan.target.revision;
    std::vector<platform::Write> writes;
    std::set<std::string> kept;
    for (Chunk &chunk : splitConfiguration(m_plan.target)) {
        const ChunkReference *reference = findReference(base, chunk);
        const std::string key = reference == nullptr ? chunkKey(m_plan.nonce, chunk.name) : reference->key;
        next.chunks.push_back({chunk.name, key, chunk.digest});
        kept.insert(key);
        if (reference == nullptr) {
            writes.push_back({key, std::move(chunk.bytes), 0});
        }
    }
    m_batches = batchWrites(std::move(writes));
    m_writtenBatchCount = 0;

    // The manifest lists which plan created which revision.
    next.accepted = base.accepted;
    next.accepted.push_back({next.revision, m_plan.nonce});
    if (next.accepted.size() > MAX_ACCEPTED_PLANS) {
        next.accepted.erase(next.accepted.begin());
    }
    m_commit = platform::Transaction();
    m_commit.conditions.push_back({platform::CONFIGURATION_KEY, m_plan.baseModRevision});
    m_commit.writes.push_back({platform::CONFIGURATION_KEY, encodeManifest(next), 0});
    for (const ChunkReference &reference : base.chunks) {
        if (kept.count(reference.key) == 0) {
            m_commit.writes.push_back({reference.key, std::nullopt, 0});
        }
    }
}

void ConfirmProcedure::handleStagedBatch(const platform::Reply &)
{
    if (++m_writtenBatchCount == m_batches.size()) {
        m_step = Step::Commit;
    }
}

void ConfirmProcedure::handleCommit(const platform::Reply &reply)
{
    if (reply.succeeded) {
        end(ConfirmResult::Outcome::Accepted, m_plan.target.revision, "accepted");
        return;
    }
    decideFromManifest(reply);
}

void ConfirmProcedure::decideFromManifest(const platform::Reply &reply)
{
    const core::Expected<Manifest> manifest = reply.values.empty() ? core::Expected<Manifest>(Manifest()) : decodeManifest(reply.values.front().value);
    if (!manifest.has_value()) {
        end(ConfirmResult::Outcome::Unclear, m_plan.baseRevision, "the manifest at the platform cannot be read");
        return;
    }
    if (wasAccepted(*manifest)) {
        end(ConfirmResult::Outcome::Accepted, m_plan.target.revision, "this plan was already accepted");
        return;
    }
    // Another plan was certainly accepted instead of this one only if the manifest still lists the plan's revision.
    const bool listsRevision = std::any_of(
        manifest->accepted.begin(), manifest->accepted.end(), [&](const AcceptedPlan &accepted) { return accepted.revision == m_plan.target.revision; });
    if (!listsRevision) {
        end(ConfirmResult::Outcome::Unclear, manifest->revision, "the base changed too long ago to tell whether this plan was accepted");
        return;
    }
    refuse(manifest->revision);
}

bool ConfirmProcedure::wasAccepted(const Manifest &manifest) const
{
    const AcceptedPlan own{m_plan.target.revision, m_plan.nonce};
    return std::find(manifest.accepted.begin(), manifest.accepted.end(), own) != manifest.accepted.end();
}

void ConfirmProcedure::refuse(core::Revision revision)
{
    end(ConfirmResult::Outcome::Refused, revision, "another plan was accepted on the same base; make a new plan");
    if (!m_batches.empty()) {
        m_step = Step::RemoveStaged;
    }
}

void ConfirmProcedure::end(ConfirmResult::Outcome outcome, core::Revision revision, std::string message)
{
    m_step = Step::Ended;
    m_result = ConfirmResult{outcome, revision, std::move(message)};
}

std::optional<platform::Call> ReadBaseProcedure::nextCall()
{
    if (m_result.has_value()) {
        return std::nullopt;
    }
    const platform::CallId id = ++m_lastCallId;
    if (!m_manifest.has_value()) {
        return platform::Call{id, platform::Read{platform::CONFIGURATION_KEY, false}, CALL_TIMEOUT};
    }
    return platform::Call{id, platform::Read{platform::CONFIGURATION_CHUNK_PREFIX, true}, CALL_TIMEOUT};
}

absl::Duration ReadBaseProcedure::retryDelay() const
{
    return m_failureCount == 0 ? absl::ZeroDuration() : RETRY_DELAY;
}

void ReadBaseProcedure::handle(const platform::Reply &reply)
{
    if (reply.id != m_lastCallId || m_result.has_value()) {
        return;
    }
    if (reply.outcome != platform::Outcome::Answered) {
        if (++m_failureCount >= MAX_CONSECUTIVE_FAILURES) {
            m_result = tl::make_unexpected(platformUnavailableError());
        }
        return;
    }
    if (m_manifest.has_value()) {
        handleChunks(reply);
    } else {
        handleManifest(reply);
    }
}

const std::optional<core::Expected<PlanBase>> &ReadBaseProcedure::result() const
{
    return m_result;
}

void ReadBaseProcedure::handleManifest(const platform::Reply &reply)
{
    if (reply.values.empty()) {
        m_result = PlanBase();
        return;
    }
    core::Expected<Manifest> manifest = decodeManifest(reply.values.front().value);
    if (!manifest.has_value()) {
        m_result = tl::make_unexpected(manifest.error());
        return;
    }
    m_manifest = std::move(*manifest);
    m_modRevision = reply.values.front().modRevision;
}

void ReadBaseProcedure::handleChunks(const platform::Reply &reply)
{
    std::map<std::string, std::string> chunks;
    for (const ChunkReference &reference : m_manifest->chunks) {
        const auto value = std::find_if(reply.values.begin(), reply.values.end(), [&](const platform::KeyValue &entry) { return entry.key == reference.key; });
        if (value != reply.values.end()) {
            chunks[reference.name] = value->value;
        }
    }
    core::Expected<Configuration> configuration = joinConfiguration(*m_manifest, chunks);
    if (configuration.has_value()) {
        m_result = PlanBase{std::move(*configuration), m_modRevision};
        return;
    }
    // The configuration changed between the two reads, so both are repeated.
    m_manifest.reset();
    if (++m_failureCount >= MAX_CONSECUTIVE_FAILURES) {
        m_result = tl::make_unexpected(configuration.error());
    }
}

} // namespace snipeferry::configuration
