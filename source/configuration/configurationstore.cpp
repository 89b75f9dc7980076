#include "snipeferry/configuration/configurationstore.h"

#include "peerrevisions.h"
#include "platformfetcher.h"
#include "withdrawnkeys.h"

#include <utility>

namespace snipeferry::configuration {

namespace {

constexpr absl::Duration NOTICE_INTERVAL = absl::Seconds(3);
constexpr absl::Duration POLL_INTERVAL = absl::Seconds(30);
/** After it receives the first configuration, a new instance waits this long for higher revisions. */
constexpr absl::Duration STARTUP_GRACE_PERIOD = absl::Seconds(1);
/** While the platform is reachable, a peer is asked for a newer revision only if the platform has not sent it within this time. */
constexpr absl::Duration PEER_REQUEST_DELAY = absl::Milliseconds(500);
constexpr absl::Duration PEER_TIMEOUT = absl::Seconds(1);

} // namespace

class ConfigurationStore::Impl
{
public:
    Impl(core::TimerService &timers, messages::Outbox &outbox)
        : m_timers(timers),
          m_outbox(outbox),
          m_platformFetcher(timers, outbox,
              {[this](Configuration configuration) { handleFetched(std::move(configuration)); },
                  [this](PlatformState state) {
                      receive(state);
                  }})
    {
        m_platformFetcher.poll();
        m_noticeTimer = m_timers.every(NOTICE_INTERVAL, [this] { sendNotices(); });
        m_pollTimer = m_timers.every(POLL_INTERVAL, [this] { m_platformFetcher.poll(); });
    }

    void receive(const core::InstanceId &from, const node::ConfigurationNotice &notice)
    {
        m_peerRevisions.setRevision(from, notice.revision);
        if (notice.revision > knownRevision()) {
            requestNewer();
        } else if (notice.revision < currentRevision()) {
            send(from, node::ConfigurationNotice{currentRevision()});
        } else if (notice.revision == currentRevision()) {
            m_confirmedAt = m_timers.now();
        }
        finishStartupIfComplete();
    }

    void receive(const core::InstanceId &from, const node::ConfigurationRequest &request)
    {
        if (m_current != nullptr && m_current->revision > request.knownRevision) {
            send(from, node::ConfigurationTransfer{*m_current});
            return;
        }
        send(from, node::ConfigurationNotice{currentRevision()});
    }

    void receive(const core::InstanceId &from, const node::ConfigurationTransfer &transfer)
    {
        m_peerRevisions.setRevision(from, transfer.configuration.revision);
        addCandidate(transfer.configuration, "peer");
    }

    template<typename Other>
    void receive(const core::InstanceId &, const Other &)
    {
    }

    void handle(const messages::PeerLinkChanged &event)
    {
        if (!event.isUp) {
            m_peerRevisions.linkDown(event.peer);
            finishStartupIfComplete();
            return;
        }
        m_peerRevisions.linkUp(event.peer);
        if (m_isStartupFinished) {
            send(event.peer, node::ConfigurationNotice{currentRevision()});
        } else {
            send(event.peer, node::ConfigurationRequest{knownRevision()});
        }
    }

    void revalidate()
    {
        m_platformFetcher.poll();
        for (const core::InstanceId &peer : m_peerRevisions.linked()) {
            send(peer, node::ConfigurationRequest{knownRevision()});
        }
    }

    std::shared_ptr<const Configuration> m_current;
    std::shared_ptr<const ConfigurationIndex> m_index;
    WithdrawnKeys m_withdrawnKeys;
    absl::Time m_confirmedAt = absl::InfinitePast();
    core::Signal<ConfigurationChanged> m_changed;
    core::TimerService &m_timers;
    messages::Outbox &m_outbox;
    PlatformFetcher m_platformFetcher;

private:
    core::Revision currentRevision() const
    {
        return m_current == nullptr ? 0 : m_current->revision;
    }

    // Returns the revision of the candidate, which is not in force yet, or of the configuration in force if there is no candidate.
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
        for (const core::InstanceId &peer : m_peerRevisions.linked()) {
            send(peer, node::ConfigurationNotice{currentRevision()});
        }
    }

    void receive(PlatformState state)
    {
        m_hasPlatformReply = state != PlatformState::Unreachable;
        if (state == PlatformState::Same) {
            m_confirmedAt = m_timers.now();
        }
        if (state == PlatformState::Older) {
            core::LogEvent event{"configuration_answer_dropped", {}};
            event.with("source", "platform").with("revision_in_force", std::to_string(currentRevision()));
            m_outbox.push(messages::Log{std::move(event)});
        }
        finishStartupIfComplete();
    }

    void handleFetched(Configuration configuration)
    {
        m_hasPlatformReply = true;
        addCandidate(std::move(configuration), "platform");
    }

