#pragma once

#include "snipeferry/core/value.h"

#include <string>
#include <vector>

/**
 * What the platform's directory and instance list say, as values, whatever the platform's dialect.
 */
namespace snipeferry::platform {

/** One backend server of the directory. */
struct BackendServer
{
    core::BackendServerId id;
    core::DataCentreId dataCentre;
    core::ServiceId service;
    core::VersionId version;
    /** IP number and port, as "a.b.c.d:port". */
    std::string address;
    /** Requests it works on at once without queueing. */
    int slots = 1;
    /** Announced as leaving; it gets no new work. */
    bool isLeaving = false;
    /** Refuses orders with an old fencing number. */
    bool checksFencing = false;
    /** Can continue a stream at a given token. */
    bool canResume = false;

    SNIPEFERRY_VALUE(BackendServer, id, dataCentre, service, version, address, slots, isLeaving, checksFencing, canResume)
};

/** One entry of the lagging instance list: a hint, never the truth. */
struct ListedInstance
{
    core::InstanceId id;
    core::DataCentreId dataCentre;
    core::Incarnation incarnation = 0;
    /** Address for peer links, as "a.b.c.d:port". */
    std::string peerAddress;
    /** Address for callers, as "a.b.c.d:port". */
    std::string callerAddress;
    bool isLeaving = false;

    SNIPEFERRY_VALUE(ListedInstance, id, dataCentre, incarnation, peerAddress, callerAddress, isLeaving)
};

/** State of the directory; replaces the one before. */
struct DirectorySnapshot
{
    std::vector<BackendServer> backendServers;
    std::vector<ListedInstance> instances;

    SNIPEFERRY_VALUE(DirectorySnapshot, backendServers, instances)
};

} // namespace snipeferry::platform
