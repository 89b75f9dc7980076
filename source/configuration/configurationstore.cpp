#include "snipeferry/configuration/configurationstore.h"

#include "peerrevisions.h"
#include "platformfetch.h"
#include "withdrawnkeys.h"

#include <utility>

namespace snipeferry::configuration {

namespace {

constexpr absl::Duration NOTICE_INTERVAL = absl::Seconds(3);
constexpr absl::Duration POLL_INTERVAL = absl::Seconds(30);
/** A new instance waits this long for higher revisions after the first one heard. */
constexpr absl::Duration START_GRACE = absl::Seconds(1);
/** While the platform answers, a peer is asked only if the platform has not brought the revision by then. */
constexpr absl::Duration PEER_DELAY = absl::Milliseconds(500);
constexpr absl::Duration PEER_TIMEOUT = absl::Seconds(1);

} // namespace

class ConfigurationStore::Impl
{
public:
    Impl(core::TimerService &timers, messages::Outbox &outbox)
        : m_timers(timers),
          m_outbox(outbox),
          m_fetch(timers, outbox,
              {[this](Configuration configuration) { takeFetched(std::move(configuration)); },
                  [this](PlatformState state) {
                      take(state);
                  }})
    {
        m_fetch.poll();
        m_noticeTimer = m_timers.every(NOTICE_INTERVAL, [this] { sendNotices(); });
        m_pollTimer = m_timers.every(POLL_INTERVAL, [this] { m_fetch.poll(); });
    }

    void take(const core::InstanceId &from, const node::ConfigurationNotice &notice)
    {
        m_peers.learn(from, notice.revision);
        if (notice.revision > knownRevision()) {
            seekNewer();
        } else if (notice.revision < currentRevision()) {
            send(from, node::ConfigurationNotice{currentRevision()});
        } else if (notice.revision == currentRevision()) {
            m_confirmedAt = m_timers.now();
        }
        settleIfComplete();
    }

    void take(const core::InstanceId &from, const node::ConfigurationRequest &request)
    {
        if (m_current != nullptr && m_current->revision > request.knownRevision) {
            send(from, node::ConfigurationTransfer{*m_current});
            return;
        }
        send(from, node::ConfigurationNotice{currentRevision()});
    }

    void take(const core::InstanceId &from, const node::ConfigurationTransfer &transfer)
    {
        m_peers.learn(from, transfer.configuration.revision);
        offer(transfer.configuration, "peer");
    }

    template<typename Other>
    void take(const core::InstanceId &, const Other &)
    {
    }

    void handle(const messages::PeerLinkChanged &event)
    {
        if (!event.isUp) {
            m_peers.linkDown(event.peer);
            settleIfComplete();
            return;
        }
        m_peers.linkUp(event.peer);
        if (m_isSettled) {
            send(event.peer, node::ConfigurationNotice{currentRevision()});
        } else {
            send(event.peer, node::ConfigurationRequest{knownRevision()});
        }
    }

    void confirmAgain()
    {
        m_fetch.poll();
        for (const core::InstanceId &peer : m_peers.linked()) {
            send(peer, node::ConfigurationRequest{knownRevision()});
        }
    }

    std::shared_ptr<const Configuration> m_current;
    std::shared_ptr<const ConfigurationIndex> m_index;
    WithdrawnKeys m_withdrawn;
    absl::Time m_confirmedAt = absl::InfinitePast();
    core::Signal<ConfigurationChanged> m_changed;
    core::TimerService &m_timers;
    messages::Outbox &m_outbox;
    PlatformFetch m_fetch;

private:
    core::Revision currentRevision() const
    {
        return m_current == nullptr ? 0 : m_current->revision;
    }

    // Revision in force, or the one that is waiting for the start's grace to end.
    core::Revision knownRevision() const
    {
        return m_candidate == nullptr ? currentRevision() : m_candidate->revision;
    }

    template<typename Message>
    void send(const core::InstanceId &to, Message message)
    {
        m_outbox.push(messages::SendToPeer{to, std::move(message)});
    }

    void sendNotices()
    {
        if (m_current == nullptr) {
            return;
        }
        for (const core::InstanceId &peer : m_peers.linked()) {
            send(peer, node::ConfigurationNotice{currentRevision()});
        }
    }

    void take(PlatformState state)
    {
        m_hasPlatformAnswer = state != PlatformState::Unreachable;
        if (state == PlatformState::Same) {
            m_confirmedAt = m_timers.now();
        }
        if (state == PlatformState::Older) {
            core::LogEvent event{"configuration_answer_dropped", {}};
            event.with("source", "platform").with("revision_in_force", std::to_string(currentRevision()));
            m_outbox.push(messages::Log{std::move(event)});
        }
        settleIfComplete();
    }

    void takeFetched(Configuration configuration)
    {
        m_hasPlatformAnswer = true;
        offer(std::move(configuration), "platform");
    }

