#include "linktable.h"

#include "snipeferry/peers/codec.h"

#include <algorithm>
#include <utility>

namespace snipeferry::peers {

namespace {

tl::unexpected<core::Error> refused(const std::string &why)
{
    return tl::make_unexpected(core::makeError(core::ErrorKind::BadRequest, "Peer link refused: " + why + "."));
}

} // namespace

LinkTable::LinkTable(membership::InstanceDescription self)
    : m_self(std::move(self))
{
}

Link &LinkTable::open(Link link)
{
    const LinkId id = link.id;
    return m_links.insert_or_assign(id, std::move(link)).first->second;
}

Link *LinkTable::find(LinkId id)
{
    const auto it = m_links.find(id);
    return it == m_links.end() ? nullptr : &it->second;
}

core::Expected<std::vector<LinkId>> LinkTable::identify(LinkId id, const membership::Hello &hello, const std::string &certificateName)
{
    Link *link = find(id);
    const core::InstanceId &peer = hello.sender.id;
    // Check the contents of the hello.
    if (link == nullptr || link->peer.has_value()) {
        return refused("a second hello");
    }
    if (hello.protocol != PROTOCOL_VERSION) {
        return refused("protocol version " + std::to_string(hello.protocol));
    }
    if (peer.isEmpty() || peer == m_self.id) {
        return refused("the hello has no instance id, or the id of this instance");
    }
    if (!link->expected.isEmpty() && link->expected != peer) {
        return refused("another instance answers at the address of " + link->expected.value());
    }
    if (!certificateName.empty() && certificateName != peer.value()) {
        return refused("the certificate belongs to " + certificateName + ", not to " + peer.value());
    }
    // Only the newest incarnation of an instance may have links; links of older ones are returned for closing.
    core::Incarnation &newest = m_newestIncarnations[peer];
    if (hello.sender.incarnation < newest) {
        return refused("an older incarnation of " + peer.value());
    }
    std::vector<LinkId> replaced;
    for (const std::pair<const LinkId, Link> &other : m_links) {
        const std::optional<membership::InstanceDescription> &knownPeer = other.second.peer;
        if (knownPeer.has_value() && knownPeer->id == peer && knownPeer->incarnation < hello.sender.incarnation) {
            replaced.push_back(other.first);
        }
    }
    newest = hello.sender.incarnation;
    link->peer = hello.sender;
    return replaced;
}

void LinkTable::close(LinkId id)
{
    const auto it = m_links.find(id);
    if (it == m_links.end()) {
        return;
    }
    const std::optional<membership::InstanceDescription> peer = it->second.peer;
    m_links.erase(it);
    if (!peer.has_value()) {
        return;
    }
    const auto active = m_activeLinks.find(peer->id);
    if (active != m_activeLinks.end() && active->second == id) {
        m_activeLinks.erase(active);
    }
    if (!isUp(peer->id)) {
        m_newestIncarnations.erase(peer->id);
    }
}

bool LinkTable::isUp(const core::InstanceId &peer) const
{
    return std::any_of(m_links.begin(), m_links.end(), [&](const std::pair<const LinkId, Link> &link) {
        return link.second.peer.has_value() && link.second.peer->id == peer; //
    });
}

Link *LinkTable::linkTo(const core::InstanceId &peer)
{
    const auto active = m_activeLinks.find(peer);
    if (active != m_activeLinks.end()) {
        return find(active->second);
    }
    Link *best = nullptr;
    for (std::pair<const LinkId, Link> &candidate : m_links) {
        Link &link = candidate.second;
        if (!link.peer.has_value() || link.peer->id != peer) {
            continue;
        }
        if (best == nullptr || (link.isOutgoing && !best->isOutgoing)) {
            best = &link;
        }
    }
    if (best != nullptr) {
        m_activeLinks[peer] = best->id;
    }
    return best;
}

const std::map<LinkId, Link> &LinkTable::links() const
{
    return m_links;
}

} // namespace snipeferry::peers
