#include "commands.h"
#include "output.h"
#include "platformsession.h"
#include "snipeferry/configuration/manifest.h"
#include "snipeferry/http/httpclient.h"
#include "snipeferry/observability/requesttrace.h"

#include <absl/time/clock.h>

#include <algorithm>
#include <fstream>
#include <iostream>

namespace snipeferry::cli {

namespace {

using nlohmann::json;

constexpr absl::Duration READ_TIMEOUT = absl::Seconds(10);
constexpr std::size_t MAX_ANSWER_BYTES = std::size_t{16} << 20;
constexpr int STATUS_OK = 200;
constexpr int FIRST_ERROR_STATUS = 300;

/** Answer of an instance, or the exit code to end with. */
struct InstanceAnswer
{
    ExitCode code = Done;
    std::string message;
    json document;
};

InstanceAnswer ask(const Options &options, const std::string &method, const std::string &path)
{
    http::ClientRequest request;
    request.address = options.instance;
    request.method = method;
    request.path = path;
    request.readTimeout = READ_TIMEOUT;
    const http::ClientAnswer answer = http::fetch(request, MAX_ANSWER_BYTES);
    if (answer.result.outcome != http::ClientOutcome::Whole) {
        return {Unavailable, options.instance + ": " + answer.result.reason, {}};
    }
    if (answer.status < STATUS_OK || answer.status >= FIRST_ERROR_STATUS) {
        return {InstanceError, options.instance + ": status " + std::to_string(answer.status) + ": " + answer.body, {}};
    }
    json document = json::parse(answer.body, nullptr, false);
    if (document.is_discarded()) {
        document = {{"text", answer.body}};
    }
    return {Done, {}, std::move(document)};
}

ExitCode show(const Options &options, const InstanceAnswer &answer)
{
    if (answer.code != Done) {
        return fail(options, answer.code, answer.message);
    }
    if (options.isJson) {
        printJson(answer.document);
    } else {
        printText(answer.document);
    }
    return Done;
}

ExitCode showAccepted(const Options &options)
{
    PlatformSession session(options.platforms);
    const platform::Reply reply = session.call(platform::Call{1, platform::Read{platform::CONFIGURATION_KEY, false}});
    if (reply.outcome != platform::Outcome::Answered) {
        return fail(options, Unavailable, "the platform does not answer");
    }
    json document = {{"revision", 0}};
    if (!reply.values.empty()) {
        const core::Expected<configuration::Manifest> manifest = configuration::decodeManifest(reply.values.front().value);
        if (!manifest.has_value()) {
            return fail(options, manifest.error());
        }
        document = {{"revision", manifest->revision}, {"chunks", manifest->chunks.size()}, {"mod_revision", reply.values.front().modRevision}};
    }
    return show(options, {Done, {}, document});
}

bool isRequestId(const std::string &text)
{
    const auto isAllowed = [](unsigned char c) {
        return std::isalnum(c) != 0 || c == '-' || c == '_' || c == '.';
    };
    return !text.empty() && std::all_of(text.begin(), text.end(), isAllowed);
}

std::int64_t revisionOf(const json &document)
{
    return document.is_object() && document.contains("revision") && document["revision"].is_number_integer() ? document["revision"].get<std::int64_t>() : 0;
}

} // namespace

ExitCode showStatus(const Options &options)
{
    return options.instance.empty() ? showAccepted(options) : show(options, ask(options, "GET", "/status"));
}

ExitCode watchInstance(const Options &options, const WatchOptions &watch)
{
    const absl::Time end = absl::Now() + watch.timeout;
    InstanceAnswer last{Unavailable, "not asked", {}};
    while (absl::Now() < end) {
        const InstanceAnswer answer = ask(options, "GET", "/status");
        const bool hasChanged = answer.code != last.code || answer.document != last.document;
        last = answer;
        if (hasChanged && answer.code == Done) {
            // One line a change, so that it can be followed and piped.
            std::cout << answer.document.dump() << std::endl;
        } else if (hasChanged) {
            std::cerr << answer.message << std::endl;
        }
        if (watch.revision > 0 && revisionOf(answer.document) >= watch.revision) {
            return Done;
        }
        absl::SleepFor(watch.interval);
    }
    return watch.revision > 0 ? fail(options, Unavailable, "the instance did not reach the revision in time") : last.code;
}

ExitCode drainInstance(const Options &options)
{
    return show(options, ask(options, "POST", "/drain"));
}

ExitCode explainRequest(const Options &options, const std::string &request)
{
    if (!isRequestId(request)) {
        return fail(options, WrongUsage, "a request's id has letters, digits, '-', '_' and '.' only");
    }
    return show(options, ask(options, "GET", "/explain?request=" + request));
}

ExitCode explainFromLogs(const Options &options, const std::string &request, const std::vector<std::string> &files)
{
    if (!isRequestId(request)) {
        return fail(options, WrongUsage, "a request's id has letters, digits, '-', '_' and '.' only");
    }
    observability::RequestTrace trace(request);
    for (const std::string &file : files) {
        if (file == "-") {
            trace.read(std::cin, "standard input");
            continue;
        }
        std::ifstream log(file);
        if (!log) {
            return fail(options, InvalidFile, file + ": cannot be read");
        }
        trace.read(log, file);
    }
    const std::vector<observability::TraceLine> lines = trace.lines();
    if (lines.empty()) {
        return fail(options, InstanceError, "no line names the request " + request);
    }
    json list = json::array();
    for (const observability::TraceLine &line : lines) {
        list.push_back({{"time_ms", line.timeMs}, {"after_ms", line.timeMs - lines.front().timeMs}, {"source", line.source}, {"line", line.text}});
    }
    if (options.isJson) {
        printJson({{"request", request}, {"lines", list}});
        return Done;
    }
    for (const observability::TraceLine &line : lines) {
        std::cout << "+" << line.timeMs - lines.front().timeMs << " ms  [" << line.source << "]  " << line.text << "\n";
    }
    return Done;
}

} // namespace snipeferry::cli
