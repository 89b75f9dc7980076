#pragma once

#include "snipeferry/core/value.h"
#include "snipeferry/gateway/answerprogress.h"

#include <string>
#include <vector>

/** What instances tell each other about prompt parts and the crashes of backend servers. */
namespace snipeferry::gateway {

/** A prompt part in the requests of one service. */
struct PartKey
{
    core::ServiceId service;
    std::string part;

    SNIPEFERRY_VALUE(PartKey, service, part)

    friend bool operator<(const PartKey &left, const PartKey &right)
    {
        return left.tied() < right.tied();
    }

    template<typename Hash>
    friend Hash AbslHashValue(Hash state, const PartKey &key) // NOLINT(readability-identifier-naming): name fixed by Abseil
    {
        return Hash::combine(std::move(state), key.service, key.part);
    }
};

/** A prompt part that was in work at a backend server when it crashed. */
struct PartInWork
{
    std::string part;
    /** The furthest progress of all runs with the part. */
    AnswerProgress progress = AnswerProgress::NotBegun;

    SNIPEFERRY_VALUE(PartInWork, part, progress)
};

/** A confirmed crash of a backend server, as far as the sender knows it. */
struct CrashReport
{
    core::BackendServerId server;
    /** Start of the process that crashed, in Unix milliseconds; 0 if unknown. */
    std::int64_t startedAtMs = 0;
    core::ServiceId service;
    /** Time since the crash. */
    absl::Duration ago;
    std::vector<PartInWork> parts;

    SNIPEFERRY_VALUE(CrashReport, server, startedAtMs, service, ago, parts)
};

/** A run with the part has ended well. */
struct PartClearance
{
    PartKey key;
    absl::Duration ago;

    SNIPEFERRY_VALUE(PartClearance, key, ago)
};

/** A part whose requests are refused. */
struct QuarantinedPart
{
    PartKey key;
    /** Crashes that are held against it. */
    int crashes = 0;
    /** Time since the last of them. */
    absl::Duration lastCrashAgo;
    /** Other parts that are held to have caused the same crashes, as the sender knows of no run with any of them that ended well. */
    std::vector<std::string> equallyBlamed;

    SNIPEFERRY_EXTENDED_VALUE(QuarantinedPart, equallyBlamed, key, crashes, lastCrashAgo)
};

/** A quarantined part as the store holds it. */
struct QuarantineRecord
{
    PartKey key;
    int crashes = 0;
    /** A run with the part has ended well since. */
    bool isReleased = false;

    SNIPEFERRY_VALUE(QuarantineRecord, key, crashes, isReleased)
};

/** News about prompt parts, or all that an instance knows, for a new link. */
struct PromptEvidence
{
    std::vector<CrashReport> crashes;
    std::vector<PartClearance> clearances;
    std::vector<QuarantinedPart> quarantined;

    bool isEmpty() const
    {
        return crashes.empty() && clearances.empty() && quarantined.empty();
    }

    SNIPEFERRY_VALUE(PromptEvidence, crashes, clearances, quarantined)
};

} // namespace snipeferry::gateway
