#pragma once

#include "snipeferry/peers/peertransport.h"
#include "support/loopthread.h"

#include <absl/time/clock.h>

#include <condition_variable>
#include <functional>
#include <mutex>
#include <set>
#include <string>
#include <vector>

namespace snipeferry::test {

inline constexpr absl::Duration WAIT_LIMIT = absl::Seconds(10);
inline constexpr absl::Duration FAREWELL_TIME = absl::Milliseconds(50);

/** One instance's transport with all that it posted. */
class Party
{
public:
    explicit Party(const std::string &id, peers::PeerSettings settings = {})
    {
        settings.listenAddress = "127.0.0.1:0";
        m_self.id = core::InstanceId(id);
        m_self.incarnation = 1;
        m_thread->call([&] {
            m_transport = std::make_unique<peers::PeerTransport>(m_thread->loop(), settings, [this](messages::Event event) { post(std::move(event)); });
        });
    }

    ~Party()
    {
        // The others hear the farewell.
        m_thread->call([this] { m_transport->stop(); });
        absl::SleepFor(FAREWELL_TIME);
        m_thread->call([this] { m_transport.reset(); });
    }

    core::Expected<std::string> start()
    {
        core::Expected<std::string> address = m_thread->call([this] { return m_transport->start(m_self); });
        if (address) {
            m_self.peerAddress = *address;
        }
        return address;
    }

    void keepLinks(const std::vector<membership::InstanceDescription> &peers)
    {
        m_thread->call([&] { m_transport->keepLinks(peers); });
    }

    void send(const core::InstanceId &to, const messages::PeerMessage &message)
    {
        m_thread->call([&] { m_transport->send(to, message); });
    }

    core::Expected<void> reloadKeys()
    {
        return m_thread->call([this] { return m_transport->reloadKeys(); });
    }

    /** Waits until the condition holds over all events. */
    bool await(const std::function<bool(const std::vector<messages::Event> &)> &condition, absl::Duration limit = WAIT_LIMIT)
    {
        std::unique_lock<std::mutex> lock(m_mutex);
        return m_changed.wait_for(lock, absl::ToChronoNanoseconds(limit), [&] { return condition(m_events); });
    }

    bool awaitLink(const core::InstanceId &peer, bool isUp)
    {
        return await([&](const std::vector<messages::Event> &events) {
            for (auto it = events.rbegin(); it != events.rend(); ++it) {
                const messages::PeerLinkChanged *change = std::get_if<messages::PeerLinkChanged>(&*it);
                if (change != nullptr && change->peer == peer) {
                    return change->isUp == isUp;
                }
            }
            return false;
        });
    }

    /** Instances to which a link is up. */
    std::set<std::string> links()
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        std::set<std::string> up;
        for (const messages::Event &event : m_events) {
            const messages::PeerLinkChanged *change = std::get_if<messages::PeerLinkChanged>(&event);
            if (change != nullptr && change->isUp) {
                up.insert(change->peer.value());
            } else if (change != nullptr) {
                up.erase(change->peer.value());
            }
        }
        return up;
    }

    std::vector<std::uint64_t> promises()
    {
        const std::unique_lock<std::mutex> lock(m_mutex);
        std::vector<std::uint64_t> sequences;
        for (const messages::Event &event : m_events) {
            const messages::PeerReceived *received = std::get_if<messages::PeerReceived>(&event);
            if (received != nullptr && std::holds_alternative<limits::SlotPromise>(received->message)) {
                sequences.push_back(std::get<limits::SlotPromise>(received->message).sequence);
            }
        }
        return sequences;
    }

    membership::InstanceDescription &self()
    {
        return m_self;
    }

private:
    void post(messages::Event event)
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_events.push_back(std::move(event));
        m_changed.notify_all();
    }

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::vector<messages::Event> m_events;
    membership::InstanceDescription m_self;
    /**
     * The parties of a test share one loop: websocketpp fills a static variable at its first frame without a lock, which two loops
     * in one process would do at once. A daemon has one loop.
     */
    static std::shared_ptr<testing::LoopThread> sharedThread()
    {
        static std::weak_ptr<testing::LoopThread> shared;
        std::shared_ptr<testing::LoopThread> thread = shared.lock();
        if (thread == nullptr) {
            thread = std::make_shared<testing::LoopThread>();
            shared = thread;
        }
        return thread;
    }

    std::shared_ptr<testing::LoopThread> m_thread = sharedThread();
    /** Lives on the thread. */
    std::unique_ptr<peers::PeerTransport> m_transport;
};

inline bool awaitPromises(Party &party, std::size_t count)
{
    const absl::Time limit = absl::Now() + WAIT_LIMIT;
    while (absl::Now() < limit) {
        if (party.promises().size() >= count) {
            return true;
        }
        absl::SleepFor(absl::Milliseconds(5));
    }
    return false;
}

} // namespace snipeferry::test
