#include "commands.h"
#include "snipeferry/settings/yamlreader.h"

#include <CLI/CLI.hpp>

#include <functional>

/**
 * The operators' tool: plans and confirms changes, and asks instances.
 */
namespace {

using namespace snipeferry::cli;

constexpr const char *EXIT_CODES = "Exit codes: 0 done, 2 wrong usage, 3 wrong file, 4 refused, 5 unavailable (nothing changed),\n"
                                   "            6 unclear (confirm the same plan again), 7 the instance answered an error.";

std::string checkAddress(const std::string &text)
{
    return snipeferry::settings::isAddress(text) ? "" : text + " is no address such as 127.0.0.1:2379";
}

/** The command line and what it chose. */
struct CommandLine
{
    CommandLine()
        : app("Plans, confirms and shows what a snipeferry fleet does")
    {
        app.footer(EXIT_CODES);
        app.require_subcommand(1);
        app.fallthrough();
        app.add_option("--platform", options.platforms, "Address of the platform; may be given several times")
            ->envname("SNIPEFERRY_PLATFORM")
            ->allow_extra_args(false)
            ->check(checkAddress);
        app.add_option("--instance", options.instance, "Operations address of an instance")->envname("SNIPEFERRY_INSTANCE")->check(checkAddress);
        app.add_flag("--json", options.isJson, "Print JSON");
        addConfigurationCommands();
        addInstanceCommands();
    }

    void addConfigurationCommands()
    {
        CLI::App *check = app.add_subcommand("check", "Check an intent; with --platform also against the accepted configuration");
        check->add_option("FILE", file, "Intent in YAML")->required();
        check->callback([this] {
            run = [this] {
                return checkFile(options, file);
            };
        });

        CLI::App *plan = app.add_subcommand("plan", "Show what an intent would change and save it as a plan");
        plan->add_option("INTENT", file, "Intent in YAML")->required();
        plan->add_option("--output", planFile, "File of the plan")->capture_default_str();
        plan->callback([this] {
            needsPlatform = true;
            run = [this] {
                return planIntent(options, file, planFile);
            };
        });

        CLI::App *confirm = app.add_subcommand("confirm", "Put a plan in force, unless its base has moved");
        confirm->add_option("PLAN", file, "Plan saved by `plan`")->required();
        confirm->callback([this] {
            needsPlatform = true;
            run = [this] {
                return confirmPlan(options, file);
            };
        });
    }

    void addInstanceCommands()
    {
        CLI::App *status = app.add_subcommand("status", "Show an instance; without --instance the revision at the platform");
        status->callback([this] {
            needsPlatform = options.instance.empty();
            run = [this] {
                return showStatus(options);
            };
        });

        CLI::App *watch = app.add_subcommand("watch", "Print an instance's state as JSON, one line a change");
        watch->add_option("--interval", intervalSeconds, "Seconds between looks")->check(CLI::PositiveNumber)->capture_default_str();
        watch->add_option("--revision", watchOptions.revision, "End when the instance has this revision");
        watch->add_option("--timeout", timeoutSeconds, "End after this many seconds")->check(CLI::PositiveNumber);
        watch->callback([this] {
            needsInstance = true;
            watchOptions.interval = absl::Seconds(intervalSeconds);
            watchOptions.timeout = timeoutSeconds > 0 ? absl::Seconds(timeoutSeconds) : absl::InfiniteDuration();
            run = [this] {
                return watchInstance(options, watchOptions);
            };
        });

        CLI::App *drain = app.add_subcommand("drain", "Ask an instance to finish its requests and leave");
        drain->callback([this] {
            needsInstance = true;
            run = [this] {
                return drainInstance(options);
            };
        });

        CLI::App *explain = app.add_subcommand("explain", "Show an instance's decisions about a request, or what logs say of its way through instances");
        explain->add_option("REQUEST", file, "Id of the request, from the answer's header or a log line")->required();
        explain->add_option("--log", logFiles, "Log of an instance instead of the instance itself; - is standard input; may be given several times");
        explain->callback([this] {
            needsInstance = logFiles.empty();
            run = [this] {
                return logFiles.empty() ? explainRequest(options, file) : explainFromLogs(options, file, logFiles);
            };
        });
    }

    CLI::App app;
    Options options;
    WatchOptions watchOptions;
    std::string file;
    std::vector<std::string> logFiles;
    std::string planFile = "plan.json";
    double intervalSeconds = 1;
    double timeoutSeconds = 0;
    bool needsPlatform = false;
    bool needsInstance = false;
    std::function<ExitCode()> run;
};

} // namespace

int main(int argc, char **argv)
{
    CommandLine line;
    try {
        line.app.parse(argc, argv);
    } catch (const CLI::ParseError &error) {
        return line.app.exit(error) == 0 ? Done : WrongUsage;
    }
    if (line.needsPlatform && line.options.platforms.empty()) {
        std::cerr << "--platform or SNIPEFERRY_PLATFORM is needed\n";
        return WrongUsage;
    }
    if (line.needsInstance && line.options.instance.empty()) {
        std::cerr << "--instance or SNIPEFERRY_INSTANCE is needed\n";
        return WrongUsage;
    }
    return line.run();
}
