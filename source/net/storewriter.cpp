#include "storewriter.h"

#include <absl/strings/str_cat.h>

#include <optional>
#include <random>
#include <utility>

namespace snipeferry::net {

namespace {

constexpr absl::Duration WRITE_TIMEOUT = absl::Milliseconds(2500);
constexpr int HTTP_OK = 200;
constexpr int FIRST_CALLER_ERROR = 400;
constexpr int FIRST_SERVER_ERROR = 500;
/** Precondition failed: a guard stands in the way. */
constexpr int HTTP_CONFLICT = 412;
constexpr int HTTP_TOO_MANY_CALLS = 429;

bool isFinal(const gateway::RolloutDecision &decision)
{
    return decision.state == gateway::RolloutState::Completed || decision.state == gateway::RolloutState::Reverted;
}

/** Whether the store will not take the call at any later time either. */
bool isRefusedForGood(int status)
{
    return status >= FIRST_CALLER_ERROR && status < FIRST_SERVER_ERROR && status != HTTP_TOO_MANY_CALLS;
}

} // namespace

StoreWriter::StoreWriter(EventLoop &loop, const StoreClientSettings &settings, const StoreFormat &format, const gateway::RecordCodec &records, StoreEra &era,
    gateway::Gateway &gateway, gateway::Journal &journal)
    : m_loop(loop),
      m_format(format),
      m_records(records),
      m_era(era),
      m_gateway(gateway),
      m_journal(journal),
      m_caller(std::make_shared<HttpCaller>(loop, settings.address)),
      m_backoff(std::random_device()())
{
    m_caller->setMaxAnswerBytes(settings.maxWriteAnswerBytes);
    m_caller->setReadMemory(settings.readMemory);
}

void StoreWriter::write(const gateway::RolloutDecision &decision)
{
    enqueue(decision);
}

void StoreWriter::write(const gateway::Record &record)
{
    enqueue(record);
}

void StoreWriter::enqueue(Task task)
{
    m_waiting.push_back(std::move(task));
    if (m_waiting.size() == 1) {
        send();
    }
}

void StoreWriter::call(const gateway::HttpRequest &request, const std::string &kind)
{
    m_journal.count("store_calls_total", kind, 1);
    m_caller->call(request, WRITE_TIMEOUT, [self = shared_from_this()](const core::Expected<CallAnswer> &answer) { self->answered(answer); });
}

void StoreWriter::send()
{
    if (const gateway::Record *record = std::get_if<gateway::Record>(&m_waiting.front())) {
        call(m_format.writeRecords({*record}, std::nullopt), "quarantine");
        return;
    }
    const gateway::RolloutDecision &decision = std::get<gateway::RolloutDecision>(m_waiting.front());
    std::optional<gateway::Record> guard;
    if (isFinal(decision)) {
        guard = m_records.rolloutDecision(decision.order, decision.revision, decision.state);
    }
    std::vector<gateway::Record> records = {m_records.rolloutStatus(decision.order, decision.state)};
    if (decision.state != gateway::RolloutState::Trial) {
        records.push_back(m_records.rolloutNotice({decision.order.service, decision.revision, decision.state, decision.order.target}));
    }
    call(m_format.writeRecords(records, guard), "rollout");
}

void StoreWriter::answered(const core::Expected<CallAnswer> &answer)
{
    const gateway::Record *record = std::get_if<gateway::Record>(&m_waiting.front());
    const bool isConflict = answer && answer->status == HTTP_CONFLICT;
    // The gateway offers a record that the store lacks again later; what waits behind it must not wait for ever.
    const bool isCurrent = answer && m_era.note(*answer);
    const bool isDropped = record != nullptr && isCurrent && isRefusedForGood(answer->status);
    if (!isDropped && (!isCurrent || (answer->status != HTTP_OK && !isConflict))) {
        m_pause = m_loop.timers().after(m_backoff.next(), [self = shared_from_this()] { self->send(); });
        return;
    }
    m_backoff.reset();
    const Task task = std::move(m_waiting.front());
    if (const gateway::Record *written = std::get_if<gateway::Record>(&task)) {
        m_journal.log(core::LogEvent{isDropped ? "quarantine_store_refused" : "quarantine_stored", {}}
                          .with("key", written->key)
                          .with("status", absl::StrCat(answer->status)));
    } else {
        decisionAnswered(std::get<gateway::RolloutDecision>(task), *answer, isConflict);
    }
    m_waiting.pop_front();
    if (!m_waiting.empty()) {
        send();
    }
}

void StoreWriter::decisionAnswered(const gateway::RolloutDecision &decision, const CallAnswer &answer, bool isConflict)
{
    // Where another decision came first, or this one's answer was lost, what the store holds stands.
    const gateway::RolloutState state = isConflict ? storedState(answer.body, decision.state) : decision.state;
    if (isFinal(decision)) {
        m_gateway.rolloutStored({decision.order.service, decision.revision, state, decision.order.target});
    }
    m_journal.log(core::LogEvent{"rollout_told", {}}
                      .with("service", decision.order.service.value())
                      .with("target", decision.order.target.value())
                      .with("state", absl::StrCat(static_cast<int>(state)))
                      .with("reason", decision.reason)
                      .with("is_conflict", isConflict ? "true" : "false"));
}

gateway::RolloutState StoreWriter::storedState(const std::string &body, gateway::RolloutState own) const
{
    const core::Expected<gateway::Record> record = m_format.decodeConflict(body);
    const core::Expected<gateway::RolloutState> stored = record ? m_records.decodeDecision(record->value) : tl::make_unexpected(record.error());
    if (!stored) {
        m_journal.log(core::LogEvent{"rollout_decision_unreadable", {}}.with("error", stored.error().message));
    }
    return stored.value_or(own);
}

} // namespace snipeferry::net
