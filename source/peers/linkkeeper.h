#pragma once

#include "linktable.h"
#include "snipeferry/messages/eventsink.h"
#include "snipeferry/peers/peertransport.h"

#include <map>
#include <random>
#include <string>
#include <vector>

/**
 * What happens on links, apart from the sockets: hellos, choice of link, bounds, probes and reconnection.
 */
namespace snipeferry::peers {

constexpr absl::Duration MIN_BACKOFF = absl::Milliseconds(100);
constexpr absl::Duration MAX_BACKOFF = absl::Seconds(5);

/** One address that a link is kept to. */
struct Kept
{
    membership::InstanceDescription peer;
    /** Open or opening link; 0 for none. */
    LinkId link = 0;
    absl::Duration backoff = MIN_BACKOFF;
    absl::Time nextAttempt = absl::InfinitePast();
};

/** Keeps the links of one instance. */
class LinkKeeper
{
public:
    LinkKeeper(const core::TimerService &timers, PeerSettings settings, messages::EventSink sink, membership::InstanceDescription self);

    /** @brief Sets what opens and closes connections; must be called first. */
    void useEndpoint(net::LinkEndpoint &endpoint);

    /** @brief Says in hellos where this instance listens, unless its description does. */
    void useAddress(const std::string &listenAddress);

    /** @brief Takes a connection as open and sends the hello. */
    void opened(LinkId id, bool isDialled);

    /** @brief Takes a frame; anything but valid messages after a hello closes the link. */
    void received(LinkId id, bool isBinary, const std::string &bytes);

    /** @brief Notes that the other end is alive. */
    void heard(LinkId id);

    void closed(LinkId id);
    void send(const core::InstanceId &to, const messages::PeerMessage &message);
    void replaceKept(const std::vector<membership::InstanceDescription> &peers);

    /** @brief Connects, probes and closes what is due. */
    void tick();

    /** @brief Closes all links after what is queued has left; opens no more. */
    void beginStop();

    /** @brief Whether a link is open or being opened. */
    bool hasLinks() const;

private:
    void identify(LinkId id, const membership::Hello &hello);
    void transmit(LinkId id, const messages::PeerMessage &message);
    void drop(LinkId id);
    Kept *keptBy(LinkId id);
    void fail(Kept &kept);
    void connectDue();

    const core::TimerService &m_timers;
    const PeerSettings m_settings;
    const messages::EventSink m_sink;
    membership::InstanceDescription m_self;
    net::LinkEndpoint *m_endpoint = nullptr;
    LinkTable m_table;
    std::map<std::string, Kept> m_kept;
    std::mt19937 m_random{std::random_device{}()};
    bool m_isStopping = false;
};

} // namespace snipeferry::peers
