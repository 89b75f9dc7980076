#include "platformsession.h"

namespace snipeferry::cli {

namespace {

platform::PlatformSettings settingsFor(const std::vector<std::string> &endpoints)
{
    platform::PlatformSettings settings;
    settings.endpoints = endpoints;
    settings.workers = 1;
    settings.watchedPrefixes.clear();
    settings.watchesDirectory = false;
    return settings;
}

} // namespace

PlatformSession::PlatformSession(const std::vector<std::string> &endpoints)
    : m_client(m_loop, settingsFor(endpoints), [this](const messages::Event &event) { take(event); })
{
}

platform::Reply PlatformSession::call(const platform::Call &call)
{
    m_client.call(call);
    // The loop stops with the reply.
    while (!m_reply.has_value() || m_reply->id != call.id) {
        m_loop.resume();
        m_loop.run();
    }
    platform::Reply reply = std::move(*m_reply);
    m_reply.reset();
    return reply;
}

void PlatformSession::take(const messages::Event &event)
{
    if (const messages::PlatformReplied *replied = std::get_if<messages::PlatformReplied>(&event)) {
        m_reply = replied->reply;
        m_loop.stop();
    }
}

} // namespace snipeferry::cli
