#include "snipeferry/net/peerlinks.h"

#include "snipeferry/net/fleetcodec.h"
#include "snipeferry/net/linkendpoint.h"
#include "snipeferry/net/linkqueue.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>

#include <algorithm>
#include <map>
#include <utility>

namespace snipeferry::net {

namespace {

/** Bytes that the connection of one link may hold unsent. Further messages wait in the link's queue, where newer ones can replace them. */
constexpr std::size_t MAX_UNSENT_BYTES = 32768;
/** Interval at which a link whose queue is not empty is checked for room. */
constexpr absl::Duration QUEUE_CHECK_PERIOD = absl::Milliseconds(10);
/** A queue that was not empty for this long is logged, and again after the same time. */
constexpr absl::Duration FULL_QUEUE_LOG_PERIOD = absl::Seconds(1);
/** An instance waits this long for the other end to open a wanted link before it opens the link itself. */
constexpr absl::Duration OTHER_END_DIAL_TIME = absl::Milliseconds(600);
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
        std::map<core::InstanceId, Wanted> wanted;
        for (const gateway::Member &member : members) {
            const auto known = m_wanted.find(member.id);
            wanted[member.id] = Wanted{member, known == m_wanted.end() ? m_loop.timers().now() : known->second.since};
        }
        m_wanted = std::move(wanted);
        check();
    }

    bool send(const core::InstanceId &to, const std::shared_ptr<OutgoingMessage> &message)
    {
        const auto link = m_links.find(to);
        if (link == m_links.end() || !link->second.queue.push(message)) {
            return false;
        }
        sendQueued(to, link->second);
        return true;
    }

    std::size_t queuedBytes() const
    {
        std::size_t bytes = 0;
        for (const auto &entry : m_links) {
            bytes += m_endpoint->queuedBytes(entry.second.id);
            for (const auto &kind : entry.second.queue.bytesByKind()) {
                bytes += kind.second;
            }
        }
        return bytes;
    }

    void stop()
    {
        m_checkTimer.cancel();
        m_queueTimer.cancel();
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
        /** The process at the other end. */
        gateway::Member peer;
        absl::Time since;
        absl::Time heardAt;
        LinkQueue queue;
        PieceJoiner joiner;
        /** Since when the queue is not empty; InfiniteFuture if it is. */
        absl::Time queuedSince = absl::InfiniteFuture();
    };

    using HeldRequest = std::pair<core::InstanceId, gateway::FleetMessage>;

    /** A member to which a link has to exist. */
    struct Wanted
    {
        gateway::Member member;
        /** Since when the link is wanted, or when it was last lost. */
        absl::Time since;
    };

    /** A link that is being opened, or of which the two ends have not agreed that it is the one to use. */
    struct Opening
    {
        absl::Time since;
        /** Whom it was opened to; empty for links that others open. */
        core::InstanceId dialled;
        /** The process at the other end, once it has said who it is. */
        std::optional<gateway::Member> peer;
    };

    void opened(LinkId link, bool isDialled)
    {
        if (!isDialled) {
            m_opening[link] = Opening{m_loop.timers().now(), {}, std::nullopt};
        }
        m_endpoint->send(link, encodeFleetMessage(gateway::Greeting{m_self}));
    }

    void closed(LinkId link)
    {
        const std::optional<core::InstanceId> peer = forget(link);
        if (peer.has_value() && !m_isStopped) {
            useSpare(*peer);
        }
    }

    /** Removes a link. @return the instance to which it was in use */
    std::optional<core::InstanceId> forget(LinkId link)
    {
        m_opening.erase(link);
        const auto name = m_names.find(link);
        if (name == m_names.end()) {
            return std::nullopt;
        }
        const core::InstanceId id = name->second;
        m_names.erase(name);
        m_links.erase(id);
        const auto wanted = m_wanted.find(id);
        if (wanted != m_wanted.end()) {
            wanted->second.since = m_loop.timers().now();
        }
        dropHeldRequests(id);
        if (!m_isStopped) {
            m_events.down(id);
        }
        return id;
    }

