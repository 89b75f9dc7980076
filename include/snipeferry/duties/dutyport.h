#pragma once

#include "snipeferry/core/ids.h"
#include "snipeferry/duties/usage.h"

#include <absl/time/time.h>

#include <cstdint>
#include <optional>
#include <string>
#include <tuple>
#include <vector>

namespace snipeferry::duties {

/** The record in the store that says which process has the duties. */
struct HolderRecord
{
    std::string instance;
    /** Random number of the holder's process. */
    std::uint64_t process = 0;
    /** Random number of the acquisition, by which a holder recognizes its own writes. */
    std::uint64_t acquisition = 0;
    /** Era of the store in which the record was written. Another era than the current one means that later writes may be lost. */
    std::int64_t era = 0;
    /** No new report is composed for this window and earlier ones. */
    WindowNumber lastWindow = 0;
    /** The report in progress: it may have arrived, so only exactly these counts may be sent for its window. */
    std::optional<WindowUsage> pending;

    friend bool operator==(const HolderRecord &left, const HolderRecord &right)
    {
        return std::tie(left.instance, left.process, left.acquisition, left.era, left.lastWindow, left.pending)
            == std::tie(right.instance, right.process, right.acquisition, right.era, right.lastWindow, right.pending);
    }
};

/** What the store answered for the holder's record. */
struct HolderReading
{
    std::int64_t era = 0;
    /** The store's own counter of the record's last write; 0 if there is no record. */
    std::int64_t counter = 0;
    std::optional<HolderRecord> record;
};

/** Outcome of a write of the holder's record. */
struct SwapAnswer
{
    enum class Outcome {
        Written,
        /** The record has another counter than expected; the reading is of that one. */
        Conflict,
        /** No answer: the write may be carried out, also later. */
        Unknown,
    };
    Outcome outcome = Outcome::Unknown;
    /** For Written only era and counter are set. */
    HolderReading stored;
};

/** Sums of one region for one window, as the store has them. */
struct RegionUsage
{
    core::RegionId region;
    WindowUsage usage;
    /** Key of the record in the store. */
    std::string key;
};

/** Outcome of a call to the interface. */
enum class CallOutcome {
    Accepted,
    /** Answered with another status. */
    Refused,
    /** No answer: the call may have arrived. */
    Unanswered,
};

/** Calls of DutyHolder. Each is answered once by the event of the same name, never before the call returns; at most one of a kind is under way. */
class DutyPort
{
public:
    virtual ~DutyPort() = default;

    /** @brief Reads the holder's record; the answer may be some seconds old. Answered by DutyHolder::holderRead(). */
    virtual void readHolder() = 0;

    /** @brief Reads the sums of all regions; the answer may be some seconds old. Answered by DutyHolder::usageRead(). */
    virtual void readUsage() = 0;

    /**
     * @brief Writes the holder's record if it still has a counter, and removes records with it. Answered by DutyHolder::swapped().
     * @param expectedCounter 0: only if there is no record
     */
    virtual void swapHolder(std::int64_t expectedCounter, const HolderRecord &record, const std::vector<std::string> &removedKeys) = 0;

    /**
     * @brief Sends a usage report. Answered by DutyHolder::reported().
     * @param token fencing token
     * @param timeLimit time after which no byte may be sent any more
     */
    virtual void report(std::int64_t token, const WindowUsage &usage, absl::Duration timeLimit) = 0;
};

/** What DutyHolder has to know of the fleet. */
class DutyFleet
{
public:
    virtual ~DutyFleet() = default;

    /** @brief Number of live instances that look after the holder's record before this one. */
    virtual std::size_t watchRank() const = 0;
    /** @brief Regions with at least one live instance. */
    virtual std::vector<core::RegionId> liveRegions() const = 0;
    virtual bool isDraining() const = 0;
};

} // namespace snipeferry::duties
