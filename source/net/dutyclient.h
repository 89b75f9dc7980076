#pragma once

#include "backoff.h"
#include "snipeferry/duties/dutyholder.h"
#include "snipeferry/gateway/gateway.h"
#include "snipeferry/net/dutyformat.h"
#include "snipeferry/net/httpcaller.h"
#include "snipeferry/net/storeclient.h"
#include "storeera.h"

#include <deque>
#include <memory>
#include <optional>
#include <string>

namespace snipeferry::net {

/** Carries out the calls of the duties: to the store for the holder's record and the sums of usage, and to the interface. */
class DutyClient : public duties::DutyPort, public duties::DutyFleet, public std::enable_shared_from_this<DutyClient>
{
public:
    DutyClient(EventLoop &loop, const StoreClientSettings &store, duties::DutySettings settings, const StoreFormat &storeFormat, const DutyFormat &format,
        StoreEra &era, gateway::Gateway &gateway, gateway::Journal &journal);

    /** @brief Begins to look after the holder's record, and to write the sums of this region. */
    void start(const gateway::Member &self);

    void readHolder() override;
    void readUsage() override;
    void swapHolder(std::int64_t expectedCounter, const duties::HolderRecord &record, const std::vector<std::string> &removedKeys) override;
    void report(std::int64_t token, const duties::WindowUsage &usage, absl::Duration timeLimit) override;

    std::size_t watchRank() const override;
    std::vector<core::RegionId> liveRegions() const override;
    bool isDraining() const override;

private:
    /** The sums of a window, and until when they are of use. */
    struct UsageTask
    {
        gateway::Record record;
        absl::Time until;
    };

    std::shared_ptr<HttpCaller> makeCaller(const std::string &address, std::size_t maxAnswerBytes) const;
    /** Calls the store. The callback gets an answer of the current era with its status, or none. */
    void callStore(HttpCaller &caller, const gateway::HttpRequest &request, const std::string &name, std::function<void(const CallAnswer *)> done);
    std::optional<duties::HolderReading> decodeReading(const gateway::Record *record);
    std::optional<duties::HolderReading> decodeHolderPage(const CallAnswer *answer);
    std::optional<std::vector<duties::RegionUsage>> decodeUsagePage(const CallAnswer *answer);
    duties::SwapAnswer decodeSwap(const CallAnswer *answer);
    void logUnreadable(const std::string &what, const core::Error &error);
    void writeUsage();

    EventLoop &m_loop;
    StoreClientSettings m_storeSettings;
    duties::DutySettings m_settings;
    const StoreFormat &m_storeFormat;
    const DutyFormat &m_format;
    StoreEra &m_era;
    gateway::Gateway &m_gateway;
    gateway::Journal &m_journal;
    std::string m_instance;
    /** One each for what must not wait for another call: reads, writes of the holder's record, sums of this region, and reports. */
    std::shared_ptr<HttpCaller> m_holderReader;
    std::shared_ptr<HttpCaller> m_usageReader;
    std::shared_ptr<HttpCaller> m_swapCaller;
    std::shared_ptr<HttpCaller> m_usageWriter;
    std::shared_ptr<HttpCaller> m_interface;
    std::deque<UsageTask> m_usageTasks;
    bool m_isWritingUsage = false;
    Backoff m_usageBackoff;
    core::Subscription m_usagePause;
    std::unique_ptr<duties::DutyHolder> m_holder;
};

} // namespace snipeferry::net
