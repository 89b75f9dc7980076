#pragma once

#include "snipeferry/gateway/backendtable.h"
#include "snipeferry/gateway/message.h"
#include "snipeferry/gateway/model.h"
#include "snipeferry/gateway/ratelimiter.h"
#include "snipeferry/gateway/records.h"
#include "snipeferry/gateway/rolloutguard.h"

#include <string>
#include <variant>
#include <vector>

/**
 * Messages between instances.
 */
namespace snipeferry::gateway {

/** First message of each side of a link. */
struct Greeting
{
    Member sender;

    SNIPEFERRY_VALUE(Greeting, sender)
};

/** Room of the sender's region for one service. */
struct ServiceRoom
{
    core::ServiceId service;
    /** Expected wait at the least loaded backend server, by urgency. */
    std::vector<absl::Duration> waits;

    SNIPEFERRY_VALUE(ServiceRoom, service, waits)
};

/** What the sender knows of one topic of the store. */
struct TopicState
{
    Topic topic = Topic::Operator;
    core::Revision revision = 0;
    /** Time since the store last confirmed that this revision was the newest. */
    absl::Duration confirmedAgo = absl::InfiniteDuration();

    SNIPEFERRY_VALUE(TopicState, topic, revision, confirmedAgo)
};

/** Sent periodically on each link. */
struct Pulse
{
    /** Sender's clock in nanoseconds, returned by the receiver in echo. */
    std::int64_t sentAt = 0;
    /** Last sentAt that the sender received on this link; 0 before. */
    std::int64_t echo = 0;
    /** Takes callers; false while it is draining or not configured. */
    bool isReady = false;
    std::vector<TopicState> topics;
    std::vector<ServiceRoom> rooms;
    /** Only between instances of one region. */
    std::vector<ServerWork> work;
    std::vector<ReadPart> readParts;
    std::vector<AllowanceReport> allowances;
    std::vector<RolloutReport> rollouts;

    SNIPEFERRY_VALUE(Pulse, sentAt, echo, isReady, topics, rooms, work, readParts, allowances, rollouts)
};

struct AllowanceTransfer
{
    std::vector<AllowanceGrant> grants;

    SNIPEFERRY_VALUE(AllowanceTransfer, grants)
};

/** Asks for a topic's records, of which the sender has those up to a revision. */
struct RecordsRequest
{
    Topic topic = Topic::Operator;
    core::Revision after = 0;

    SNIPEFERRY_VALUE(RecordsRequest, topic, after)
};

/** All records of a topic. */
struct RecordsTransfer
{
    Topic topic = Topic::Operator;
    core::Revision revision = 0;
    std::vector<Record> records;

    SNIPEFERRY_VALUE(RecordsTransfer, topic, revision, records)
};

/** Changes of a topic that the sender has read; the receiver needs all before them. */
struct RecordsUpdate
{
    Topic topic = Topic::Operator;
    /** Revision of the sender before the changes. */
    core::Revision after = 0;
    core::Revision revision = 0;
    std::vector<RecordChange> changes;

    SNIPEFERRY_VALUE(RecordsUpdate, topic, after, revision, changes)
};

/** Sends a request to an instance of another region, which runs it there or refuses it; it is never sent on. */
struct ForwardRequest
{
    /** Chosen by the sender; unique on this link. */
    std::uint64_t number = 0;
    CallerRequest request;
    core::ServiceId service;
    std::string route;
    core::VersionId version;
    core::VersionId excludedVersion;
    core::CustomerId customer;
    std::vector<core::RegionId> homeRegions;
    bool isRepeatable = false;
    bool isStream = false;
    int priority = 5;
    /** Time left until the request's final answer is due. */
    absl::Duration timeLeft;

    SNIPEFERRY_VALUE(
        ForwardRequest, number, request, service, route, version, excludedVersion, customer, homeRegions, isRepeatable, isStream, priority, timeLeft)
};

struct ForwardHead
{
    std::uint64_t number = 0;
    HttpHead head;

    SNIPEFERRY_VALUE(ForwardHead, number, head)
};

struct ForwardData
{
    std::uint64_t number = 0;
    /** Counts the pieces from 0. */
    std::uint64_t sequence = 0;
    std::string data;

    SNIPEFERRY_VALUE(ForwardData, number, sequence, data)
};

struct ForwardEnd
{
    std::uint64_t number = 0;
    std::uint64_t pieces = 0;

    SNIPEFERRY_VALUE(ForwardEnd, number, pieces)
};

struct ForwardFailed
{
    std::uint64_t number = 0;
    /** False only if the request certainly has not run there and never will. */
    bool mayHaveRun = true;
    std::string reason;

    SNIPEFERRY_VALUE(ForwardFailed, number, mayHaveRun, reason)
};

struct ForwardCancel
{
    std::uint64_t number = 0;

    SNIPEFERRY_VALUE(ForwardCancel, number)
};

/** Asks for a customer's tokens, of which the sender is short; what can be spared comes as an AllowanceTransfer. */
struct AllowanceRequest
{
    core::CustomerId customer;
    double tokens = 0;

    SNIPEFERRY_VALUE(AllowanceRequest, customer, tokens)
};

/** A new message goes to the end of the list; its place is its number on the wire. */
using FleetMessage = std::variant<Greeting, Pulse, AllowanceTransfer, RecordsRequest, RecordsTransfer, ForwardRequest, ForwardHead, ForwardData, ForwardEnd,
    ForwardFailed, ForwardCancel, RecordsUpdate, AllowanceRequest>;

} // namespace snipeferry::gateway
