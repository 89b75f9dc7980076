#include "directorycodec.h"
#include "dutyformat.h"
#include "headercodec.h"
#include "recordcodec.h"
#include "snipeferry/net/gatewayprocess.h"
#include "storeformat.h"

#include <CLI/CLI.hpp>

#include <csignal>
#include <iostream>

using namespace snipeferry;

namespace {

constexpr int EXIT_BAD_SETTINGS = 2;
constexpr int EXIT_START_FAILED = 3;

int serve(const std::string &settingsFile, bool isOnlyChecked)
{
    core::Expected<net::GatewayProcessSettings> settings = net::loadGatewaySettings(settingsFile);
    if (!settings) {
        std::cerr << settings.error().message << '\n';
        return EXIT_BAD_SETTINGS;
    }
    if (isOnlyChecked) {
        std::cout << settingsFile << ": no fault\n";
        return 0;
    }
    std::signal(SIGPIPE, SIG_IGN);
    const fleetplatform::HeaderCodec headers;
    const fleetplatform::RecordCodec records;
    const fleetplatform::StoreFormat store;
    const fleetplatform::DirectoryCodec directory;
    const fleetplatform::DutyFormat duties;
    net::GatewayProcess process(std::move(*settings), settingsFile, net::Adapter{headers, records, store, directory, duties});
    const core::Expected<void> result = process.run();
    if (!result) {
        std::cerr << result.error().message << '\n';
        return EXIT_START_FAILED;
    }
    return 0;
}

} // namespace

int main(int argc, char **argv)
{
    CLI::App app("snipeferry-gateway: serves the routes of a deployment that the platform's store holds");
    std::string settingsFile = "/etc/snipeferry/gateway.yaml";
    bool isOnlyChecked = false;
    app.add_option("--settings", settingsFile, "YAML settings file")->envname("SNIPEFERRY_CONFIG");
    app.add_flag("--check", isOnlyChecked, "Check the settings file and exit");
    try {
        app.parse(argc, argv);
    } catch (const CLI::ParseError &error) {
        // The library's own codes tell kinds of wrong options apart; for the caller all of them are wrong settings.
        return app.exit(error) == 0 ? 0 : EXIT_BAD_SETTINGS;
    }
    return serve(settingsFile, isOnlyChecked);
}
