#pragma once

#include "snipeferry/gateway/ports.h"

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace snipeferry::tests {

/** A request that was sent to a backend server. */
struct SentRun
{
    gateway::Number run = 0;
    core::BackendServerId server;
    gateway::HttpRequest request;
    bool mayReuseConnection = false;
    absl::Time sendBy = absl::InfiniteFuture();
};

class FakeRuns : public gateway::RunTransport
{
public:
    void start(gateway::Number run, const gateway::BackendServer &server, const gateway::HttpRequest &request, const core::RequestId & /*id*/,
        bool mayReuseConnection, absl::Time sendBy) override
    {
        sent.push_back({run, server.id, request, mayReuseConnection, sendBy});
    }

    void cancel(gateway::Number run) override
    {
        cancelled.push_back(run);
    }

    void setPaused(gateway::Number run, bool isPaused) override
    {
        paused[run] = isPaused;
    }

    void checkPath(gateway::Number run, const gateway::BackendServer &server) override
    {
        checks.emplace_back(run, server.id);
    }

    void askState(gateway::Number run, const gateway::BackendServer &server, const gateway::HttpRequest & /*request*/) override
    {
        questions.emplace_back(run, server.id);
    }

    std::vector<SentRun> sent;
    /** Checks of paths, by the number under which their outcome is expected. */
    std::vector<std::pair<gateway::Number, core::BackendServerId>> checks;
    /** Questions for the state of backend servers, by the number under which the answer is expected. */
    std::vector<std::pair<gateway::Number, core::BackendServerId>> questions;
    std::vector<gateway::Number> cancelled;
    /** Whether the reading of a run was last stopped or continued. */
    std::map<gateway::Number, bool> paused;
};

class FakeLinks : public gateway::FleetLinks
{
public:
    bool send(const core::InstanceId &to, const gateway::FleetMessage &message) override
    {
        sent.emplace_back(to, message);
        return isUp;
    }

    void sendToAll(const std::vector<core::InstanceId> &to, const gateway::FleetMessage &message) override
    {
        for (const core::InstanceId &instance : to) {
            send(instance, message);
        }
    }

    /** All sent messages of one type, in order. */
    template<typename Message>
    std::vector<Message> all() const
    {
        std::vector<Message> found;
        for (const std::pair<core::InstanceId, gateway::FleetMessage> &entry : sent) {
            if (std::holds_alternative<Message>(entry.second)) {
                found.push_back(std::get<Message>(entry.second));
            }
        }
        return found;
    }

    bool isUp = true;
    std::vector<std::pair<core::InstanceId, gateway::FleetMessage>> sent;
};

class FakeJournal : public gateway::Journal
{
public:
    void log(const core::LogEvent &event) override
    {
        lines.push_back(core::formatLogLine(event));
    }

    void count(const std::string &name, const std::string & /*label*/, double amount) override
    {
        counts[name] += amount;
    }

    void observe(const std::string &name, const std::string & /*label*/, absl::Duration time) override
    {
        times[name].push_back(time);
    }

    std::vector<std::string> lines;
    std::map<std::string, double> counts;
    std::map<std::string, std::vector<absl::Duration>> times;
};

/** What one caller received. */
struct Answer
{
    int status = 0;
    std::string body;
    bool isComplete = false;
    bool isBrokenOff = false;
    /** Number of calls that end an answer; more than one is a fault. */
    int finalCount = 0;
    std::optional<core::Error> error;
    /** Bytes that the caller has not taken, as the test sets it. */
    std::size_t unsentBytes = 0;
    /** Whether the caller has closed its connection, which the gateway has not been told. */
    bool isCallerGone = false;
};

class FakeSink : public gateway::AnswerSink
{
public:
    explicit FakeSink(std::shared_ptr<Answer> answer)
        : m_answer(std::move(answer))
    {
    }

    void answer(const gateway::HttpHead &head, std::string body) override
    {
        m_answer->status = head.status;
        m_answer->body = std::move(body);
        m_answer->isComplete = true;
        ++m_answer->finalCount;
    }

    void begin(const gateway::HttpHead &head) override
    {
        m_answer->status = head.status;
    }

    void data(std::string data) override
    {
        m_answer->body += data;
    }

    void finish() override
    {
        m_answer->isComplete = true;
        ++m_answer->finalCount;
    }

    void breakOff() override
    {
        m_answer->isBrokenOff = true;
        ++m_answer->finalCount;
    }

    void refuse(const core::Error &error) override
    {
        m_answer->error = error;
        m_answer->status = core::errorAnswer(error.kind).httpStatus;
        ++m_answer->finalCount;
    }

    std::size_t unsentBytes() const override
    {
        return m_answer->unsentBytes;
    }

    bool isCallerGone() const override
    {
        return m_answer->isCallerGone;
    }

private:
    std::shared_ptr<Answer> m_answer;
};

} // namespace snipeferry::tests
