#pragma once

#include "snipeferry/core/error.h"
#include "snipeferry/gateway/ports.h"
#include "snipeferry/net/eventloop.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace snipeferry::net {

/** What happens on the links. */
struct LinkEvents
{
    std::function<void(const gateway::Member &)> up;
    std::function<void(const core::InstanceId &)> down;
    std::function<void(const core::InstanceId &, const gateway::FleetMessage &)> received;
};

/**
 * One websocket link to each other instance, with CBOR messages.
 *
 * Of two instances the one with the lower identifier opens the link, or the other one if that takes too long. Where both have, the one with the lower
 * identifier chooses, and the other one sends nothing on a link before it has got something on it. So a link that is not used carries nothing when it
 * is closed. A link that is silent for too long is closed and opened again.
 */
class PeerLinks : public gateway::FleetLinks
{
public:
    PeerLinks(EventLoop &loop, gateway::Member self, LinkEvents events, gateway::Journal &journal);
    ~PeerLinks() override;

    /** @brief Listens on the own peer address. */
    core::Expected<void> start();

    /** @brief Replaces the list of instances to which links are kept. */
    void keep(const std::vector<gateway::Member> &members);

    bool send(const core::InstanceId &to, const gateway::FleetMessage &message) override;
    /** @brief Bytes and messages that wait on all links, counted as one number; 0 if nothing waits. */
    std::size_t queuedBytes() const;
    void sendToAll(const std::vector<core::InstanceId> &to, const gateway::FleetMessage &message) override;

    void stop();

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace snipeferry::net
