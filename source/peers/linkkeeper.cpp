#include "linkkeeper.h"

#include "snipeferry/peers/codec.h"

#include <algorithm>
#include <utility>

namespace snipeferry::peers {

namespace {

/** A link without an accepted hello is closed after this time without data. */
constexpr absl::Duration HELLO_TIMEOUT = absl::Seconds(5);
/** Time without data from the other end after which a ping is sent. */
constexpr absl::Duration SILENCE_BEFORE_PING = absl::Seconds(4);
/** Time without data from the other end after which the link is closed. */
constexpr absl::Duration SILENCE_BEFORE_CLOSE = absl::Seconds(12);

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

void LinkKeeper::advertiseAddress(const std::string &listenAddress)
{
    if (m_self.peerAddress.empty()) {
        m_self.peerAddress = listenAddress;
    }
}

void LinkKeeper::opened(LinkId id, bool isDialled)
{
    const LinkTarget *target = targetOfLink(id);
    m_table.open({id, isDialled, target == nullptr ? core::InstanceId() : target->peer.id, std::nullopt, m_timers.now()});
    transmit(id, membership::Hello{PROTOCOL_VERSION, m_self});
}

void LinkKeeper::beginStop()
{
    m_isStopping = true;
    std::vector<LinkId> opening;
    for (const std::pair<const std::string, LinkTarget> &target : m_targets) {
        if (target.second.link != 0 && m_table.find(target.second.link) == nullptr) {
            opening.push_back(target.second.link);
        }
    }
    for (const LinkId id : opening) {
        dropLink(id);
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
        dropLink(id);
        return;
    }
    const membership::Hello *hello = std::get_if<membership::Hello>(&*message);
    if (hello != nullptr) {
        identify(id, *hello);
        return;
    }
    // The first message on a link must be the hello; otherwise the link is closed.
    if (!link->peer.has_value()) {
        dropLink(id);
        return;
    }
    m_sink(messages::PeerReceived{link->peer->id, *message});
}

void LinkKeeper::identify(LinkId id, const membership::Hello &hello)
{
    const bool wasUp = m_table.isUp(hello.sender.id);
    const core::Expected<std::vector<LinkId>> replaced = m_table.identify(id, hello, m_endpoint->certificateName(id));
    if (!replaced) {
        dropLink(id);
        return;
    }
    if (LinkTarget *target = targetOfLink(id); target != nullptr) {
        target->backoff = MIN_BACKOFF;
    }
    for (const LinkId previous : *replaced) {
        dropLink(previous);
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
        dropLink(id);
        return;
    }
    m_endpoint->send(id, bytes);
}

/** Terminates a connection at once and removes its link. */
void LinkKeeper::dropLink(LinkId id)
{
    closed(id);
    m_endpoint->terminate(id);
}

void LinkKeeper::closed(LinkId id)
{
    if (LinkTarget *target = targetOfLink(id); target != nullptr) {
        scheduleRetry(*target);
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

LinkTarget *LinkKeeper::targetOfLink(LinkId id)
{
    const auto it
        = std::find_if(m_targets.begin(), m_targets.end(), [id](const std::pair<const std::string, LinkTarget> &target) { return target.second.link == id; });
    return it == m_targets.end() ? nullptr : &it->second;
}

/** Schedules the next connection attempt with a random part, and doubles the delay up to MAX_BACKOFF. */
void LinkKeeper::scheduleRetry(LinkTarget &target)
{
    std::uniform_real_distribution<double> jitter(0.5, 1.0);
    target.link = 0;
    target.nextAttempt = m_timers.now() + target.backoff * jitter(m_random);
    target.backoff = std::min(target.backoff * 2, MAX_BACKOFF);
}

void LinkKeeper::replaceTargets(const std::vector<membership::InstanceDescription> &peers)
{
    std::map<std::string, LinkTarget> target;
    for (const membership::InstanceDescription &peer : peers) {
        const auto previous = m_targets.find(peer.peerAddress);
        LinkTarget &entry = target[peer.peerAddress];
        if (previous != m_targets.end()) {
            entry = previous->second;
        }
        entry.peer = peer;
    }
    m_targets.swap(target);
    for (const std::pair<const std::string, LinkTarget> &previous : target) {
        if (previous.second.link != 0 && m_targets.count(previous.first) == 0) {
            dropLink(previous.second.link);
        }
    }
    connectDue();
}

void LinkKeeper::connectDue()
{
    const absl::Time now = m_timers.now();
    for (std::pair<const std::string, LinkTarget> &target : m_targets) {
        if (!m_isStopping && target.second.link == 0 && target.second.nextAttempt <= now) {
            const std::optional<LinkId> link = m_endpoint->dial(target.second.peer.peerAddress);
            if (!link.has_value()) {
                scheduleRetry(target.second);
                continue;
            }
            target.second.link = *link;
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
        if (silence > (link.second.peer.has_value() ? SILENCE_BEFORE_CLOSE : HELLO_TIMEOUT)) {
            silent.push_back(link.first);
        } else if (silence > SILENCE_BEFORE_PING) {
            m_endpoint->ping(link.first);
        }
    }
    for (const LinkId id : silent) {
        dropLink(id);
    }
}

} // namespace snipeferry::peers
