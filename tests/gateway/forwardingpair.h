#pragma once

#include "fixture.h"

#include <cstdint>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace snipeferry::tests {

/**
 * Two instances of different regions, their link and the backend servers of the second one, in virtual time.
 *
 * Callers send requests that may run once at most to "north", which forwards them to "south". Both can be restarted; each process numbers its runs from 1,
 * so that the numbers of successive processes meet.
 */
class ForwardingPair
{
public:
    explicit ForwardingPair(std::uint64_t seed);
    ~ForwardingPair();

    /** @brief Lets time pass in small steps, in which messages and the answers of backend servers arrive. */
    void run(absl::Duration time);

    /** @brief Sends a caller's request to north. */
    void ask();

    /** @brief Ends an instance's process and starts another one, whose clock may be behind. */
    void restart(const std::string &name);

    /** @brief Cuts the link. Each end notices later; the next link comes up after a while. */
    void loseLink();

    /** @brief The promises that were broken, one a line. */
    std::string violations() const;

    /** @brief Requests that the instances have open, and runs that the backend servers have in work. */
    std::size_t openCount() const;

    /** @brief Requests whose callers got the answer of a backend server. */
    int successCount() const;

private:
    class Site;

    struct InFlight
    {
        absl::Time due;
        std::string to;
        /** A message arrives only over the link on which it was sent. */
        int link = 0;
        gateway::FleetMessage message;
    };

    /** A run at a backend server. */
    struct Work
    {
        std::string request;
        absl::Time due;
        bool isRefused = false;
    };

    struct Asked
    {
        std::shared_ptr<Answer> answer;
        /** Whether a process that had to do with the request has ended meanwhile, or the request was lost with a link. */
        bool isDisturbed = false;
        /** How often a backend server has run it. */
        int runs = 0;
    };

    static std::string otherOf(const std::string &name);
    bool send(const std::string &from, const gateway::FleetMessage &message);
    /** Marks a forwarded request that will not arrive. */
    void noteLost(const gateway::FleetMessage &message);
    void deliver();
    void takeNewRuns();
    void finishRuns();
    void start(const std::string &name);
    void connect();
    void noticeLoss(const std::string &name);
    absl::Duration upTo(absl::Duration most);

    std::mt19937_64 m_random;
    core::VirtualTimerService m_timers;
    std::map<std::string, std::unique_ptr<Site>> m_sites;
    core::Incarnation m_lastIncarnation = 1000;
    int m_link = 0;
    int m_lastLink = 0;
    absl::Time m_connectAt;
    std::vector<InFlight> m_inFlight;
    std::map<std::string, absl::Time> m_lastDue;
    std::map<gateway::Number, Work> m_work;
    std::map<std::string, Asked> m_asked;
};

} // namespace snipeferry::tests
