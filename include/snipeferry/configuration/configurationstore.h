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
 * The configuration in force at one instance.
 */
namespace snipeferry::configuration {

/** Emitted when a newer configuration comes into force here. */
struct ConfigurationChanged
{
    std::shared_ptr<const Configuration> configuration;
};

/** What a caller's key is worth. */
struct KeyStatus
{
    /** Empty when the key is unknown or withdrawn. */
    core::CustomerId customer;
    /** It was valid under an earlier configuration that this instance saw. */
    bool wasWithdrawn = false;
};

/**
 * Takes the highest revision of platform and peers and never goes back.
 *
 * A new instance has no configuration until the platform and a peer have answered, or until a grace period after the
 * first of them has passed; then the highest revision heard comes into force. It is not ready before.
 */
class ConfigurationStore
{
public:
    ConfigurationStore(core::TimerService &timers, messages::Outbox &outbox);
    ~ConfigurationStore();

    /** @brief The configuration in force, or nullptr before the first. */
    std::shared_ptr<const Configuration> current() const;

    /** @brief Look-ups in the configuration in force, or nullptr before the first. */
    std::shared_ptr<const ConfigurationIndex> index() const;

    /** @brief Looks a key's digest up. */
    KeyStatus keyStatus(const std::string &keyDigest) const;

    core::Signal<ConfigurationChanged> &changed();

    /** @brief When the platform or another instance last said that no newer configuration is known. */
    absl::Time confirmedAt() const;

    /** @brief Asks the platform and all linked instances whether the configuration in force is still the newest. */
    void confirmAgain();

    void handle(const messages::PeerReceived &event);
    void handle(const messages::PeerLinkChanged &event);
    void handle(const messages::PlatformReplied &event);
    void handle(const messages::PlatformWatched &event);

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace snipeferry::configuration