    void terminate(LinkId link)
    {
        closed(link);
        m_endpoint->terminate(link);
    }

    /** Closes the link in use to an instance, if there is one, because another link takes its place or its process has ended. */
    void replace(const core::InstanceId &peer, const std::string &reason)
    {
        const auto used = m_links.find(peer);
        if (used == m_links.end()) {
            return;
        }
        const LinkId link = used->second.id;
        logReplaced(used->second, reason);
        forget(link);
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
            Link &known = m_links.at(id);
            known.heardAt = m_loop.timers().now();
            if (const gateway::MessagePiece *piece = std::get_if<gateway::MessagePiece>(&*message)) {
                receivedPiece(link, known, *piece);
            } else if (std::holds_alternative<gateway::Greeting>(*message)) {
                // Only says that the other end uses this link.
                return;
            } else if (std::holds_alternative<gateway::ForwardRequest>(*message)) {
                holdRequest(id, *message);
            } else if (!dropHeldRequest(id, *message)) {
                m_events.received(id, *message);
            }
            return;
        }
        const auto opening = m_opening.find(link);
        if (opening != m_opening.end() && opening->second.peer.has_value()) {
            // The other end has chosen this link: an instance sends nothing more on a link that it does not use.
            use(link, "chosen_by_peer");
            received(link, bytes);
            return;
        }
        // The first message says who is there.
        const gateway::Greeting *greeting = std::get_if<gateway::Greeting>(&*message);
        if (opening == m_opening.end() || greeting == nullptr || greeting->sender.id.isEmpty() || greeting->sender.id == m_self.id) {
            terminate(link);
            return;
        }
        greeted(link, greeting->sender);
    }

    void receivedPiece(LinkId link, Link &known, const gateway::MessagePiece &piece)
    {
        const core::Expected<std::optional<std::string>> whole = known.joiner.add(piece);
        if (!whole) {
            m_journal.log(core::LogEvent{"peer_message_unreadable", {}}.with("error", whole.error().message));
            terminate(link);
        } else if (whole->has_value()) {
            received(link, **whole);
        }
    }

    /** Keeps a forwarded request until what has arrived with it is read, which may be its cancellation. */
    void holdRequest(const core::InstanceId &from, const gateway::FleetMessage &message)
    {
        m_heldRequests.emplace_back(from, message);
        if (m_heldRequests.size() == 1) {
            m_heldTimer = m_loop.timers().after(absl::ZeroDuration(), [this] { deliverHeldRequests(); });
        }
    }

    void deliverHeldRequests()
    {
        for (const HeldRequest &held : std::exchange(m_heldRequests, {})) {
            m_events.received(held.first, held.second);
        }
    }

    /** Drops the request that a cancellation is for; false for any other message, and if the request was handed over before. */
    bool dropHeldRequest(const core::InstanceId &from, const gateway::FleetMessage &message)
    {
        const gateway::ForwardCancel *cancel = std::get_if<gateway::ForwardCancel>(&message);
        if (cancel == nullptr) {
            return false;
        }
        const auto held = std::find_if(m_heldRequests.begin(), m_heldRequests.end(), [&from, cancel](const HeldRequest &candidate) {
            return candidate.first == from && std::get<gateway::ForwardRequest>(candidate.second).number == cancel->number;
        });
        if (held == m_heldRequests.end()) {
            return false;
        }
        const gateway::ForwardRequest &request = std::get<gateway::ForwardRequest>(held->second);
        m_journal.log(core::LogEvent{"forward_cancelled", {}}
                          .with("request", request.request.id.value())
                          .with("from", from.value())
                          .with("server", "")
                          .with("reason", "cancelled")
                          .with("progress", gateway::answerProgressName(gateway::AnswerProgress::NotBegun))
                          .with("ran_ms", "0"));
        m_heldRequests.erase(held);
        return true;
    }

    void dropHeldRequests(const core::InstanceId &from)
    {
        const auto isFrom = [&from](const HeldRequest &held) {
            return held.first == from;
        };
        m_heldRequests.erase(std::remove_if(m_heldRequests.begin(), m_heldRequests.end(), isFrom), m_heldRequests.end());
    }

    /** Hands waiting messages to the connection as long as it has room; a timer goes on with the rest. */
    void sendQueued(const core::InstanceId &to, Link &link)
    {
        while (!link.queue.isEmpty() && m_endpoint->queuedBytes(link.id) < MAX_UNSENT_BYTES) {
            const std::optional<std::string> bytes = link.queue.pop();
            if (!bytes.has_value() || !m_endpoint->send(link.id, *bytes)) {
                break;
            }
        }
        const absl::Time now = m_loop.timers().now();
        if (link.queue.isEmpty()) {
            link.queuedSince = absl::InfiniteFuture();
            return;
        }
        if (link.queuedSince == absl::InfiniteFuture()) {
            link.queuedSince = now;
        } else if (now - link.queuedSince >= FULL_QUEUE_LOG_PERIOD) {
            link.queuedSince = now;
            m_journal.log(core::LogEvent{"link_queue_full", {}}
                              .with("instance", to.value())
                              .with("unsent", absl::StrCat(m_endpoint->queuedBytes(link.id)))
                              .with("waiting", absl::StrJoin(link.queue.bytesByKind(), ",", absl::PairFormatter(":"))));
        }
        if (!m_isAwaitingRoom) {
            m_isAwaitingRoom = true;
            m_queueTimer = m_loop.timers().after(QUEUE_CHECK_PERIOD, [this] {
                m_isAwaitingRoom = false;
                for (auto &entry : m_links) {
                    if (!entry.second.queue.isEmpty()) {
                        sendQueued(entry.first, entry.second);
                    }
                }
            });
        }
    }

    /** Of two instances the one with the lower identifier chooses the link, whoever has opened it. */
    bool choosesLinkTo(const core::InstanceId &peer) const
    {
        return m_self.id < peer;
    }

    void greeted(LinkId link, const gateway::Member &peer)
    {
        const auto known = m_links.find(peer.id);
        if (known != m_links.end() && known->second.peer.process() != peer.process()) {
            replace(peer.id, "peer_restarted");
        }
        const auto opening = m_opening.find(link);
        if (opening == m_opening.end()) {
            return;
        }
        opening->second.peer = peer;
        const bool isIncoming = opening->second.dialled.isEmpty();
        const absl::Time openedAt = std::exchange(opening->second.since, m_loop.timers().now());
        if (!choosesLinkTo(peer.id)) {
            return;
        }
        const auto used = m_links.find(peer.id);
        if (used == m_links.end()) {
            use(link, "first");
        } else if (isIncoming && openedAt - used->second.since > DIAL_LIMIT) {
            // No attempt to open a link lasts so long: the other end had this one, and no longer has it.
            use(link, "opened_again_by_peer");
        }
        // Else both ends have opened a link at the same time. The second one carries nothing, and takes over if the first one fails.
    }

    /** Uses a link whose other end is known, in place of any other one to that end. */
    void use(LinkId link, const std::string &reason)
    {
        const auto opening = m_opening.find(link);
        if (opening == m_opening.end() || !opening->second.peer.has_value()) {
            return;
        }
        const gateway::Member peer = *opening->second.peer;
        m_opening.erase(opening);
        replace(peer.id, reason);
        const absl::Time now = m_loop.timers().now();
        m_names[link] = peer.id;
        m_links.emplace(peer.id, Link{link, peer, now, now, LinkQueue(peer.capacity > 0), PieceJoiner(), absl::InfiniteFuture()});
        if (choosesLinkTo(peer.id)) {
            // Tells the other end that this is the link to use.
            m_endpoint->send(link, encodeFleetMessage(gateway::Greeting{m_self}));
        }
        m_events.up(peer);
    }

    /** Uses the latest other link that is open to an instance, where this instance chooses. */
    void useSpare(const core::InstanceId &peer)
    {
        if (!choosesLinkTo(peer) || m_links.count(peer) != 0) {
            return;
        }
        const auto isSpare = [&peer](const auto &entry) {
            return entry.second.peer.has_value() && entry.second.peer->id == peer;
        };
        const auto spare = std::find_if(m_opening.rbegin(), m_opening.rend(), isSpare);
        if (spare != m_opening.rend()) {
            use(spare->first, "other_lost");
        }
    }

    void logReplaced(const Link &link, const std::string &reason)
    {
        m_journal.log(core::LogEvent{"link_replaced", {}}
                          .with("instance", link.peer.id.value())
                          .with("incarnation", absl::StrCat(link.peer.incarnation))
                          .with("boot", absl::StrCat(absl::Hex(link.peer.bootId)))
                          .with("reason", reason)
                          .with("age_ms", absl::StrCat(absl::ToInt64Milliseconds(m_loop.timers().now() - link.since))));
    }

    void check()
    {
        closeSilent();
        // Open what is missing.
        const absl::Time now = m_loop.timers().now();
        for (const auto &entry : m_wanted) {
            // Both ends want most links, and the one with the lower identifier opens them. A link to a relay may be wanted by the other end alone.
            const bool isDueHere = m_self.id < entry.first || now - entry.second.since > OTHER_END_DIAL_TIME;
            if (isDueHere && m_links.count(entry.first) == 0 && !isDialling(entry.first)) {
                dial(entry.second.member);
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
        std::vector<LinkId> unheard;
        for (const auto &entry : m_opening) {
            if (now - entry.second.since <= openingLimit(entry.second)) {
                continue;
            }
            (isOtherLinkSilent(entry.second) ? unheard : silent).push_back(entry.first);
        }
        for (const LinkId link : unheard) {
            use(link, "other_silent");
        }
        for (const LinkId link : silent) {
            terminate(link);
        }
    }

    /** How long a link may be in its present state of being opened. */
    absl::Duration openingLimit(const Opening &opening) const
    {
        // The instance that chooses decides within one limit on what it has greeted; the other one leaves it the time.
        const bool isChosenElsewhere = opening.peer.has_value() && !choosesLinkTo(opening.peer->id);
        return isChosenElsewhere ? 2 * DIAL_LIMIT : DIAL_LIMIT;
    }

    /** Whether nothing has arrived on the link in use since this one was greeted: the other end does not use that one. */
    bool isOtherLinkSilent(const Opening &opening) const
    {
        if (!opening.peer.has_value() || !choosesLinkTo(opening.peer->id)) {
            return false;
        }
        const auto used = m_links.find(opening.peer->id);
        return used != m_links.end() && used->second.heardAt < opening.since;
    }

    bool isDialling(const core::InstanceId &id) const
    {
        for (const auto &entry : m_opening) {
            if (entry.second.dialled == id || (entry.second.peer.has_value() && entry.second.peer->id == id)) {
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
        m_opening[*link] = Opening{m_loop.timers().now(), member.id, std::nullopt};
    }

    EventLoop &m_loop;
    gateway::Member m_self;
    LinkEvents m_events;
    gateway::Journal &m_journal;
    std::unique_ptr<LinkEndpoint> m_endpoint;
    bool m_isStopped = false;
    std::map<core::InstanceId, Wanted> m_wanted;
    std::map<core::InstanceId, Link> m_links;
    std::map<LinkId, core::InstanceId> m_names;
    std::map<LinkId, Opening> m_opening;
    /** Forwarded requests with the instance that sent each. */
    std::vector<HeldRequest> m_heldRequests;
    core::Subscription m_heldTimer;
    bool m_isAwaitingRoom = false;
    core::Subscription m_checkTimer;
    core::Subscription m_queueTimer;
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
    return m_impl->send(to, std::make_shared<OutgoingMessage>(message));
}

std::size_t PeerLinks::queuedBytes() const
{
    return m_impl->queuedBytes();
}

void PeerLinks::sendToAll(const std::vector<core::InstanceId> &to, const gateway::FleetMessage &message)
{
    const std::shared_ptr<OutgoingMessage> shared = std::make_shared<OutgoingMessage>(message);
    for (const core::InstanceId &instance : to) {
        m_impl->send(instance, shared);
    }
}

void PeerLinks::stop()
{
    m_impl->stop();
}

} // namespace snipeferry::net
