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
inline constexpr absl::Duration CLOSE_TIME = absl::Milliseconds(50);

/** The peer transport of one instance, with a record of all events that it posted. */
class TestInstance
{
public:
    explicit TestInstance(const std::string &id, peers::PeerSettings settings = {})
    {
        settings.listenAddress = "127.0.0.1:0";
        m_self.id = core::InstanceId(id);
        m_self.incarnation = 1;
        m_thread->call([&] {
            m_transport = std::make_unique<peers::PeerTransport>(m_thread->loop(), settings, [this](messages::Event event) { post(std::move(event)); });
        });
    }

    ~TestInstance()
    {
        // Give the transport time to close its links, so that the peers see them closed.
        m_thread->call([this] { m_transport->stop(); });
        absl::SleepFor(CLOSE_TIME);
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

    /** Waits until the condition holds for the recorded events, or the limit has passed. */
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

    /** Returns the instances to which a link is up. */
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

    std::vector<std::uint64_t> slotPromises()
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
     * All instances of a test share one event loop. websocketpp writes a static variable without a lock at its first frame, which is a
     * data race if two loops in one process do it at once. A daemon has only one loop.
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
    /** Created, used and destroyed on the thread of the event loop. */
    std::unique_ptr<peers::PeerTransport> m_transport;
};

inline bool awaitSlotPromises(TestInstance &instance, std::size_t count)
{
    const absl::Time limit = absl::Now() + WAIT_LIMIT;
    while (absl::Now() < limit) {
        if (instance.slotPromises().size() >= count) {
            return true;
        }
        absl::SleepFor(absl::Milliseconds(5));
    }
    return false;
}

} // namespace snipeferry::test
