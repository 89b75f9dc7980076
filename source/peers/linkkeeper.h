#pragma once

#include "linktable.h"
#include "snipeferry/messages/eventsink.h"
#include "snipeferry/peers/peertransport.h"

#include <map>
#include <random>
#include <string>
#include <vector>

/**
 * Protocol logic of links, separate from the sockets: hellos, size limits, pings, timeouts and reconnection.
 */
namespace snipeferry::peers {

constexpr absl::Duration MIN_BACKOFF = absl::Milliseconds(100);
constexpr absl::Duration MAX_BACKOFF = absl::Seconds(5);

/** A peer that an outgoing link is maintained to. */
struct LinkTarget
{
    membership::InstanceDescription peer;
    /** The link that is open or being opened; 0 if there is none. */
    LinkId link = 0;
    /** Longest delay before the next attempt after a failure. */
    absl::Duration backoff = MIN_BACKOFF;
    absl::Time nextAttempt = absl::InfinitePast();
};

/** Opens, checks and closes the links of one instance. */
class LinkKeeper
{
public:
    LinkKeeper(const core::TimerService &timers, PeerSettings settings, messages::EventSink sink, membership::InstanceDescription self);

    /** @brief Sets the endpoint that opens and closes connections. Must be called before any other function. */
    void useEndpoint(net::LinkEndpoint &endpoint);

    /** @brief Sets the address that hellos give for this instance, unless its description already has one. */
    void advertiseAddress(const std::string &listenAddress);

    /** @brief Adds an opened connection to the links and sends the hello. */
    void opened(LinkId id, bool isDialled);

    /** @brief Processes a received frame. Closes the link if the frame is no valid message, or if a message arrives before the hello. */
    void received(LinkId id, bool isBinary, const std::string &bytes);

    /** @brief Records that the other end has sent something just now. */
    void heard(LinkId id);

    /** @brief Removes a link whose connection has closed or could not be opened, and schedules the next attempt. */
    void closed(LinkId id);

    /** @brief Sends a message to an instance. The message is dropped if no link to it is up or it exceeds the frame size limit. */
    void send(const core::InstanceId &to, const messages::PeerMessage &message);

    /** @brief Replaces the peers that outgoing links are maintained to. */
    void replaceTargets(const std::vector<membership::InstanceDescription> &peers);

    /** @brief Opens links whose next attempt is due, sends pings on silent links and closes those that timed out. */
    void tick();

    /** @brief Closes every link once its queued messages are sent, and opens no more. */
    void beginStop();

    /** @brief Returns whether any link is open. */
    bool hasLinks() const;

private:
    void identify(LinkId id, const membership::Hello &hello);
    void transmit(LinkId id, const messages::PeerMessage &message);
    void dropLink(LinkId id);
    LinkTarget *targetOfLink(LinkId id);
    void scheduleRetry(LinkTarget &target);
    void connectDue();

    const core::TimerService &m_timers;
    const PeerSettings m_settings;
    const messages::EventSink m_sink;
    membership::InstanceDescription m_self;
    net::LinkEndpoint *m_endpoint = nullptr;
    LinkTable m_table;
    /** Maintained peers, by peer address. */
    std::map<std::string, LinkTarget> m_targets;
    std::mt19937 m_random{std::random_device{}()};
    bool m_isStopping = false;
};

} // namespace snipeferry::peers
