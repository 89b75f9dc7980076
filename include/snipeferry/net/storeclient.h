#pragma once

#include "snipeferry/gateway/gateway.h"
#include "snipeferry/net/eventloop.h"
#include "snipeferry/net/readmemory.h"
#include "snipeferry/net/storeformat.h"

#include <array>
#include <memory>
#include <string>

namespace snipeferry::net {

struct StoreClientSettings
{
    /** "a.b.c.d:port". */
    std::string address;
    /** Longest wait of one call for changes of each topic; the time in which a silent connection is noticed, and the age of a confirmation. */
    absl::Duration operatorWait = absl::Milliseconds(1000);
    absl::Duration backendServerWait = absl::Milliseconds(2000);
    absl::Duration memberWait = absl::Milliseconds(4000);
    /** Time for an answer beyond the wait that was asked for. */
    absl::Duration answerTimeout = absl::Milliseconds(900);
    /** Longest answer to a call for records or changes. */
    std::size_t maxAnswerBytes = 32U << 20U;
    /** Longest answer to any other call; it holds one record at most. */
    std::size_t maxWriteAnswerBytes = 2U << 20U;
    /** Shared by all connections of the process; null: no bound. */
    std::shared_ptr<ReadMemory> readMemory;
    absl::Duration leaseTime = absl::Seconds(9);
    absl::Duration renewPeriod = absl::Seconds(3);
};

class Announcer;
class StoreEra;
class StoreWriter;

/**
 * The one client of the platform's store: follows three topics and keeps the announcement of this instance alive.
 *
 * Each topic has a connection of its own, so that a call which waits holds up no other.
 */
class StoreClient
{
public:
    StoreClient(EventLoop &loop, const StoreClientSettings &settings, const StoreFormat &format, const gateway::RecordCodec &records, gateway::Gateway &gateway,
        gateway::Journal &journal);
    ~StoreClient();

    /** @brief Starts to follow the topics and to announce this instance under a record. */
    void start(gateway::Record announcement);

    /** @brief The store's era, for others that call the store. */
    StoreEra &era();

    /** @brief Takes the announcement back. */
    void withdraw();

    class Follower;

private:
    std::unique_ptr<StoreEra> m_era;
    std::array<std::shared_ptr<Follower>, gateway::TOPIC_COUNT> m_followers;
    std::shared_ptr<Announcer> m_announcer;
    std::shared_ptr<StoreWriter> m_rolloutWriter;
    std::shared_ptr<StoreWriter> m_quarantineWriter;
};

} // namespace snipeferry::net
