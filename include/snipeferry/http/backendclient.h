#pragma once

#include "snipeferry/messages/action.h"
#include "snipeferry/messages/eventsink.h"
#include "snipeferry/net/eventloop.h"

#include <absl/time/time.h>

#include <memory>

/**
 * Requests to backend servers.
 */
namespace snipeferry::http {

struct BackendClientSettings
{
    /** Attempts in progress at once, each with a connection. */
    std::size_t maxAttempts = 512;
    absl::Duration connectTimeout = absl::Seconds(2);
    /** Longest silence within an answer that has begun. */
    absl::Duration silenceTimeout = absl::Seconds(60);
};

/**
 * Carries out Dispatch and CancelDispatch and posts BackendHead, BackendChunk, BackendEnd and BackendFailure.
 *
 * Each attempt has a connection of its own: nothing of an earlier answer can appear in a later one, and a request that
 * failed on an old connection is never in doubt for that reason.
 */
class BackendClient
{
public:
    BackendClient(net::EventLoop &loop, BackendClientSettings settings, messages::EventSink sink);
    ~BackendClient();

    void dispatch(const messages::Dispatch &dispatch);

    /** @brief Closes the attempt's connection; nothing more of the attempt is posted. */
    void cancel(const messages::CancelDispatch &cancel);

    /** @brief Cancels everything. */
    void stop();

    std::size_t openAttempts() const;

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace snipeferry::http
