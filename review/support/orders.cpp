#include "orders.h"

#include <absl/strings/str_cat.h>

#include <algorithm>

namespace snipeferry::review {

namespace {

/** A client that is refused comes again after this. */
constexpr absl::Duration REFUSED_WAIT = absl::Milliseconds(300);

} // namespace

Orders::Orders(Stage &stage, const Gateway &gateway, std::size_t channels)
    : m_stage(stage),
      m_gateway(gateway),
      m_connections(channels),
      m_last(channels)
{
}

void Orders::sendNext()
{
    for (std::size_t channel = 0; channel < m_connections.size(); ++channel) {
        const soak::RequestSeen *last = m_last[channel].empty() ? nullptr : m_stage.request(m_last[channel]);
        if (last != nullptr && (last->endedAt == absl::InfiniteFuture() || !last->isComplete)) {
            continue;
        }
        if (last != nullptr && last->status != 200 && m_stage.loop().timers().now() - last->endedAt < REFUSED_WAIT) {
            continue;
        }
        soak::RequestSeen order;
        order.attempt = absl::StrCat("order-", ++m_count);
        order.path = standins::UsersManifest::RESERVE + order.attempt;
        order.body = "reserve";
        order.key = "k-bar";
        order.timeLimit = absl::Seconds(4);
        m_isKept[order.attempt] = !m_connections[channel].empty();
        m_last[channel] = order.attempt;
        m_stage.send(m_gateway, order, m_connections[channel]);
    }
}

int Orders::cutCount() const
{
    int cut = 0;
    for (const soak::RequestSeen &request : m_stage.requests()) {
        const auto kept = m_isKept.find(request.attempt);
        const bool hasRun = std::any_of(
            m_stage.runs().begin(), m_stage.runs().end(), [&](const standins::RunSeen *run) { return soak::headerOf(*run, "Attempt-Id") == request.attempt; });
        const bool isCut = request.endedAt != absl::InfiniteFuture() && !request.isComplete && !request.isOutOfTime;
        cut += kept != m_isKept.end() && kept->second && hasRun && isCut ? 1 : 0;
    }
    return cut;
}

} // namespace snipeferry::review
