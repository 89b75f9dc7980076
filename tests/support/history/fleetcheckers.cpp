#include "support/history/fleetcheckers.h"

#include <absl/strings/match.h>

#include <algorithm>
#include <set>

namespace snipeferry::testing {

namespace {

using Callers = std::map<core::RequestId, CallerRecord>;

const configuration::Customer *findCustomerByKey(const configuration::Configuration &configuration, const std::string &keyDigest)
{
    for (const configuration::Customer &customer : configuration.customers) {
        if (std::find(customer.keyDigests.begin(), customer.keyDigests.end(), keyDigest) != customer.keyDigests.end()) {
            return &customer;
        }
    }
    return nullptr;
}

/** Returns the configurations that may have been in force on some instance at a time. */
std::vector<const configuration::Configuration *> configurationsInForce(const HistoryContext &context, absl::Time time)
{
    std::vector<const configuration::Configuration *> found;
    for (std::size_t i = 0; i < context.configurations.size(); ++i) {
        const bool isKnown = context.configurations[i].time <= time;
        const bool isLast = i + 1 == context.configurations.size();
        const bool isSuperseded = !isLast && context.configurations[i + 1].known.value_or(context.configurations[i + 1].time) + context.propagationTime < time;
        if (isKnown && !isSuperseded) {
            found.push_back(&context.configurations[i].configuration);
        }
    }
    return found;
}

bool isOpenRequest(const configuration::Configuration &configuration, const node::CallerRequest &request)
{
    const configuration::Service *service = configuration::findService(configuration, request.service);
    const configuration::Route *route = service == nullptr ? nullptr : configuration::findRoute(*service, request.path);
    return route != nullptr && route->isOpen;
}

bool mayRunAt(const configuration::Configuration &configuration, const node::CallerRequest &request, const core::DataCentreId &dataCentre)
{
    if (isOpenRequest(configuration, request)) {
        return true;
    }
    const configuration::Customer *customer = findCustomerByKey(configuration, request.keyDigest);
    return customer != nullptr && configuration::isRegionAllowed(*customer, configuration::regionOf(configuration, dataCentre));
}

bool isKeyInForce(const HistoryContext &context, const node::CallerRequest &request, absl::Time time)
{
    for (const configuration::Configuration *configuration : configurationsInForce(context, time)) {
        if (findCustomerByKey(*configuration, request.keyDigest) != nullptr || isOpenRequest(*configuration, request)) {
            return true;
        }
    }
    return false;
}

/** Whether an answer belongs to another call of the same caller's key with the same idempotency key or operation number. */
bool isAnswerToRepeatedCall(const Callers &callers, const CallerRecord &caller, int tokens)
{
    const node::CallerRequest &request = caller.request;
    const std::string number = request.idempotencyKey + request.operationNumber;
    return !number.empty() && std::any_of(callers.begin(), callers.end(), [&](const Callers::value_type &entry) {
        const node::CallerRequest &other = entry.second.request;
        const bool isSameCall = other.keyDigest == request.keyDigest && other.idempotencyKey + other.operationNumber == number;
        return isSameCall && caller.body == Fleet::expectedBody(other, tokens);
    });
}

} // namespace

Violations checkResidency(const std::vector<BackendRecord> &records, const Callers &callers, const HistoryContext &context)
{
    Violations violations;
    for (const BackendRecord &record : records) {
        const node::CallerRequest &request = callers.at(record.dispatch.request).request;
        bool isAllowed = false;
        // An isolated data centre may use the configurations that were in force when its isolation began.
        std::vector<const configuration::Configuration *> candidates = configurationsInForce(context, record.decided);
        if (record.decided - record.isolation.until < context.propagationTime) {
            const std::vector<const configuration::Configuration *> known = configurationsInForce(context, record.isolation.from);
            candidates.insert(candidates.end(), known.begin(), known.end());
        }
        for (const configuration::Configuration *configuration : candidates) {
            isAllowed = isAllowed || mayRunAt(*configuration, request, record.dataCentre);
        }
        if (!isAllowed) {
            violations.push_back(request.id.value() + " ran in " + record.dataCentre.value() + ", outside its customer's regions");
        }
    }
    return violations;
}

Violations checkSingleForward(const std::vector<ForwardRecord> &forwards, const Callers &callers)
{
    Violations violations;
    for (const ForwardRecord &forward : forwards) {
        const core::InstanceId &entry = callers.at(forward.request).entry;
        if (forward.from != entry || forward.to == entry) {
            violations.push_back(forward.request.value() + " was forwarded from " + forward.from.value() + " to " + forward.to.value()
                + ", but the caller sent it to " + entry.value());
        }
    }
    return violations;
}

Violations checkAtMostOnce(const std::vector<BackendRecord> &records, const Callers &callers, const HistoryContext &context)
{
    Violations violations;
    std::map<std::string, core::RequestId> seen;
    for (const BackendRecord &record : records) {
        const node::CallerRequest &request = callers.at(record.dispatch.request).request;
        if (!context.isNonIdempotent(request)) {
            continue;
        }
        const std::string number = request.idempotencyKey.empty() ? request.operationNumber : request.idempotencyKey;
        const std::string call = number.empty() ? request.id.value() : request.keyDigest + "/" + number;
        const auto [it, isFirst] = seen.emplace(call, request.id);
        if (!isFirst) {
            violations.push_back("the call " + call + " ran twice: " + it->second.value() + ", " + request.id.value());
        }
    }
    return violations;
}

Violations checkNotRun(const std::vector<BackendRecord> &records, const Callers &callers)
{
    std::set<core::RequestId> ran;
    for (const BackendRecord &record : records) {
        ran.insert(record.dispatch.request);
    }
    Violations violations;
    for (const auto &entry : callers) {
        const CallerRecord &caller = entry.second;
        const bool wasRefusedAsNotRun = caller.error.has_value() && caller.error->ranState == core::RanState::NotRun;
        if (wasRefusedAsNotRun && ran.count(entry.first) > 0) {
            violations.push_back(entry.first.value() + " was refused as not run, but ran");
        }
    }
    return violations;
}

Violations checkOwnAnswers(const Callers &callers, const HistoryContext &context)
{
    Violations violations;
    for (const auto &entry : callers) {
        const CallerRecord &caller = entry.second;
        const std::string expected = Fleet::expectedBody(caller.request, context.tokens);
        if (caller.finals > 1) {
            violations.push_back(entry.first.value() + " got " + std::to_string(caller.finals) + " final answers");
        }
        const bool isOwn = caller.body == expected || isAnswerToRepeatedCall(callers, caller, context.tokens);
        if (caller.isWhole() && caller.status == 200 && !isOwn) {
            violations.push_back(entry.first.value() + " got a complete answer that is not its own");
        }
        if (!caller.isWhole() && !absl::StartsWith(expected, caller.body)) {
            violations.push_back(entry.first.value() + " got the beginning of another answer");
        }
    }
    return violations;
}

Violations checkAnswered(const Callers &callers, absl::Duration limit)
{
    Violations violations;
    for (const auto &entry : callers) {
        const CallerRecord &caller = entry.second;
        if (!caller.isAbandoned && (caller.finals == 0 || caller.finished - caller.sent - caller.entryPaused > limit)) {
            violations.push_back(entry.first.value() + " at " + caller.entry.value() + " had no final answer within " + absl::FormatDuration(limit));
        }
    }
    return violations;
}

Violations checkWithdrawn(const std::vector<BackendRecord> &records, const Callers &callers, const HistoryContext &context)
{
    Violations violations;
    for (const BackendRecord &record : records) {
        const node::CallerRequest &request = callers.at(record.dispatch.request).request;
        if (!isKeyInForce(context, request, record.time)) {
            violations.push_back(request.id.value() + " was sent to a backend server with a withdrawn key");
        }
    }
    for (const auto &entry : callers) {
        const CallerRecord &caller = entry.second;
        if (!caller.body.empty() && !isKeyInForce(context, caller.request, caller.lastByte)) {
            violations.push_back(entry.first.value() + " was answered under a withdrawn key");
        }
    }
    return violations;
}

Violations checkMonotone(const std::vector<ConfigurationRecord> &records)
{
    Violations violations;
    std::map<std::pair<core::InstanceId, core::Incarnation>, core::Revision> newest;
    for (const ConfigurationRecord &record : records) {
        core::Revision &last = newest[{record.instance, record.incarnation}];
        if (record.revision < last) {
            violations.push_back(record.instance.value() + " went back from revision " + std::to_string(last) + " to " + std::to_string(record.revision));
        }
        last = std::max(last, record.revision);
    }
    return violations;
}

Violations checkNoWorkAfter(const std::vector<BackendRecord> &records, const core::BackendServerId &server, absl::Time limit)
{
    Violations violations;
    for (const BackendRecord &record : records) {
        if (record.server == server && record.time > limit) {
            violations.push_back(record.dispatch.request.value() + " was sent to " + server.value() + " after it had left");
        }
    }
    return violations;
}

} // namespace snipeferry::testing
