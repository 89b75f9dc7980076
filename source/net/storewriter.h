#pragma once

#include "backoff.h"
#include "snipeferry/net/httpcaller.h"
#include "snipeferry/net/storeclient.h"
#include "storeera.h"

#include <deque>
#include <memory>
#include <string>
#include <variant>

namespace snipeferry::net {

/** Writes decisions about rollouts, or records of quarantined prompt parts, one after the other, each until the store has answered. */
class StoreWriter : public std::enable_shared_from_this<StoreWriter>
{
public:
    StoreWriter(EventLoop &loop, const StoreClientSettings &settings, const StoreFormat &format, const gateway::RecordCodec &records, StoreEra &era,
        gateway::Gateway &gateway, gateway::Journal &journal);

    void write(const gateway::RolloutDecision &decision);
    void write(const gateway::Record &record);

private:
    using Task = std::variant<gateway::RolloutDecision, gateway::Record>;

    void enqueue(Task task);
    void call(const gateway::HttpRequest &request, const std::string &kind);
    void send();
    void answered(const core::Expected<CallAnswer> &answer);
    void decisionAnswered(const gateway::RolloutDecision &decision, const CallAnswer &answer, bool isConflict);
    /** The decision that the store holds in place of this instance's. */
    gateway::RolloutState storedState(const std::string &body, gateway::RolloutState own) const;

    EventLoop &m_loop;
    const StoreFormat &m_format;
    const gateway::RecordCodec &m_records;
    StoreEra &m_era;
    gateway::Gateway &m_gateway;
    gateway::Journal &m_journal;
    std::shared_ptr<HttpCaller> m_caller;
    Backoff m_backoff;
    std::deque<Task> m_waiting;
    core::Subscription m_pause;
};

} // namespace snipeferry::net
