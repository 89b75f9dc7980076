#pragma once

#include "snipeferry/configuration/configuration.h"
#include "snipeferry/core/timerservice.h"
#include "snipeferry/membership/messages.h"
#include "snipeferry/messages/action.h"
#include "snipeferry/messages/event.h"

#include <memory>
#include <vector>

/**
 * Token use by minute. Capacity is billed by the busiest minute of a month.
 */
namespace snipeferry::peak {

/** The properties of a request that the ledger's advice depends on. */
struct PeakQuery
{
    core::Tokens expectedTokens = 0;
    std::vector<core::RegionId> allowedRegions;
    /** How much longer the request may be held back. */
    absl::Duration holdLeft;
};

/**
 * @brief Returns how long a request may be held, as a share of the hold limit of the request's service: at least 0 and less than 1.
 *
 * The share is a hash of the request's identifier, which spreads the requests evenly. Otherwise all requests of one burst would reach the end of
 * the hold limit in the same minute and be served in that minute.
 */
double holdShare(const core::RequestId &request);

/** How a request should be handled to avoid raising the peak minute. */
struct PeakAdvice
{
    enum class Verdict {
        /** The request fits under the peak of this region, or it can neither be moved nor held. */
        ServeNow,
        /** Another allowed region has capacity left under its own peak. */
        Move,
        /** The request can wait; the caller asks for advice again after the wait. */
        Hold,
    };

    Verdict verdict = Verdict::ServeNow;
    /** For Move: the regions with capacity left, the region with the most capacity left first. */
    std::vector<core::RegionId> regions;
    /** For Hold: when to ask for advice again. */
    absl::Time until;
    /** For ServeNow: serving the request raises the peak of this region. */
    bool raisesPeak = false;
};

/**
 * Ledger of the tokens used in each minute and region, shared by all instances. Merging takes the maximum of each value, so
 * repeated and outdated messages have no effect.
 *
 * The ledger assumes that each region's capacity is billed by the busiest minute of that region in a calendar month in UTC.
 */
class PeakLedger
{
public:
    PeakLedger(membership::InstanceDescription self, core::TimerService &timers, messages::Outbox &outbox);
    ~PeakLedger();

    void configure(const configuration::Configuration &configuration);

    /** @brief Sets the other instances that this one exchanges messages with. */
    void setMembers(const std::vector<membership::InstanceDescription> &members);

    /** @brief Adds tokens that a backend server of this data centre used in the current minute. */
    void record(core::Tokens tokens);

    /** @brief Adds tokens that running requests of this instance are expected to use and that record() has not counted. */
    void reserve(core::Tokens tokens);

    /** @brief Subtracts tokens that reserve() added; called when these tokens are recorded or their request ends. */
    void release(core::Tokens tokens);

    PeakAdvice advise(const PeakQuery &query) const;

    /** @brief Records that a request was sent to another region, so that its tokens count there until the reports of that region include them. */
    void noteMoved(const core::RegionId &region, core::Tokens tokens);

    /** @brief Returns the expected tokens of a region in the current minute (minutesAhead = 0) or in a later minute. */
    core::Tokens forecast(const core::RegionId &region, int minutesAhead) const;

    /** @brief Returns the tokens of the current minute in a region, as known to this instance. */
    core::Tokens minuteUse(const core::RegionId &region) const;

    /** @brief Returns the tokens of the busiest minute of the current month in a region, as known to this instance. */
    core::Tokens monthPeak(const core::RegionId &region) const;

    void handle(const messages::PeerReceived &event);
    void handle(const messages::PlatformReplied &event);

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace snipeferry::peak
