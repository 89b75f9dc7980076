#include "snipeferry/net/peerlinks.h"

#include "snipeferry/net/fleetcodec.h"
#include "snipeferry/net/linkendpoint.h"

#include <map>

namespace snipeferry::net {

namespace {

/** Bytes waiting on one link beyond which a message is dropped. */
constexpr std::size_t MAX_QUEUED_BYTES = 8U << 20U;
/** Pulses come every second or more often. */
constexpr absl::Duration SILENCE_LIMIT = absl::Milliseconds(2800);
constexpr absl::Duration CHECK_PERIOD = absl::Milliseconds(300);
/** An attempt to open a link is given up after this; twice the timeout of one step of it. */
constexpr absl::Duration DIAL_LIMIT = absl::Seconds(2);

} // namespace

class PeerLinks::Impl
{
public:
    Impl(EventLoop &loop, gateway::Member self, LinkEvents events, gateway::Journal &journal)
        : m_loop(loop),
          m_self(std::move(self)),
          m_events(std::move(events)),
          m_journal(journal)
    {
        LinkEndpointEvents wire;
        wire.opened = [this](LinkId link, bool isDialled) {
            opened(link, isDialled);
        };
        wire.received = [this](LinkId link, bool /*isBinary*/, const std::string &bytes) {
            received(link, bytes);
        };
        wire.heard = [](LinkId /*link*/) {
        };
        wire.closed = [this](LinkId link) {
            closed(link);
        };
        m_endpoint = makePlainEndpoint(loop, LinkEndpointSettings(), std::move(wire));
        m_checkTimer = loop.timers().every(CHECK_PERIOD, [this] { check(); });
    }

    core::Expected<void> start()
    {
        return m_endpoint->listen(m_self.peerAddress).map([](const std::string & /*address*/) {});
    }

    void keep(const std::vector<gateway::Member> &members)
    {
        m_wanted.clear();
        for (const gateway::Member &member : members) {
            m_wanted[member.id] = member;
        }
        check();
    }

    bool send(const core::InstanceId &to, const gateway::FleetMessage &message)
    {
        const auto link = m_links.find(to);
        if (link == m_links.end() || m_endpoint->queuedBytes(link->second.id) > MAX_QUEUED_BYTES) {
            return false;
        }
        return m_endpoint->send(link->second.id, encodeFleetMessage(message));
    }

    void stop()
    {
        m_checkTimer.cancel();
        m_endpoint->stopListening();
        m_isStopped = true;
        const std::map<core::InstanceId, Link> links = m_links;
        for (const auto &entry : links) {
            terminate(entry.second.id);
        }
    }

private:
    /** A link whose other end is known. */
    struct Link
    {
        LinkId id = 0;
        absl::Time heardAt;
    };

    /** A link that is being opened, or whose other end has not said who it is. */
    struct Opening
    {
        absl::Time since;
        /** Whom it was opened to; empty for links that others open. */
        core::InstanceId dialled;
    };

    void opened(LinkId link, bool isDialled)
    {
        if (!isDialled) {
            m_opening[link] = Opening{m_loop.timers().now(), {}};
        }
        m_endpoint->send(link, encodeFleetMessage(gateway::Greeting{m_self}));
    }

    void closed(LinkId link)
    {
        m_opening.erase(link);
        const auto name = m_names.find(link);
        if (name == m_names.end()) {
            return;
        }
        const core::InstanceId id = name->second;
        m_names.erase(name);
        m_links.erase(id);
        if (!m_isStopped) {
            m_events.down(id);
        }
    }

    void terminate(LinkId link)
    {
        closed(link);
        m_endpoint->terminate(link);
    }

    void received(LinkId link, const std::string &bytes)
    {
        const core::Expected<gateway::FleetMessage> message = decodeFleetMessage(bytes);
        if (!message) {
            m_journal.log(core::LogEvent{"peer_message_unreadable", {}}.with("error", message.error().message));
            terminate(link);
            return;
        }
        const auto name = m_names.find(link);
        if (name != m_names.end()) {
            const core::InstanceId id = name->second;
            m_links[id].heardAt = m_loop.timers().now();
            m_events.received(id, *message);
            return;
        }
        // The first message says who is there.
        const gateway::Greeting *greeting = std::get_if<gateway::Greeting>(&*message);
        if (greeting == nullptr || greeting->sender.id.isEmpty() || greeting->sender.id == m_self.id) {
            terminate(link);
            return;
        }
        greeted(link, greeting->sender);
    }

    void greeted(LinkId link, const gateway::Member &peer)
    {
        const auto before = m_links.find(peer.id);
        if (before != m_links.end()) {
            // The newer link is the one that works.
            terminate(before->second.id);
        }
        m_opening.erase(link);
        m_names[link] = peer.id;
        m_links[peer.id] = Link{link, m_loop.timers().now()};
        m_events.up(peer);
    }

    void check()
    {
        closeSilent();
        // Open what is missing.
        for (const auto &entry : m_wanted) {
            if (m_self.id < entry.first && m_links.count(entry.first) == 0 && !isDialling(entry.first)) {
                dial(entry.second);
            }
        }
    }

    void closeSilent()
    {
        const absl::Time now = m_loop.timers().now();
        std::vector<LinkId> silent;
        for (const auto &entry : m_links) {
            if (now - entry.second.heardAt > SILENCE_LIMIT) {
                m_journal.log(core::LogEvent{"peer_silent", {}}.with("instance", entry.first.value()));
                silent.push_back(entry.second.id);
            }
        }
        for (const auto &entry : m_opening) {
            if (now - entry.second.since > DIAL_LIMIT) {
                silent.push_back(entry.first);
            }
        }
        for (const LinkId link : silent) {
            terminate(link);
        }
    }

    bool isDialling(const core::InstanceId &id) const
    {
        for (const auto &entry : m_opening) {
            if (entry.second.dialled == id) {
                return true;
            }
        }
        return false;
    }

    void dial(const gateway::Member &member)
    {
        const std::optional<LinkId> link = m_endpoint->dial(member.peerAddress);
        if (!link.has_value()) {
            m_journal.log(core::LogEvent{"peer_address_unusable", {}}.with("instance", member.id.value()).with("address", member.peerAddress));
            return;
        }
        m_opening[*link] = Opening{m_loop.timers().now(), member.id};
    }

    EventLoop &m_loop;
    gateway::Member m_self;
    LinkEvents m_events;
    gateway::Journal &m_journal;
    std::unique_ptr<LinkEndpoint> m_endpoint;
    bool m_isStopped = false;
    std::map<core::InstanceId, gateway::Member> m_wanted;
    std::map<core::InstanceId, Link> m_links;
    std::map<LinkId, core::InstanceId> m_names;
    std::map<LinkId, Opening> m_opening;
    core::Subscription m_checkTimer;
};

PeerLinks::PeerLinks(EventLoop &loop, gateway::Member self, LinkEvents events, gateway::Journal &journal)
    : m_impl(std::make_unique<Impl>(loop, std::move(self), std::move(events), journal))
{
}

PeerLinks::~PeerLinks() = default;

core::Expected<void> PeerLinks::start()
{
    return m_impl->start();
}

void PeerLinks::keep(const std::vector<gateway::Member> &members)
{
    m_impl->keep(members);
}

bool PeerLinks::send(const core::InstanceId &to, const gateway::FleetMessage &message)
{
    return m_impl->send(to, message);
}

void PeerLinks::stop()
{
    m_impl->stop();
}

} // namespace snipeferry::net