    // Asks the platform first, because it sends only the chunks that differ. A peer sends the whole configuration.
    void requestNewer()
    {
        if (m_isRequestingNewer) {
            return;
        }
        m_isRequestingNewer = true;
        m_platformFetcher.poll();
        const bool waitsForPlatform = m_platformFetcher.isReachable() && m_isStartupFinished;
        m_peerTimer = m_timers.after(waitsForPlatform ? PEER_REQUEST_DELAY : absl::ZeroDuration(), [this] { askPeer(); });
    }

    void askPeer()
    {
        const std::optional<core::InstanceId> peer = m_peerRevisions.selectSource(knownRevision(), m_timers.now());
        if (!peer.has_value()) {
            m_isRequestingNewer = false;
            return;
        }
        send(*peer, node::ConfigurationRequest{knownRevision()});
        m_peerTimer = m_timers.after(PEER_TIMEOUT, [this] { askPeer(); });
    }

    void addCandidate(Configuration configuration, const char *source)
    {
        if (configuration.revision > knownRevision()) {
            m_candidate = std::make_shared<const Configuration>(std::move(configuration));
            m_candidateSource = source;
            m_platformFetcher.setCurrent(m_candidate);
            m_isRequestingNewer = m_isRequestingNewer && m_peerRevisions.hasRevisionAbove(knownRevision());
        }
        if (m_isStartupFinished) {
            applyCandidate();
            return;
        }
        if (!m_isGracePeriodRunning) {
            m_isGracePeriodRunning = true;
            m_gracePeriodTimer = m_timers.after(STARTUP_GRACE_PERIOD, [this] { finishStartup(); });
        }
        finishStartupIfComplete();
    }

    void finishStartupIfComplete()
    {
        const bool isComplete = m_hasPlatformReply && m_peerRevisions.haveAllReported() && !m_peerRevisions.hasRevisionAbove(knownRevision());
        if (!m_isStartupFinished && m_candidate != nullptr && isComplete) {
            finishStartup();
        }
    }

    void finishStartup()
    {
        m_isStartupFinished = true;
        m_gracePeriodTimer.cancel();
        applyCandidate();
    }

    void applyCandidate()
    {
        if (m_candidate == nullptr || m_candidate->revision <= currentRevision()) {
            return;
        }
        const std::shared_ptr<const ConfigurationIndex> previous = m_index;
        m_current = std::exchange(m_candidate, nullptr);
        m_index = std::make_shared<const ConfigurationIndex>(m_current);
        m_confirmedAt = m_timers.now();
        updateWithdrawnKeys(previous.get());

        core::LogEvent event{"configuration_accepted", {}};
        event.with("revision", std::to_string(m_current->revision)).with("source", m_candidateSource);
        m_outbox.push(messages::Log{std::move(event)});
        m_changed.emit(ConfigurationChanged{m_current});
        sendNotices();
    }

    void updateWithdrawnKeys(const ConfigurationIndex *previous)
    {
        if (previous != nullptr) {
            for (const std::string &digest : previous->keyDigests()) {
                if (m_index->customerByKey(digest) == nullptr) {
                    m_withdrawnKeys.add(digest);
                }
            }
        }
        for (const std::string &digest : m_index->keyDigests()) {
            m_withdrawnKeys.remove(digest);
        }
    }

    PeerRevisions m_peerRevisions;
    /** The newest configuration received; it is not in force yet. */
    std::shared_ptr<const Configuration> m_candidate;
    const char *m_candidateSource = "";
    core::Subscription m_noticeTimer;
    core::Subscription m_pollTimer;
    core::Subscription m_peerTimer;
    core::Subscription m_gracePeriodTimer;
    bool m_isStartupFinished = false;
    bool m_isGracePeriodRunning = false;
    bool m_isRequestingNewer = false;
    bool m_hasPlatformReply = false;
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
    return KeyStatus{{}, m_impl->m_withdrawnKeys.contains(keyDigest)};
}

core::Signal<ConfigurationChanged> &ConfigurationStore::changed()
{
    return m_impl->m_changed;
}

absl::Time ConfigurationStore::confirmedAt() const
{
    return m_impl->m_confirmedAt;
}

void ConfigurationStore::revalidate()
{
    m_impl->revalidate();
}

void ConfigurationStore::handle(const messages::PeerReceived &event)
{
    std::visit([&](const auto &message) { m_impl->receive(event.from, message); }, event.message);
}

void ConfigurationStore::handle(const messages::PeerLinkChanged &event)
{
    m_impl->handle(event);
}

void ConfigurationStore::handle(const messages::PlatformReplied &event)
{
    m_impl->m_platformFetcher.handle(event);
}

void ConfigurationStore::handle(const messages::PlatformWatched &event)
{
    m_impl->m_platformFetcher.handle(event);
}

} // namespace snipeferry::configuration
