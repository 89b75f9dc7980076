#pragma once

#include "snipeferry/duties/usage.h"
#include "snipeferry/gateway/backendtable.h"
#include "snipeferry/gateway/message.h"
#include "snipeferry/gateway/model.h"
#include "snipeferry/gateway/promptevidence.h"
#include "snipeferry/gateway/ratelimiter.h"
#include "snipeferry/gateway/records.h"
#include "snipeferry/gateway/rolloutguard.h"
#include "snipeferry/gateway/serverlimits.h"

#include <string>
#include <variant>
#include <vector>

/** Messages that instances send to each other. */
namespace snipeferry::gateway {

/** First message that each side of a link sends. */
struct Greeting
{
    Member sender;

    SNIPEFERRY_VALUE(Greeting, sender)
};

/** Expected waits for one service in the sender's region. */
struct ServiceRoom
{
    core::ServiceId service;
    /** Expected wait at the least loaded backend server, one entry per urgency level. */
    std::vector<absl::Duration> waits;
    /**
     * Prompt tokens that are read in a millisecond: by the least loaded usable backend server, and by all usable ones together. Empty from earlier builds.
     */
    std::vector<double> readRates = {};

    SNIPEFERRY_EXTENDED_VALUE(ServiceRoom, readRates, service, waits)
};

/** State of the sender's copy of one topic. */
struct TopicState
{
    Topic topic = Topic::Operator;
    /** Revision of the newest change in the sender's copy. */
    core::Revision revision = 0;
    /** Time since the store last confirmed that the copy was up to date; infinite if it never did. */
    absl::Duration confirmedAgo = absl::InfiniteDuration();

    SNIPEFERRY_VALUE(TopicState, topic, revision, confirmedAgo)
};

/** Heartbeat with the sender's state, sent periodically on each link. */
struct Pulse
{
    /** Sender's clock in nanoseconds; the receiver returns it in the echo of its next pulse. */
    std::int64_t sentAt = 0;
    /** The sentAt of the last pulse that the sender received on this link; 0 if none. */
    std::int64_t echo = 0;
    /** Whether the sender accepts callers; false while it is draining or has no confirmed deployment. */
    bool isReady = false;
    std::vector<TopicState> topics;
    /** Only sent to other regions. */
    std::vector<ServiceRoom> rooms;
    /** Only sent within a region. */
    std::vector<ServerWork> work;
    /** Shared prompt parts that the sender has sent to backend servers since its last pulse. */
    std::vector<ReadPart> readParts;
    std::vector<AllowanceReport> allowances;
    std::vector<RolloutReport> rollouts;
    /** Services none of whose backend servers the sender can reach. */
    std::vector<core::ServiceId> lostServices;
    /**
     * Whether the sender runs forwarded requests although it does not accept callers, because its deployment was not confirmed lately. Only their origin
     * checks keys. Earlier builds do not send it: they run forwarded requests only while they accept callers.
     */
    bool takesForwards = false;
    /** Time since the sender itself got an answer of the store. Only sent within a region; earlier builds do not send it. */
    absl::Duration storeAnsweredAgo = absl::InfiniteDuration();

    SNIPEFERRY_EXTENDED_STATE_VALUE(
        Pulse, lostServices, takesForwards, storeAnsweredAgo, sentAt, echo, isReady, topics, rooms, work, readParts, allowances, rollouts)
};

/** Transfers customers' tokens to the receiver. The sender has already debited them. */
struct AllowanceTransfer
{
    std::vector<AllowanceGrant> grants;

    SNIPEFERRY_VALUE(AllowanceTransfer, grants)
};

/** Requests a topic's records. The receiver answers only if it has a change after the given revision. */
struct RecordsRequest
{
    Topic topic = Topic::Operator;
    /** Revision up to which the sender's copy is complete. */
    core::Revision after = 0;

    SNIPEFERRY_VALUE(RecordsRequest, topic, after)
};

/** A missing announcement of a backend server that may have lapsed in an outage of the store, and how long the sender goes on to use the backend server. */
struct LapsedRecord
{
    std::string key;
    absl::Duration timeLeft;

    SNIPEFERRY_VALUE(LapsedRecord, key, timeLeft)
};

/** Full contents of a topic. */
struct RecordsTransfer
{
    Topic topic = Topic::Operator;
    core::Revision revision = 0;
    std::vector<Record> records;
    /** Empty from earlier builds. */
    std::vector<LapsedRecord> lapsed = {};

    SNIPEFERRY_EXTENDED_VALUE(RecordsTransfer, lapsed, topic, revision, records)
};

/** Changes that the sender has read from the store. They apply only to a copy that is complete up to "after". */
struct RecordsUpdate
{
    Topic topic = Topic::Operator;
    /** Revision of the newest change in the sender's copy before these changes. */
    core::Revision after = 0;
    core::Revision revision = 0;
    std::vector<RecordChange> changes;
    /** Empty from earlier builds. */
    std::vector<LapsedRecord> lapsed = {};

