#pragma once

#include "snipeferry/core/value.h"

#include <string>
#include <vector>

/**
 * Messages by which instances track each other.
 */
namespace snipeferry::membership {

/** Identity, addresses and state of an instance. Each instance sends its own description; other instances pass it on unchanged. */
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

/** Load of one version of a service in the sender's data centre, as the sender knows it. */
struct ServiceLoad
{
    core::ServiceId service;
    core::VersionId version;
    int slots = 0;
    /** Slots in use. */
    int busy = 0;
    /** Requests that wait at the sender. */
    int waiting = 0;

    SNIPEFERRY_VALUE(ServiceLoad, service, version, slots, busy, waiting)
};

/** Full state of the sender. It is sent when a link comes up, when the sender's description changes, and otherwise at long intervals. */
struct Heartbeat
{
    InstanceDescription sender;
    /** Number of the heartbeat. Receivers ignore a heartbeat with a lower number than one that they received before. */
    std::uint64_t sequence = 0;
    /** Configuration revision of the sender. */
    core::Revision revision = 0;
    /** All loads of the sender, or none if the receiver does not get loads. They replace the loads that the receiver stored. */
    std::vector<ServiceLoad> loads;
    /** Some other members from which the sender recently received messages. The receiver can try to link to them. */
    std::vector<InstanceDescription> others;
    /** Asks the receiver to send its loads. Set if the sender itself keeps a link to the receiver. */
    bool wantsLoads = false;

    SNIPEFERRY_VALUE(Heartbeat, sender, sequence, revision, loads, others, wantsLoads)
};

/** Short heartbeat, sent between two full ones. */
struct Pulse
{
    /** Incarnation of the sender. */
    core::Incarnation incarnation = 0;
    /** Configuration revision of the sender. */
    core::Revision revision = 0;
    /** Loads that changed since the sender last sent loads on this link. */
    std::vector<ServiceLoad> loads;

    SNIPEFERRY_VALUE(Pulse, incarnation, revision, loads)
};

} // namespace snipeferry::membership
