#pragma once

#include "snipeferry/core/value.h"

#include <string>
#include <vector>

/**
 * Messages by which instances track each other.
 */
namespace snipeferry::membership {

/** Description of an instance, as its own process sends it. */
struct InstanceDescription
{
    core::InstanceId id;
    core::Incarnation incarnation = 0;
    core::DataCentreId dataCentre;
    /** Address for peer links, as "a.b.c.d:port". */
    std::string peerAddress;
    /** Address for callers, as "a.b.c.d:port". */
    std::string callerAddress;
    bool isDraining = false;

    SNIPEFERRY_VALUE(InstanceDescription, id, incarnation, dataCentre, peerAddress, callerAddress, isDraining)
};

/** First message on a link. */
struct Hello
{
    /** Version of the peer protocol. */
    int protocol = 1;
    InstanceDescription sender;

    SNIPEFERRY_VALUE(Hello, protocol, sender)
};

/** Load of a service in a data centre, as the instances of that data centre see it. */
struct ServiceLoad
{
    core::ServiceId service;
    core::VersionId version;
    int slots = 0;
    int busy = 0;
    /** Requests that are waiting at the sender. */
    int waiting = 0;

    SNIPEFERRY_VALUE(ServiceLoad, service, version, slots, busy, waiting)
};

/** Full state of the sender. It is sent when a link comes up, when the sender's description changes and as an infrequent refresh. */
struct Heartbeat
{
    InstanceDescription sender;
    std::uint64_t sequence = 0;
    core::Revision revision = 0;
    /** All loads; they replace those received before. */
    std::vector<ServiceLoad> loads;
    /** A sample of other members from which the sender has recently received messages. */
    std::vector<InstanceDescription> others;
    /** The sender keeps a link to the receiver and asks it to send its loads. */
    bool wantsLoads = false;

    SNIPEFERRY_VALUE(Heartbeat, sender, sequence, revision, loads, others, wantsLoads)
};

/** Short heartbeat between two full ones. */
struct Pulse
{
    core::Incarnation incarnation = 0;
    core::Revision revision = 0;
    /** Loads that changed since the sender last sent loads on this link. */
    std::vector<ServiceLoad> loads;

    SNIPEFERRY_VALUE(Pulse, incarnation, revision, loads)
};

} // namespace snipeferry::membership
