#pragma once

#include "snipeferry/core/error.h"
#include "snipeferry/core/logevent.h"
#include "snipeferry/gateway/fleetmessages.h"

#include <absl/time/time.h>

#include <string>
#include <vector>

/** Interfaces between the decision logic and the transport. Implementations must not call back into the decision logic before a call returns. */
namespace snipeferry::gateway {

/** Number of a request or a run, unique in one process. */
using Number = std::uint64_t;

/** Receives the answer to a caller's request. No call follows answer(), finish(), breakOff() or refuse(). */
class AnswerSink
{
public:
    virtual ~AnswerSink() = default;

    /** @brief Sends a complete answer of a backend server. */
    virtual void answer(const HttpHead &head, std::string body) = 0;

    /** @brief Begins an answer of unknown length; data() and finish() follow. */
    virtual void begin(const HttpHead &head) = 0;
    virtual void data(std::string data) = 0;
    virtual void finish() = 0;

    /** @brief Aborts an answer after begin(), so that the caller can tell that it is incomplete. */
    virtual void breakOff() = 0;

    /** @brief Sends an error answer of the gateway itself. */
    virtual void refuse(const core::Error &error) = 0;

    /** @brief Bytes of the answer that the caller has not yet taken. */
    virtual std::size_t unsentBytes() const = 0;

    /** @brief Whether the caller has closed its connection, also if that has not been reported yet. */
    virtual bool isCallerGone() const = 0;
};

/** Sends requests to backend servers. */
class RunTransport
{
public:
    virtual ~RunTransport() = default;

    /**
     * @brief Sends a request to a backend server. The events of the run go to RunEvents under the same number.
     * @param mayReuseConnection false if the request may not be repeated: a reused connection may just have been closed by the server, and then it is
     * unknown whether the request was executed
     * @param sendBy time after which the request is not sent any more; the run then fails with REASON_SENT_TOO_LATE and was not executed
     */
    virtual void start(
        Number run, const BackendServer &server, const HttpRequest &request, const core::RequestId &id, bool mayReuseConnection, absl::Time sendBy)
        = 0;

    /** @brief Closes the run's connection. No events of the run follow. */
    virtual void cancel(Number run) = 0;

    /** @brief Stops or continues the reading of a run's answer. The backend server has to wait meanwhile. */
    virtual void setPaused(Number run, bool isPaused) = 0;

    /**
     * @brief Opens a new connection to a backend server and closes it without a request.
     *
     * RunEvents are told under the given number: runEnd() if it was established, runFailed() if not.
     */
    virtual void checkPath(Number run, const BackendServer &server) = 0;

    /**
     * @brief Asks a backend server for its state, on a new connection. The events go to RunEvents under the given number.
     * @param request the question; it is no caller's request
     */
    virtual void askState(Number run, const BackendServer &server, const HttpRequest &request) = 0;
};

/** Reasons of runFailed() that tell what happened to the backend server's process. */
constexpr const char *REASON_CONNECT_REFUSED = "connect_refused";
/** The connection ended before the head of the answer, or within its body. */
constexpr const char *REASON_NO_ANSWER = "no_answer";
constexpr const char *REASON_ANSWER_BROKEN_OFF = "answer_broken_off";
/** The status of the answer is none of HTTP, so nothing that the answer says is used. */
constexpr const char *REASON_BAD_STATUS = "answer_status_invalid";
/** Bytes that are no whole part of an answer were more than a bound: in the head, in the head of a chunk or a trailer, or on all connections together. */
constexpr const char *REASON_HEAD_TOO_LARGE = "head_too_large";
constexpr const char *REASON_CHUNK_HEAD_TOO_LARGE = "chunk_head_too_large";
constexpr const char *REASON_READ_MEMORY_FULL = "read_memory_full";
/** The connection has gone silent, which says nothing about the backend server. */
constexpr const char *REASON_CONNECTION_SILENT = "connection_silent";
/** The connection was established when it was too late to send the request. */
constexpr const char *REASON_SENT_TOO_LATE = "sent_too_late";
constexpr const char *REASON_CONNECT_TIMEOUT = "connect_timeout";
constexpr const char *REASON_CONNECT_FAILED = "connect_failed";
/** The backend server has got the request and turned it away. */
constexpr const char *REASON_REFUSED_BY_SERVER = "refused_by_server";
/** The same of a backend server that fails if it has to turn many away. */
constexpr const char *REASON_BRITTLE_SERVER_FULL = "brittle_server_full";
constexpr const char *REASON_WRONG_SERVER = "wrong_server";
/** A run was given up because its backend server sent nothing for too long. */
constexpr const char *REASON_SILENT = "silent";
/** An instance does not run a request because it is cut off from the service. */
constexpr const char *REASON_CUT_OFF = "cut_off";

/** @brief Whether a run failed for this reason before a byte of it was sent to a backend server. */
inline bool isUnreached(const std::string &reason)
{
    return reason == REASON_CONNECT_REFUSED || reason == REASON_CONNECT_TIMEOUT || reason == REASON_CONNECT_FAILED || reason == REASON_CUT_OFF
        || reason == REASON_SENT_TOO_LATE;
}

/** @brief Whether a status is one that an HTTP answer may have. */
inline bool isAnswerStatus(int status)
{
    return status >= 100 && status <= 599;
}

/** @brief Why a backend server did not run a request, by its answer. */
inline const char *refusalReason(const RunReport &report)
{
    if (report.isWrongServer) {
        return REASON_WRONG_SERVER;
    }
    const bool hasOtherReason = report.isLeaving || report.pauseSeconds.has_value() || report.requestLimit.has_value();
    return report.brittleRate.has_value() && !hasOtherReason ? REASON_BRITTLE_SERVER_FULL : REASON_REFUSED_BY_SERVER;
}

/** How an answer has ended. */
enum class AnswerEnd {
    /** Its length was known, or its last chunk has arrived. */
    Framed,
    /** The backend server closed the connection, which is the end of an answer without a length. Whether the answer is whole is unknown. */
    ConnectionClosed,
};

/** Receives the events of runs. */
class RunEvents
{
public:
    virtual ~RunEvents() = default;
    virtual void runHead(Number run, const HttpHead &head) = 0;
    virtual void runData(Number run, const std::string &data) = 0;
    virtual void runEnd(Number run, AnswerEnd end) = 0;

    /** @param mayHaveRun false only if certainly no byte of the request was sent */
    virtual void runFailed(Number run, bool mayHaveRun, const std::string &reason) = 0;
};

/** Sends messages to other instances. A message is lost if no link to the receiver is up. */
class FleetLinks
{
public:
    virtual ~FleetLinks() = default;
    /** @return false if the message was not sent, because no link to the receiver is up or its send queue is full */
    virtual bool send(const core::InstanceId &to, const FleetMessage &message) = 0;

    /** @brief Sends the same message to several instances; it is encoded once. */
    virtual void sendToAll(const std::vector<core::InstanceId> &to, const FleetMessage &message) = 0;
};

/** Receives log lines and metrics. */
class Journal
{
public:
    virtual ~Journal() = default;

    /** @brief Writes a log line. Lines that exceed the rate limit of their event name are only counted. */
    virtual void log(const core::LogEvent &event) = 0;

    /** @brief Adds an amount to a counter. */
    virtual void count(const std::string &name, const std::string &label, double amount) = 0;

    /** @brief Adds a duration to a histogram. */
    virtual void observe(const std::string &name, const std::string &label, absl::Duration time) = 0;
};

} // namespace snipeferry::gateway
