#include "commands.h"
#include "output.h"
#include "platformsession.h"
#include "snipeferry/configuration/confirmprocedure.h"
#include "snipeferry/configuration/intent.h"

#include <absl/strings/escaping.h>
#include <openssl/rand.h>

#include <fstream>
#include <iostream>
#include <sstream>

namespace snipeferry::cli {

namespace {

constexpr std::size_t NONCE_BYTES = 16;
/** Higher than the call numbers of the procedures that share the session. */
constexpr platform::CallId PEAK_CALL = platform::CallId{1} << 32;

core::Expected<std::string> readFile(const std::string &file)
{
    std::ifstream stream(file);
    std::ostringstream text;
    if (!stream || !(text << stream.rdbuf())) {
        return tl::make_unexpected(core::makeError(core::ErrorKind::ConfigurationInvalid, file + ": cannot be read"));
    }
    return text.str();
}

core::Expected<std::string> makeNonce()
{
    unsigned char bytes[NONCE_BYTES];
    if (RAND_bytes(bytes, sizeof(bytes)) != 1) {
        return tl::make_unexpected(core::makeError(core::ErrorKind::Internal, "no random numbers"));
    }
    return absl::BytesToHexString(absl::string_view(reinterpret_cast<const char *>(bytes), sizeof(bytes)));
}

core::Expected<configuration::PlanBase> readBase(PlatformSession &session)
{
    configuration::ReadBaseProcedure procedure;
    session.run(procedure);
    return *procedure.result();
}

// What is paid for already; a plan is made without it when it cannot be read.
void addPaidPeaks(PlatformSession &session, configuration::Plan &plan)
{
    const platform::Reply reply = session.call(platform::Call{PEAK_CALL, platform::Read{platform::PEAK_PREFIX, true}});
    for (std::string &note : configuration::describePaidPeaks(reply.values)) {
        plan.peakNotes.push_back(std::move(note));
    }
}

core::Expected<configuration::Plan> makePlanFor(const Options &options, const std::string &file)
{
    core::Expected<settings::YamlDocument> document = settings::YamlDocument::load(file);
    if (!document.has_value()) {
        return tl::make_unexpected(document.error());
    }
    PlatformSession session(options.platforms);
    const core::Expected<configuration::PlanBase> base = readBase(session);
    if (!base.has_value()) {
        // The faults that the intent has by itself need no platform.
        const core::Expected<void> checked = configuration::checkIntent(*document);
        return tl::make_unexpected(checked.has_value() ? base.error() : checked.error());
    }
    core::Expected<configuration::Configuration> target = configuration::applyIntent(*document, base->configuration);
    if (!target.has_value()) {
        return tl::make_unexpected(target.error());
    }
    core::Expected<std::string> nonce = makeNonce();
    if (!nonce.has_value()) {
        return tl::make_unexpected(nonce.error());
    }
    core::Expected<configuration::Plan> plan = configuration::makePlan(*base, std::move(*target), std::move(*nonce));
    if (plan.has_value()) {
        addPaidPeaks(session, *plan);
    }
    return plan;
}

void printPlan(const Options &options, const configuration::Plan &plan, const std::string &planFile)
{
    if (options.isJson) {
        printJson({{"outcome", "planned"}, {"plan", planFile}, {"base_revision", plan.baseRevision}, {"revision", plan.target.revision},
            {"changes", plan.changes}, {"peak", plan.peakNotes}});
        return;
    }
    std::cout << "Based on revision " << plan.baseRevision << "; becomes revision " << plan.target.revision << ".\n";
    for (const std::string &change : plan.changes) {
        std::cout << "  " << change << '\n';
    }
    for (const std::string &note : plan.peakNotes) {
        std::cout << "Peak: " << note << '\n';
    }
    std::cout << "Saved as " << planFile << "; `snipeferry confirm " << planFile << "` puts it in force.\n";
}

ExitCode codeOf(configuration::ConfirmResult::Outcome outcome)
{
    switch (outcome) {
    case configuration::ConfirmResult::Outcome::Accepted:
        return Done;
    case configuration::ConfirmResult::Outcome::Refused:
        return Refused;
    case configuration::ConfirmResult::Outcome::Unavailable:
        return Unavailable;
    case configuration::ConfirmResult::Outcome::Unclear:
        break;
    }
    return Unclear;
}

} // namespace

ExitCode checkFile(const Options &options, const std::string &file)
{
    if (!options.platforms.empty()) {
        const core::Expected<configuration::Plan> plan = makePlanFor(options, file);
        if (!plan.has_value()) {
            return fail(options, plan.error());
        }
    } else {
        core::Expected<settings::YamlDocument> document = settings::YamlDocument::load(file);
        const core::Expected<void> checked = document.has_value() ? configuration::checkIntent(*document) : tl::make_unexpected(document.error());
        if (!checked.has_value()) {
            return fail(options, checked.error());
        }
    }
    if (options.isJson) {
        printJson({{"outcome", "valid"}, {"file", file}});
    } else {
        std::cout << file << ": valid\n";
    }
    return Done;
}

ExitCode planIntent(const Options &options, const std::string &file, const std::string &planFile)
{
    const core::Expected<configuration::Plan> plan = makePlanFor(options, file);
    if (!plan.has_value()) {
        return fail(options, plan.error());
    }
    std::ofstream stream(planFile);
    stream << configuration::encodePlan(*plan) << std::flush;
    if (!stream) {
        return fail(options, InvalidFile, planFile + ": cannot be written");
    }
    printPlan(options, *plan, planFile);
    return Done;
}

ExitCode confirmPlan(const Options &options, const std::string &planFile)
{
    const core::Expected<std::string> text = readFile(planFile);
    if (!text.has_value()) {
        return fail(options, text.error());
    }
    core::Expected<configuration::Plan> plan = configuration::decodePlan(*text);
    if (!plan.has_value()) {
        return fail(options, plan.error());
    }
    PlatformSession session(options.platforms);
    configuration::ConfirmProcedure procedure(std::move(*plan));
    session.run(procedure);

    const configuration::ConfirmResult &result = *procedure.result();
    const ExitCode code = codeOf(result.outcome);
    const std::string name = configuration::confirmOutcomeName(result.outcome);
    if (options.isJson) {
        printJson({{"outcome", name}, {"exit_code", static_cast<int>(code)}, {"revision", result.revision}, {"message", result.message}});
    } else {
        (code == Done ? std::cout : std::cerr) << name << ": revision " << result.revision << ": " << result.message << '\n';
    }
    return code;
}

} // namespace snipeferry::cli
