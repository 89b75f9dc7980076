#include "linkkeeper.h"

#include "snipeferry/peers/codec.h"

#include <algorithm>
#include <utility>

namespace snipeferry::peers {

namespace {

constexpr absl::Duration HELLO_TIMEOUT = absl::Seconds(5);
/** Silence on a link after which it is probed. */
constexpr absl::Duration PING_AFTER = absl::Seconds(4);
/** Silence on a link after which it is closed. */
constexpr absl::Duration CLOSE_AFTER = absl::Seconds(12);

} // namespace

LinkKeeper::LinkKeeper(const core::TimerService &timers, PeerSettings settings, messages::EventSink sink, membership::InstanceDescription self)
    : m_timers(timers),
      m_settings(std::move(settings)),
      m_sink(std::move(sink)),
      m_self(std::move(self)),
      m_table(m_self)
{
}

void LinkKeeper::useEndpoint(net::LinkEndpoint &endpoint)
{
    m_endpoint = &endpoint;
}

void LinkKeeper::useAddress(const std::string &listenAddress)
{
    if (m_self.peerAddress.empty()) {
        m_self.peerAddress = listenAddress;
    }
}

void LinkKeeper::opened(LinkId id, bool isDialled)
{
    const Kept *kept = keptBy(id);
    m_table.open({id, isDialled, kept == nullptr ? core::InstanceId() : kept->peer.id, std::nullopt, m_timers.now()});
    transmit(id, membership::Hello{PROTOCOL_VERSION, m_self});
}

void LinkKeeper::beginStop()
{
    m_isStopping = true;
    std::vector<LinkId> opening;
    for (const std::pair<const std::string, Kept> &kept : m_kept) {
        if (kept.second.link != 0 && m_table.find(kept.second.link) == nullptr) {
            opening.push_back(kept.second.link);
        }
    }
    for (const LinkId id : opening) {
        drop(id);
    }
    for (const std::pair<const LinkId, Link> &link : m_table.links()) {
        m_endpoint->close(link.first);
    }
}

bool LinkKeeper::hasLinks() const
{
    return !m_table.links().empty();
}

void LinkKeeper::received(LinkId id, bool isBinary, const std::string &bytes)
{
    heard(id);
    const Link *link = m_table.find(id);
    if (link == nullptr) {
        return;
    }
    const core::Expected<messages::PeerMessage> message = decode(bytes);
    if (!isBinary || !message) {
        drop(id);
        return;
    }
    const membership::Hello *hello = std::get_if<membership::Hello>(&*message);
    if (hello != nullptr) {
        identify(id, *hello);
        return;
    }
    // A link that says anything before its hello is closed.
    if (!link->peer.has_value()) {
        drop(id);
        return;
    }
    m_sink(messages::PeerReceived{link->peer->id, *message});
}

void LinkKeeper::identify(LinkId id, const membership::Hello &hello)
{
    const bool wasUp = m_table.isUp(hello.sender.id);
    const core::Expected<std::vector<LinkId>> replaced = m_table.identify(id, hello, m_endpoint->certificateName(id));
    if (!replaced) {
        drop(id);
        return;
    }
    if (Kept *kept = keptBy(id); kept != nullptr) {
        kept->backoff = MIN_BACKOFF;
    }
    for (const LinkId old : *replaced) {
        drop(old);
    }
    if (!wasUp || !replaced->empty()) {
        m_sink(messages::PeerLinkChanged{hello.sender.id, true});
    }
    m_sink(messages::PeerReceived{hello.sender.id, hello});
}

void LinkKeeper::heard(LinkId id)
{
    Link *link = m_table.find(id);
    if (link != nullptr) {
        link->lastReceived = m_timers.now();
    }
}

void LinkKeeper::send(const core::InstanceId &to, const messages::PeerMessage &message)
{
    const Link *link = m_table.linkTo(to);
    if (link != nullptr) {
        transmit(link->id, message);
    }
}

void LinkKeeper::transmit(LinkId id, const messages::PeerMessage &message)
{
    const std::string bytes = encode(message);
    if (bytes.size() > m_settings.maxFrameBytes) {
        return;
    }
    if (m_endpoint->queuedBytes(id) + bytes.size() > m_settings.maxQueueBytes) {
        drop(id);
        return;
    }
    m_endpoint->send(id, bytes);
}

/** Drops a connection at once; it is never used again. */
void LinkKeeper::drop(LinkId id)
{
    closed(id);
    m_endpoint->terminate(id);
}

void LinkKeeper::closed(LinkId id)
{
    if (Kept *kept = keptBy(id); kept != nullptr) {
        fail(*kept);
    }
    const Link *link = m_table.find(id);
    if (link == nullptr) {
        return;
    }
    const std::optional<membership::InstanceDescription> peer = link->peer;
    m_table.close(id);
    if (peer.has_value() && !m_table.isUp(peer->id)) {
        m_sink(messages::PeerLinkChanged{peer->id, false});
    }
}

Kept *LinkKeeper::keptBy(LinkId id)
{
    const auto it = std::find_if(m_kept.begin(), m_kept.end(), [id](const std::pair<const std::string, Kept> &kept) { return kept.second.link == id; });
    return it == m_kept.end() ? nullptr : &it->second;
}

/** Plans the next attempt, later after each failure. */
void LinkKeeper::fail(Kept &kept)
{
    std::uniform_real_distribution<double> jitter(0.5, 1.0);
    kept.link = 0;
    kept.nextAttempt = m_timers.now() + kept.backoff * jitter(m_random);
    kept.backoff = std::min(kept.backoff * 2, MAX_BACKOFF);
}

void LinkKeeper::replaceKept(const std::vector<membership::InstanceDescription> &peers)
{
    std::map<std::string, Kept> kept;
    for (const membership::InstanceDescription &peer : peers) {
        const auto old = m_kept.find(peer.peerAddress);
        Kept &entry = kept[peer.peerAddress];
        if (old != m_kept.end()) {
            entry = old->second;
        }
        entry.peer = peer;
    }
    m_kept.swap(kept);
    for (const std::pair<const std::string, Kept> &old : kept) {
        if (old.second.link != 0 && m_kept.count(old.first) == 0) {
            drop(old.second.link);
        }
    }
    connectDue();
}

void LinkKeeper::connectDue()
{
    const absl::Time now = m_timers.now();
    for (std::pair<const std::string, Kept> &kept : m_kept) {
        if (!m_isStopping && kept.second.link == 0 && kept.second.nextAttempt <= now) {
            const std::optional<LinkId> link = m_endpoint->dial(kept.second.peer.peerAddress);
            if (!link.has_value()) {
                fail(kept.second);
                continue;
            }
            kept.second.link = *link;
        }
    }
}

void LinkKeeper::tick()
{
    connectDue();
    const absl::Time now = m_timers.now();
    std::vector<LinkId> silent;
    for (const std::pair<const LinkId, Link> &link : m_table.links()) {
        const absl::Duration silence = now - link.second.lastReceived;
        if (silence > (link.second.peer.has_value() ? CLOSE_AFTER : HELLO_TIMEOUT)) {
            silent.push_back(link.first);
        } else if (silence > PING_AFTER) {
            m_endpoint->ping(link.first);
        }
    }
    for (const LinkId id : silent) {
        drop(id);
    }
}

} // namespace snipeferry::peers
