#pragma once

#include "snipeferry/http/backendclient.h"
#include "snipeferry/http/callerserver.h"
#include "snipeferry/http/httpclient.h"
#include "support/fakeengine.h"
#include "support/loopthread.h"

#include <atomic>
#include <memory>
#include <mutex>
#include <string>

namespace snipeferry::tests {

/** What the scripted core saw. */
struct CoreRecord
{
    std::atomic<int> arrived = 0;
    std::atomic<int> callersLeft = 0;
    std::atomic<int> failuresNotRun = 0;
    std::atomic<int> failuresMaybeRun = 0;
};

/** A decision core that answers by path; see gatewayfixture.cpp for the paths. */
class ScriptedCore : public supervision::DecisionCore
{
public:
    ScriptedCore(std::shared_ptr<CoreRecord> record, std::string backendAddress);

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
    std::vector<messages::Action> answer(const node::CallerRequest &request) const;

    const std::shared_ptr<CoreRecord> m_record;
    const std::string m_backendAddress;
    std::shared_ptr<configuration::Configuration> m_configuration;
};

/** A caller server and a backend client around a scripted core, and one fake engine. */
class GatewayFixture : public supervision::ActionSinks
{
public:
    explicit GatewayFixture(http::CallerServerSettings settings = http::CallerServerSettings(), const std::string &backendAddress = "");
    ~GatewayFixture() override;
    GatewayFixture(const GatewayFixture &) = delete;
    GatewayFixture &operator=(const GatewayFixture &) = delete;

    const std::string &address() const;
    /** @brief Reads a page of the fake engine, or posts to it; returns the body. */
    std::string enginePage(const std::string &path, const std::string &posted = "") const;

    const CoreRecord &record() const;
    /** @brief Requests whose answers are not complete. */
    std::size_t openRequests() const;
    std::size_t openAttempts() const;
    bool isReady() const;
    bool hasFailed() const;

    /** @brief Calls the gateway. */
    http::ClientAnswer call(const std::string &method, const std::string &path, const std::string &body = "", std::vector<node::Header> headers = {}) const;

    void carryOut(const messages::SendToPeer &action) override;
    void carryOut(const messages::KeepLinks &action) override;
    void carryOut(const platform::Call &action) override;
    void carryOut(const messages::Dispatch &action) override;
    void carryOut(const messages::CancelDispatch &action) override;
    void carryOut(const messages::AnswerHead &action) override;
    void carryOut(const messages::AnswerChunk &action) override;
    void carryOut(const messages::AnswerEnd &action) override;
    void carryOut(const messages::AnswerError &action) override;
    void carryOut(const messages::Log &action) override;
    void carryOut(const messages::Count &action) override;

private:
    std::shared_ptr<CoreRecord> m_record = std::make_shared<CoreRecord>();
    standins::FakeEngine m_engine;
    standins::ThreadedServer m_engineServer;
    std::string m_engineAddress;
    mutable testing::LoopThread m_thread;
    // What follows lives on the thread.
    std::unique_ptr<http::CallerRegistry> m_registry;
    std::unique_ptr<supervision::CoreLoop> m_loop;
    std::unique_ptr<http::BackendClient> m_backends;
    std::unique_ptr<http::CallerServer> m_server;
    std::string m_address;
};

/** @brief Waits until a condition holds; false when it does not within some seconds. */
bool eventually(const std::function<bool()> &condition);

/** @brief Body of a chat request with one message. */
std::string chatBody(const std::string &content, bool isStream);

} // namespace snipeferry::tests
