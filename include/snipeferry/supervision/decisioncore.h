#pragma once

#include "snipeferry/node/node.h"

#include <memory>
#include <string>
#include <vector>

namespace snipeferry::supervision {

/** What the core loop drives: the decisions of one instance; the node, or a fake in tests. */
class DecisionCore
{
public:
    virtual ~DecisionCore() = default;

    virtual std::vector<messages::Action> handle(const messages::Event &event) = 0;
    virtual std::vector<messages::Action> takeActions() = 0;
    virtual bool isReady() const = 0;
    virtual bool isDrained() const = 0;
    virtual node::NodeStatus status() const = 0;
    virtual core::Expected<std::vector<node::RankedEntry>> entries(const std::string &keyDigest) const = 0;
    virtual core::Expected<std::vector<std::string>> models(const std::string &keyDigest) const = 0;
    virtual core::Expected<std::string> issueOperationNumber(const std::string &keyDigest) = 0;
    virtual std::shared_ptr<const configuration::Configuration> configuration() const = 0;
};

/** The node as a decision core. */
class NodeCore : public DecisionCore
{
public:
    NodeCore(node::NodeSettings settings, core::TimerService &timers);

    std::vector<messages::Action> handle(const messages::Event &event) override;
    std::vector<messages::Action> takeActions() override;
    bool isReady() const override;
    bool isDrained() const override;
    node::NodeStatus status() const override;
    core::Expected<std::vector<node::RankedEntry>> entries(const std::string &keyDigest) const override;
    core::Expected<std::vector<std::string>> models(const std::string &keyDigest) const override;
    core::Expected<std::string> issueOperationNumber(const std::string &keyDigest) override;
    std::shared_ptr<const configuration::Configuration> configuration() const override;

private:
    node::Node m_node;
};

} // namespace snipeferry::supervision
