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
 * Which links are open, whose they are, and which one carries messages to an instance.
 */
namespace snipeferry::peers {

using net::LinkId;

/** One open connection. */
struct Link
{
    LinkId id = 0;
    bool isOutgoing = false;
    /** The instance that an outgoing link was opened to; empty when only its address is known. */
    core::InstanceId expected;
    /** The other end, once its hello was accepted. */
    std::optional<membership::InstanceDescription> peer;
    absl::Time lastReceived;
};

/** Checks hellos and chooses links. Not thread-safe. */
class LinkTable
{
public:
    explicit LinkTable(membership::InstanceDescription self);

    Link &open(Link link);

    /** @brief Finds an open link, or nullptr. */
    Link *find(LinkId id);

    /**
     * @brief Accepts or refuses the hello of a link's other end.
     * @param certificateName common name of the other end's certificate; empty without TLS
     * @return links of the instance's older incarnations, which must be closed; or why this link must be closed
     */
    core::Expected<std::vector<LinkId>> identify(LinkId id, const membership::Hello &hello, const std::string &certificateName);

    /** @brief Forgets a link. */
    void close(LinkId id);

    /** @brief Whether any accepted link to the instance is open. */
    bool isUp(const core::InstanceId &peer) const;

    /**
     * @brief The link that carries messages to an instance, or nullptr.
     *
     * An outgoing one is preferred; a chosen link is kept until it closes, so that messages stay in order.
     */
    Link *linkTo(const core::InstanceId &peer);

    /** @brief All open links. */
    const std::map<LinkId, Link> &links() const;

private:
    membership::InstanceDescription m_self;
    std::map<LinkId, Link> m_links;
    std::map<core::InstanceId, LinkId> m_chosen;
    /** Highest incarnation of each linked instance. */
    std::map<core::InstanceId, core::Incarnation> m_incarnations;
};

} // namespace snipeferry::peers
