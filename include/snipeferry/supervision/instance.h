#pragma once

#include "snipeferry/core/error.h"
#include "snipeferry/core/logevent.h"
#include "snipeferry/settings/daemonsettings.h"

#include <memory>
#include <string>

namespace snipeferry::supervision {

/** Where an instance listens, with the ports that the kernel chose. */
struct InstanceAddresses
{
    std::string callers;
    std::string peers;
    std::string operations;
    std::string metrics;
};

/** One whole instance: the decision parts, all adapters, and their supervisor. */
class Instance
{
public:
    Instance(net::EventLoop &loop, settings::DaemonSettings settings);
    ~Instance();
    Instance(const Instance &) = delete;
    Instance &operator=(const Instance &) = delete;

    core::Expected<void> start();

    /** @brief Leaves discovery and refuses new requests; open requests go on. */
    void drain();

    /** @brief A drain was asked for, by drain() or on the operations port. */
    bool isDraining() const;

    /** @brief Drained, and every answer is written. */
    bool isDrained() const;

    /** @brief The decision parts failed; the process should end. */
    bool hasFailed() const;

    /** @brief Ends requests that are still open with an error; their answers are sent by the event loop. */
    void endRequests();

    /** @brief Whether an answer is not sent completely. */
    bool hasUnsentAnswers() const;

    /** @brief Stops all parts. */
    void stop();

    /** @brief Reads the peer links' key files again. */
    void reloadPeerKeys();

    const InstanceAddresses &addresses() const;

    /** @brief Writes a line about the process. */
    void log(const core::LogEvent &event);

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace snipeferry::supervision