    // The platform is asked first, as it sends only what differs; a peer sends the whole configuration.
    void seekNewer()
    {
        if (m_isSeeking) {
            return;
        }
        m_isSeeking = true;
        m_fetch.poll();
        const bool asksPlatformFirst = m_fetch.isReachable() && m_isSettled;
        m_peerTimer = m_timers.after(asksPlatformFirst ? PEER_DELAY : absl::ZeroDuration(), [this] { askPeer(); });
    }

    void askPeer()
    {
        const std::optional<core::InstanceId> peer = m_peers.chooseSource(knownRevision(), m_timers.now());
        if (!peer.has_value()) {
            m_isSeeking = false;
            return;
        }
        send(*peer, node::ConfigurationRequest{knownRevision()});
        m_peerTimer = m_timers.after(PEER_TIMEOUT, [this] { askPeer(); });
    }

    void offer(Configuration configuration, const char *source)
    {
        if (configuration.revision > knownRevision()) {
            m_candidate = std::make_shared<const Configuration>(std::move(configuration));
            m_candidateSource = source;
            m_fetch.setCurrent(m_candidate);
            m_isSeeking = m_isSeeking && m_peers.hasAbove(knownRevision());
        }
        if (m_isSettled) {
            apply();
            return;
        }
        if (!m_isGraceRunning) {
            m_isGraceRunning = true;
            m_graceTimer = m_timers.after(START_GRACE, [this] { settle(); });
        }
        settleIfComplete();
    }

    void settleIfComplete()
    {
        const bool isComplete = m_hasPlatformAnswer && m_peers.haveAllAnswered() && !m_peers.hasAbove(knownRevision());
        if (!m_isSettled && m_candidate != nullptr && isComplete) {
            settle();
        }
    }

    void settle()
    {
        m_isSettled = true;
        m_graceTimer.cancel();
        apply();
    }

    void apply()
    {
        if (m_candidate == nullptr || m_candidate->revision <= currentRevision()) {
            return;
        }
        const std::shared_ptr<const ConfigurationIndex> previous = m_index;
        m_current = std::exchange(m_candidate, nullptr);
        m_index = std::make_shared<const ConfigurationIndex>(m_current);
        m_confirmedAt = m_timers.now();
        rememberWithdrawn(previous.get());

        core::LogEvent event{"configuration_accepted", {}};
        event.with("revision", std::to_string(m_current->revision)).with("source", m_candidateSource);
        m_outbox.push(messages::Log{std::move(event)});
        m_changed.emit(ConfigurationChanged{m_current});
        sendNotices();
    }

    void rememberWithdrawn(const ConfigurationIndex *previous)
    {
        if (previous != nullptr) {
            for (const std::string &digest : previous->keyDigests()) {
                if (m_index->customerByKey(digest) == nullptr) {
                    m_withdrawn.add(digest);
                }
            }
        }
        for (const std::string &digest : m_index->keyDigests()) {
            m_withdrawn.remove(digest);
        }
    }

    PeerRevisions m_peers;
    /** Newest configuration heard, not yet in force. */
    std::shared_ptr<const Configuration> m_candidate;
    const char *m_candidateSource = "";
    core::Subscription m_noticeTimer;
    core::Subscription m_pollTimer;
    core::Subscription m_peerTimer;
    core::Subscription m_graceTimer;
    bool m_isSettled = false;
    bool m_isGraceRunning = false;
    bool m_isSeeking = false;
    bool m_hasPlatformAnswer = false;
};

ConfigurationStore::ConfigurationStore(core::TimerService &timers, messages::Outbox &outbox)
    : m_impl(std::make_unique<Impl>(timers, outbox))
{
}

ConfigurationStore::~ConfigurationStore() = default;

std::shared_ptr<const Configuration> ConfigurationStore::current() const
{
    return m_impl->m_current;
}

std::shared_ptr<const ConfigurationIndex> ConfigurationStore::index() const
{
    return m_impl->m_index;
}

KeyStatus ConfigurationStore::keyStatus(const std::string &keyDigest) const
{
    const Customer *customer = m_impl->m_index == nullptr ? nullptr : m_impl->m_index->customerByKey(keyDigest);
    if (customer != nullptr) {
        return KeyStatus{customer->id, false};
    }
    return KeyStatus{{}, m_impl->m_withdrawn.contains(keyDigest)};
}

core::Signal<ConfigurationChanged> &ConfigurationStore::changed()
{
    return m_impl->m_changed;
}

absl::Time ConfigurationStore::confirmedAt() const
{
    return m_impl->m_confirmedAt;
}

void ConfigurationStore::confirmAgain()
{
    m_impl->confirmAgain();
}

void ConfigurationStore::handle(const messages::PeerReceived &event)
{
    std::visit([&](const auto &message) { m_impl->take(event.from, message); }, event.message);
}

void ConfigurationStore::handle(const messages::PeerLinkChanged &event)
{
    m_impl->handle(event);
}

void ConfigurationStore::handle(const messages::PlatformReplied &event)
{
    m_impl->m_fetch.handle(event);
}

void ConfigurationStore::handle(const messages::PlatformWatched &event)
{
    m_impl->m_fetch.handle(event);
}

} // namespace snipeferry::configuration
