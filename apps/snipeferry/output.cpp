#include "output.h"

#include <iostream>

namespace snipeferry::cli {

namespace {

constexpr int INDENT = 2;

std::string scalarText(const nlohmann::json &value)
{
    return value.is_string() ? value.get<std::string>() : value.dump();
}

void printLines(const nlohmann::json &value, int indent)
{
    const std::string space(static_cast<std::size_t>(indent), ' ');
    for (const auto &[key, entry] : value.items()) {
        const std::string label = value.is_array() ? "-" : key + ":";
        if (entry.is_structured()) {
            std::cout << space << label << '\n';
            printLines(entry, indent + INDENT);
        } else {
            std::cout << space << label << ' ' << scalarText(entry) << '\n';
        }
    }
}

ExitCode codeOf(core::ErrorKind kind)
{
    switch (kind) {
    case core::ErrorKind::ConfigurationInvalid:
        return InvalidFile;
    case core::ErrorKind::ConfigurationConflict:
        return Refused;
    default:
        return Unavailable;
    }
}

} // namespace

void printJson(const nlohmann::json &document)
{
    std::cout << document.dump(INDENT) << '\n';
}

ExitCode fail(const Options &options, ExitCode code, const std::string &message)
{
    if (options.isJson) {
        printJson({{"outcome", "failed"}, {"exit_code", static_cast<int>(code)}, {"message", message}});
    } else {
        std::cerr << message << '\n';
    }
    return code;
}

ExitCode fail(const Options &options, const core::Error &error)
{
    return fail(options, codeOf(error.kind), error.message);
}

void printText(const nlohmann::json &document)
{
    printLines(document, 0);
}

} // namespace snipeferry::cli
