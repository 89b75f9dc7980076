#pragma once

#include "snipeferry/net/eventloop.h"

#include <absl/time/time.h>

#include <memory>
#include <string>

namespace snipeferry::standins {

/** What becomes of an answer on its way through a FaultProxy. */
enum class AnswerFault {
    /** Bytes that are no answer come in its place, and the connection ends. */
    Garbage,
    /** Its first part comes, and the connection is reset. */
    CutShort,
    /** An answer to somebody else's request follows it. */
    ForeignAnswerBehind,
};

/** Passes TCP connections on to one target, and harms them as it is told. */
class FaultProxy
{
public:
    FaultProxy(net::EventLoop &loop, const std::string &target, const std::string &listenAddress = "127.0.0.1:0");
    ~FaultProxy();
    FaultProxy(const FaultProxy &) = delete;
    FaultProxy &operator=(const FaultProxy &) = delete;

    /** @brief "a.b.c.d:port" to connect to. */
    const std::string &address() const;

    /** @brief Holds bytes back while set, towards the target or back from it; they come when it is over. */
    void hold(bool towardsTarget, bool fromTarget);

    /** @brief Keeps each piece of bytes for a time. */
    void setDelay(absl::Duration delay);

    /** @brief Resets connections that are opened from now on, or takes them again. */
    void refuse(bool isRefusing);

    /** @brief Resets all open connections. */
    void resetAll();

    /** @brief Open connections pass nothing any more and stay open; new ones work. */
    void silenceAll();

    /** @brief Harms the next answers. */
    void harmAnswers(AnswerFault fault, int count);

    class Impl;

private:
    std::shared_ptr<Impl> m_impl;
    std::string m_address;
};

} // namespace snipeferry::standins
