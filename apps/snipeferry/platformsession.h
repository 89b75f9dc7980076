#pragma once

#include "snipeferry/net/eventloop.h"
#include "snipeferry/platform/platformclient.h"

#include <absl/time/clock.h>

#include <optional>
#include <string>
#include <vector>

namespace snipeferry::cli {

/** Blocking calls to the platform, for commands. */
class PlatformSession
{
public:
    explicit PlatformSession(const std::vector<std::string> &endpoints);

    /** @brief Carries out a call and waits for its reply. */
    platform::Reply call(const platform::Call &call);

    /** @brief Carries out all calls of a procedure, as ConfirmProcedure, in turn. */
    template<typename Procedure>
    void run(Procedure &procedure)
    {
        for (std::optional<platform::Call> next = procedure.nextCall(); next.has_value(); next = procedure.nextCall()) {
            absl::SleepFor(procedure.retryDelay());
            procedure.handle(call(*next));
        }
    }

private:
    void take(const messages::Event &event);

    net::EventLoop m_loop;
    std::optional<platform::Reply> m_reply;
    platform::PlatformClient m_client;
};

} // namespace snipeferry::cli
