#include "snipeferry/settings/daemonsettings.h"
#include "snipeferry/supervision/daemon.h"

#include <CLI/CLI.hpp>

#include <iostream>

using namespace snipeferry;

namespace {

constexpr int EXIT_SETTINGS = 2;

} // namespace

int main(int argc, char **argv)
{
    CLI::App app("snipeferryd: one entry instance of the inference gateway");
    std::string file;
    bool checkOnly = false;
    app.add_option("--settings", file, "YAML file of settings, see docs/SETTINGS.md")->required();
    app.add_flag("--check", checkOnly, "read the settings, report problems, and exit");
    CLI11_PARSE(app, argc, argv);

    const core::Expected<settings::DaemonSettings> settings = settings::loadDaemonSettings(file);
    if (!settings.has_value()) {
        std::cerr << settings.error().message << "\n";
        return EXIT_SETTINGS;
    }
    if (checkOnly) {
        return EXIT_SUCCESS;
    }
    supervision::Daemon daemon(*settings);
    const core::Expected<int> code = daemon.run();
    if (!code.has_value()) {
        std::cerr << code.error().message << "\n";
        return EXIT_FAILURE;
    }
    return *code;
}
