#pragma once

#include "snipeferry/core/error.h"
#include "snipeferry/core/logevent.h"
#include "snipeferry/gateway/fleetmessages.h"

#include <string>

/**
 * What the decision parts need from the transport. Calls never call back before they return.
 */
namespace snipeferry::gateway {

/** Numbers the requests and runs of one process. */
using Number = std::uint64_t;

/** Where a request's answer goes. After answer(), finish(), breakOff() or refuse() it takes nothing more. */
class AnswerSink
{
public:
    virtual ~AnswerSink() = default;

    /** @brief Gives a whole answer of a backend server. */
    virtual void answer(const HttpHead &head, std::string body) = 0;

    /** @brief Begins an answer whose length is not known. */
    virtual void begin(const HttpHead &head) = 0;
    virtual void data(std::string data) = 0;
    virtual void finish() = 0;

    /** @brief Ends a begun answer so that it cannot look complete. */
    virtual void breakOff() = 0;

    /** @brief Gives an answer of the gateway itself. */
    virtual void refuse(const core::Error &error) = 0;
};

/** Sends requests to backend servers. */
class RunTransport
{
public:
    virtual ~RunTransport() = default;

    /**
     * @brief Sends a request to a backend server; its events come to RunEvents under the same number.
     * @param mayReuseConnection false for requests that must not meet a connection which the server just closed
     */
    virtual void start(Number run, const BackendServer &server, const HttpRequest &request, const core::RequestId &id, bool mayReuseConnection) = 0;

    /** @brief Closes the run's connection; no further events come. */
    virtual void cancel(Number run) = 0;
};

/** Takes the events of runs. */
class RunEvents
{
public:
    virtual ~RunEvents() = default;
    virtual void runHead(Number run, const HttpHead &head) = 0;
    virtual void runData(Number run, const std::string &data) = 0;
    virtual void runEnd(Number run) = 0;

    /** @param mayHaveRun false only if certainly no byte of the request has left */
    virtual void runFailed(Number run, bool mayHaveRun, const std::string &reason) = 0;
};

/** Sends messages to other instances; a message is lost when no link is up. */
class FleetLinks
{
public:
    virtual ~FleetLinks() = default;
    virtual bool send(const core::InstanceId &to, const FleetMessage &message) = 0;
};

/** Takes log lines and counts. */
class Journal
{
public:
    virtual ~Journal() = default;

    /** @brief Writes a line about a decision; lines beyond the bound of their kind are only counted. */
    virtual void log(const core::LogEvent &event) = 0;

    /** @brief Adds to a counter. */
    virtual void count(const std::string &name, const std::string &label, double amount) = 0;

    /** @brief Adds a time to a histogram. */
    virtual void observe(const std::string &name, const std::string &label, absl::Duration time) = 0;
};

} // namespace snipeferry::gateway
