#include "snipeferry/supervision/decisioncore.h"

namespace snipeferry::supervision {

NodeCore::NodeCore(node::NodeSettings settings, core::TimerService &timers)
    : m_node(std::move(settings), timers)
{
}

std::vector<messages::Action> NodeCore::handle(const messages::Event &event)
{
    return m_node.handle(event);
}

std::vector<messages::Action> NodeCore::takeActions()
{
    return m_node.takeActions();
}

bool NodeCore::isReady() const
{
    return m_node.isReady();
}

bool NodeCore::isDrained() const
{
    return m_node.isDrained();
}

node::NodeStatus NodeCore::status() const
{
    return m_node.status();
}

core::Expected<std::vector<node::RankedEntry>> NodeCore::entries(const std::string &keyDigest) const
{
    return m_node.entries(keyDigest);
}

core::Expected<std::vector<std::string>> NodeCore::models(const std::string &keyDigest) const
{
    return m_node.models(keyDigest);
}

core::Expected<std::string> NodeCore::issueOperationNumber(const std::string &keyDigest)
{
    return m_node.issueOperationNumber(keyDigest);
}

std::shared_ptr<const configuration::Configuration> NodeCore::configuration() const
{
    return m_node.configuration();
}

} // namespace snipeferry::supervision