    SNIPEFERRY_EXTENDED_VALUE(RecordsUpdate, lapsed, topic, after, revision, changes)
};

/** Forwards a caller's request to another instance, which sends it to a backend server of its region or refuses it. It is never forwarded again. */
struct ForwardRequest
{
    /** The sender's run number; the answers carry the same number. */
    std::uint64_t number = 0;
    CallerRequest request;
    core::ServiceId service;
    std::string route;
    /** The only version that may run the request; empty for any. */
    core::VersionId version;
    /** A version that may not run the request; empty for none. */
    core::VersionId excludedVersion;
    /** All versions that may not run the request. */
    std::vector<core::VersionId> excludedVersions;
    core::CustomerId customer;
    /** Regions where the request may run; empty for all. */
    std::vector<core::RegionId> homeRegions;
    bool isRepeatable = false;
    bool isStream = false;
    int priority = 5;
    /** Time left until the request's deadline. */
    absl::Duration timeLeft;

    SNIPEFERRY_EXTENDED_VALUE(ForwardRequest, excludedVersions, number, request, service, route, version, excludedVersion, customer, homeRegions, isRepeatable,
        isStream, priority, timeLeft)
};

/** Head of the answer to a forwarded request. */
struct ForwardHead
{
    std::uint64_t number = 0;
    HttpHead head;

    SNIPEFERRY_VALUE(ForwardHead, number, head)
};

/** One piece of the answer's body. */
struct ForwardData
{
    std::uint64_t number = 0;
    /** Number of this piece, from 0. */
    std::uint64_t sequence = 0;
    std::string data;

    SNIPEFERRY_VALUE(ForwardData, number, sequence, data)
};

/** Ends the answer. */
struct ForwardEnd
{
    std::uint64_t number = 0;
    /** Number of pieces sent, so that the receiver detects a lost one. */
    std::uint64_t pieces = 0;

    SNIPEFERRY_VALUE(ForwardEnd, number, pieces)
};

/** Reports that a forwarded request was refused or failed. */
struct ForwardFailed
{
    std::uint64_t number = 0;
    /** False only if the request was certainly not executed there and never will be. */
    bool mayHaveRun = true;
    std::string reason;

    SNIPEFERRY_VALUE(ForwardFailed, number, mayHaveRun, reason)
};

/** Cancels a forwarded request. */
struct ForwardCancel
{
    std::uint64_t number = 0;

    SNIPEFERRY_VALUE(ForwardCancel, number)
};

/** Requests tokens of a customer that the sender is short of. The receiver answers with an AllowanceTransfer if it can spare any. */
struct AllowanceRequest
{
    core::CustomerId customer;
    double tokens = 0;

    SNIPEFERRY_VALUE(AllowanceRequest, customer, tokens)
};

/**
 * Report of an instance of a large region to one of the region's relays. The relay sends pulses in return.
 *
 * A region with few instances has no relays; each instance sends its pulses to all others.
 */
struct RelayReport
{
    Pulse pulse;
    /** Whether the sender wants the relay's summaries. It asks one of the relays for them. */
    bool wantsSummary = false;

    SNIPEFERRY_VALUE(RelayReport, pulse, wantsSummary)
};

/** What a relay knows of one instance of its region. */
struct InstanceState
{
    core::InstanceId instance;
    /** Time since the instance was last heard of. */
    absl::Duration heardAgo;
    /** Whether it accepts callers. */
    bool isReady = false;
    /** Services none of whose backend servers it can reach. */
    std::vector<core::ServiceId> lostServices;

    SNIPEFERRY_EXTENDED_VALUE(InstanceState, lostServices, instance, heardAgo, isReady)
};

/** Merged reports of all instances of a large region, sent by a relay. */
struct RegionSummary
{
    std::vector<InstanceState> instances;
    /** Sums over all instances, the receiver included. */
    std::vector<ServerWork> work;
    /** Prompt parts that instances have reported since the relay's last summary. */
    std::vector<ReadPart> readParts;
    /** Evidence of the whole fleet, as far as the relay knows it. */
    std::vector<RolloutReport> rollouts;

    SNIPEFERRY_VALUE(RegionSummary, instances, work, readParts, rollouts)
};

/** Stops or continues the reading of a forwarded request's answer, because its caller takes it slowly. */
struct ForwardFlow
{
    std::uint64_t number = 0;
    bool isPaused = false;

    SNIPEFERRY_VALUE(ForwardFlow, number, isPaused)
};

/** Asks for the rest of a forwarded request's answer after the link between the two instances was lost and is back. */
struct ForwardResume
{
    std::uint64_t number = 0;
    /** Whether the head of the answer has arrived. */
    bool hasHead = false;
    /** Number of pieces that have arrived. */
    std::uint64_t receivedPieces = 0;

    SNIPEFERRY_VALUE(ForwardResume, number, hasHead, receivedPieces)
};

/** Part of an encoded message that is too long to be sent in one piece. Pieces of one message arrive in order, with other messages between them. */
struct MessagePiece
{
    std::string bytes;
    bool isLast = false;

    SNIPEFERRY_VALUE(MessagePiece, bytes, isLast)
};

/** All messages. New ones are added at the end, because a message's index in the list is its type number on the wire. */
using FleetMessage = std::variant<Greeting, Pulse, AllowanceTransfer, RecordsRequest, RecordsTransfer, ForwardRequest, ForwardHead, ForwardData, ForwardEnd,
    ForwardFailed, ForwardCancel, RecordsUpdate, AllowanceRequest, RelayReport, RegionSummary, MessagePiece, ForwardFlow, ForwardResume, PromptEvidence,
    ServerLimitsNotice, duties::UsageNotice>;

} // namespace snipeferry::gateway
