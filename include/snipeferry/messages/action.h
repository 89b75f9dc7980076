#pragma once

#include "snipeferry/core/error.h"
#include "snipeferry/core/logevent.h"
#include "snipeferry/messages/peermessage.h"
#include "snipeferry/platform/messages.h"

#include <string>
#include <utility>
#include <variant>
#include <vector>

/**
 * Actions that the decision logic returns to be executed by the calling code.
 *
 * The decision logic itself uses no sockets, threads or system clocks.
 */
namespace snipeferry::messages {

/** Sends a message to another instance. The message is dropped if no link to it is up. */
struct SendToPeer
{
    core::InstanceId to;
    PeerMessage message;
};

/** Sets the instances to which links are kept open. Replaces the previous list; an empty list closes all links. */
struct KeepLinks
{
    std::vector<membership::InstanceDescription> peers;
};

/** Sends a request to a backend server. */
struct Dispatch
{
    core::RequestId request;
    /** Number of the attempt for this request, starting from 1. */
    int attempt = 1;
    core::BackendServerId backendServer;
    /** IPv4 address and port as "a.b.c.d:port". */
    std::string address;
    std::string method;
    std::string path;
    std::vector<node::Header> headers;
    std::string body;
    bool isStream = false;
    /** Longest time to wait for the first byte of the answer. */
    absl::Duration firstByteTimeout = absl::Seconds(30);
};

/** Cancels an attempt. Its connection is closed and not reused. */
struct CancelDispatch
{
    core::RequestId request;
    int attempt = 1;
};

/** Sends status and headers of the answer to a caller. */
struct AnswerHead
{
    core::RequestId request;
    int status = 200;
    std::vector<node::Header> headers;
};

/** Sends the next chunk of the answer to a caller. */
struct AnswerChunk
{
    core::RequestId request;
    std::string data;
};

/** Ends the answer to a caller. */
struct AnswerEnd
{
    core::RequestId request;
};

/** Ends a request with an error: as an error answer, or as an error event in the stream if the head was sent already. */
struct AnswerError
{
    core::RequestId request;
    core::Error error;
};

/** Writes a log line. */
struct Log
{
    core::LogEvent event;
};

/** Increments a counter on the metrics page. */
struct Count
{
    /** Name of the metric without prefix; it must not change between versions. */
    std::string name;
    /** Value of the metric's only label; empty if the metric has none. */
    std::string label;
    double amount = 1;
};

using Action = std::variant<SendToPeer, KeepLinks, platform::Call, Dispatch, CancelDispatch, AnswerHead, AnswerChunk, AnswerEnd, AnswerError, Log, Count>;

/** Collects the actions of all components of one instance in the order in which they are to be executed. */
class Outbox
{
public:
    void push(Action action)
    {
        m_actions.push_back(std::move(action));
    }

    /** @brief Returns the collected actions and clears the outbox. */
    std::vector<Action> take()
    {
        return std::exchange(m_actions, {});
    }

    /** @brief Returns a new identifier for a platform call, unique within this instance. */
    platform::CallId nextCallId()
    {
        return ++m_lastCallId;
    }

private:
    std::vector<Action> m_actions;
    platform::CallId m_lastCallId = 0;
};

} // namespace snipeferry::messages
