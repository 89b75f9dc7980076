#pragma once

#include "snipeferry/configuration/configuration.h"
#include "snipeferry/configuration/configurationindex.h"
#include "snipeferry/core/signal.h"
#include "snipeferry/core/timerservice.h"
#include "snipeferry/messages/action.h"
#include "snipeferry/messages/event.h"

#include <memory>
#include <string>

/**
 * The configuration that is in force on this instance.
 */
namespace snipeferry::configuration {

/** Emitted when a newer configuration comes into force on this instance. */
struct ConfigurationChanged
{
    std::shared_ptr<const Configuration> configuration;
};

/** Result of looking up a caller's key. */
struct KeyStatus
{
    /** Empty when the key is unknown or withdrawn. */
    core::CustomerId customer;
    /** The key was valid under an earlier configuration of this instance. */
    bool wasWithdrawn = false;
};

/**
 * Applies the highest revision that the platform or a peer sends, and never goes back to an older one.
 *
 * A new instance has no configuration at first. Once the platform and all linked peers have answered, or a grace period after the
 * first configuration has passed, the highest revision received comes into force. Until then the instance is not ready.
 */
class ConfigurationStore
{
public:
    ConfigurationStore(core::TimerService &timers, messages::Outbox &outbox);
    ~ConfigurationStore();

    /** @brief Returns the configuration in force, or nullptr if there is none yet. */
    std::shared_ptr<const Configuration> current() const;

    /** @brief Returns the index of the configuration in force, or nullptr if there is none yet. */
    std::shared_ptr<const ConfigurationIndex> index() const;

    /** @brief Looks up a key by its digest. */
    KeyStatus keyStatus(const std::string &keyDigest) const;

    core::Signal<ConfigurationChanged> &changed();

    /** @brief Returns when a reply of the platform or of another instance last confirmed the configuration in force as the newest. */
    absl::Time confirmedAt() const;

    /** @brief Asks the platform and all linked instances whether the configuration in force is still the newest. */
    void revalidate();

    void handle(const messages::PeerReceived &event);
    void handle(const messages::PeerLinkChanged &event);
    void handle(const messages::PlatformReplied &event);
    void handle(const messages::PlatformWatched &event);

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace snipeferry::configuration
