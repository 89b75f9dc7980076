#pragma once

#include "snipeferry/messages/event.h"

#include <functional>

namespace snipeferry::messages {

/** Function that passes an event to the decision logic; it can be called from any thread. */
using EventSink = std::function<void(Event)>;

} // namespace snipeferry::messages
