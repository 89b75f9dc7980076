#pragma once

#include <functional>
#include <utility>
#include <vector>

namespace snipeferry::core {

/**
 * Publishes events of one type to its listeners, so that the publisher does not depend on them.
 * @tparam Event the type of the events
 */
template<typename Event>
class Signal
{
public:
    using Listener = std::function<void(const Event &)>;

    void subscribe(Listener listener)
    {
        m_listeners.push_back(std::move(listener));
    }

    /** @brief Calls every listener with the event, in the order of subscription. */
    void emit(const Event &event) const
    {
        for (const Listener &listener : m_listeners) {
            listener(event);
        }
    }

private:
    std::vector<Listener> m_listeners;
};

} // namespace snipeferry::core
