#pragma once

#include "snipeferry/core/error.h"
#include "snipeferry/membership/messages.h"
#include "snipeferry/net/linkendpoint.h"

#include <absl/time/time.h>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

/**
 * Table of the open links: which instance is at the other end, and which link carries the messages to an instance.
 */
namespace snipeferry::peers {

using net::LinkId;

/** One open connection. */
struct Link
{
    LinkId id = 0;
    bool isOutgoing = false;
    /** For an outgoing link, the instance that should answer; empty if only its address is known. Empty for an incoming link. */
    core::InstanceId expected;
    /** The instance at the other end; set when its hello is accepted. */
    std::optional<membership::InstanceDescription> peer;
    absl::Time lastReceived;
};

/** Records open links, checks hellos and chooses the link for messages to an instance. Not thread-safe. */
class LinkTable
{
public:
    explicit LinkTable(membership::InstanceDescription self);

    /** @brief Adds a link whose connection has opened. */
    Link &open(Link link);

    /** @brief Returns an open link, or nullptr. */
    Link *find(LinkId id);

    /**
     * @brief Checks the hello from the other end of a link, and accepts or refuses it.
     * @param certificateName common name in the certificate of the other end; empty without TLS
     * @return the links of older incarnations of the instance, which the caller must close; or an error, after which the caller must close this link
     */
    core::Expected<std::vector<LinkId>> identify(LinkId id, const membership::Hello &hello, const std::string &certificateName);

    /** @brief Removes a link from the table. */
    void close(LinkId id);

    /** @brief Returns whether a link to the instance is open and its hello was accepted. */
    bool isUp(const core::InstanceId &peer) const;

    /**
     * @brief Returns the link that carries messages to an instance, or nullptr.
     *
     * An outgoing link is preferred. Once chosen, a link is used until it closes, so that messages stay in order.
     */
    Link *linkTo(const core::InstanceId &peer);

    /** @brief Returns all open links. */
    const std::map<LinkId, Link> &links() const;

private:
    membership::InstanceDescription m_self;
    std::map<LinkId, Link> m_links;
    /** The link that carries messages to each instance, once one was chosen. */
    std::map<core::InstanceId, LinkId> m_activeLinks;
    /** Highest incarnation number accepted from each instance that has a link. */
    std::map<core::InstanceId, core::Incarnation> m_newestIncarnations;
};

} // namespace snipeferry::peers
