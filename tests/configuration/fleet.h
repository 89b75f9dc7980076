#pragma once

#include "snipeferry/configuration/configurationstore.h"
#include "support/fakestore.h"
#include "support/history/configurationhistory.h"

#include <deque>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace snipeferry::test {

/** Returns a configuration with one customer, whose burst distinguishes it from the others of a test. */
configuration::Configuration makeConfiguration(core::Tokens burst);

/** Configuration stores, operators and a fake store in virtual time. A network with seeded random latencies connects them. */
class Fleet
{
public:
    Fleet(std::size_t instances, std::uint64_t seed);
    ~Fleet();

    /** @brief Runs the fleet for a time in small steps. */
    void run(absl::Duration duration);

    /** @brief Starts an instance without any state; if it is running, it is killed first. */
    void start(std::size_t instance);

    void setPlatformCut(std::size_t instance, bool isCut);
    void setPeersCut(std::size_t instance, bool isCut);

    /** @brief Sets whether some messages between instances are delivered twice. */
    void setDuplicatesMessages(bool isOn);

    /** @brief Starts an operator who makes a plan from the accepted configuration and confirms it. */
    void startOperator();

    /** @brief Ends all cuts and other faults. */
    void clearFaults();

    standins::FakeStore &store();
    core::VirtualTimerService &timers();
    const configuration::ConfigurationStore &instance(std::size_t index) const;

    /** @brief Returns the history so far, including the plans that the platform accepted. */
    const history::ConfigurationHistory &history() const;

    /** @brief Returns the highest accepted revision. */
    core::Revision acceptedRevision() const;

private:
    struct Instance;
    struct Operator;

    void scheduleWithLatency(std::function<void()> action);
    void performActions(std::size_t index);
    void sendToPeer(std::size_t from, const messages::SendToPeer &action);
    void callPlatform(std::size_t from, const platform::Call &call);
    void setLink(std::size_t first, std::size_t second, bool isUp);
    void stepOperator(const std::shared_ptr<Operator> &operatorRun);
    void recordAccepted(const platform::WatchEvent &event);
    void deliverWatchEvent(std::size_t index, const platform::WatchEvent &event);
    bool chance(double probability);

    core::VirtualTimerService m_timers;
    standins::FakeStore m_store;
    std::mt19937_64 m_random;
    std::vector<std::unique_ptr<Instance>> m_instances;
    std::vector<core::Subscription> m_scheduled;
    history::ConfigurationHistory m_history;
    std::map<std::string, std::string> m_contentByNonce;
    int m_operators = 0;
    bool m_duplicates = false;
};

} // namespace snipeferry::test
