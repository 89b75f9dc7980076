#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>
#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <string>
#include <vector>

namespace {

/** A port on which nothing listens. */
constexpr const char *NOBODY = "127.0.0.1:1";

struct Result
{
    int exitCode = -1;
    /** Standard output and error. */
    std::string output;
};

/** A folder of its own for the files of one test. */
class Folder
{
public:
    Folder()
        : m_path(std::filesystem::temp_directory_path() / absl::StrCat("snipeferry-commandline-", getpid()))
    {
        std::filesystem::create_directories(m_path);
    }

    Folder(const Folder &) = delete;
    Folder &operator=(const Folder &) = delete;

    ~Folder()
    {
        std::filesystem::remove_all(m_path);
    }

    std::string write(const std::string &name, const std::string &text) const
    {
        std::ofstream(m_path / name) << text;
        return (m_path / name).string();
    }

    std::string path(const std::string &name) const
    {
        return (m_path / name).string();
    }

private:
    std::filesystem::path m_path;
};

Result runProgram(const std::string &program, const std::string &arguments)
{
    const std::string command = absl::StrCat(SNIPEFERRY_PROGRAM_DIR, "/", program, " ", arguments, " 2>&1 </dev/null");
    FILE *pipe = popen(command.c_str(), "r");
    REQUIRE(pipe != nullptr);
    Result result;
    std::array<char, 4096> buffer{};
    for (std::size_t count = fread(buffer.data(), 1, buffer.size(), pipe); count > 0; count = fread(buffer.data(), 1, buffer.size(), pipe)) {
        result.output.append(buffer.data(), count);
    }
    const int status = pclose(pipe);
    result.exitCode = WIFEXITED(status) ? WEXITSTATUS(status) : -1;
    return result;
}

constexpr const char *WRONG_INTENT = "regions:\n"
                                     "  north:\n"
                                     "    data_centers: {a: {}}\n"
                                     "links: 7\n"
                                     "services:\n"
                                     "  assistant: {type: cheese}\n";
const std::vector<std::string> INTENT_FAULTS = {
    ":3: regions.north.data_centers: found an unknown key, allowed: the keys data_centres",
    ":4: links: found \"7\", allowed: a list of mappings",
    ":6: services.assistant.type: found \"cheese\", allowed: one of model_engine, plain_service",
};

} // namespace

TEST_CASE("each verb that reads a file tells every fault of a wrong one, as text and as JSON")
{
    const Folder folder;
    const std::string intent = folder.write("wrong.yaml", WRONG_INTENT);
    const std::string verb = GENERATE("check", "plan");
    const std::string arguments = absl::StrCat(verb, " --platform ", NOBODY, " ", intent);
    CAPTURE(verb);

    const Result text = runProgram("snipeferry", arguments);
    CAPTURE(text.output);
    CHECK(text.exitCode == 3);
    for (const std::string &fault : INTENT_FAULTS) {
        CHECK(absl::StrContains(text.output, intent + fault));
    }

    const Result json = runProgram("snipeferry", "--json " + arguments);
    CAPTURE(json.output);
    CHECK(json.exitCode == 3);
    const nlohmann::json document = nlohmann::json::parse(json.output);
    CHECK(document.at("exit_code") == 3);
    for (const std::string &fault : INTENT_FAULTS) {
        CHECK(absl::StrContains(document.at("message").get<std::string>(), fault));
    }
}

TEST_CASE("a plan that cannot be read is a wrong file")
{
    const Folder folder;
    const std::string plan = folder.write("plan.json", "{\"base\": ");
    CHECK(runProgram("snipeferry", absl::StrCat("confirm --platform ", NOBODY, " ", plan)).exitCode == 3);
    CHECK(runProgram("snipeferry", absl::StrCat("confirm --platform ", NOBODY, " ", folder.path("missing.json"))).exitCode == 3);
    CHECK(runProgram("snipeferry", absl::StrCat("explain r-1 --log ", folder.path("missing.log"))).exitCode == 3);
}

TEST_CASE("each verb tells what it lacks")
{
    for (const std::string arguments : {"check", "plan", "confirm", "explain", "watch", "drain", "status", "unknown", ""}) {
        const Result result = runProgram("snipeferry", arguments);
        CAPTURE(arguments, result.output);
        CHECK(result.exitCode == 2);
        CHECK_FALSE(result.output.empty());
    }
}

TEST_CASE("each verb has help")
{
    for (const std::string verb : {"check", "plan", "confirm", "explain", "watch", "drain", "status"}) {
        const Result result = runProgram("snipeferry", verb + " --help");
        CAPTURE(verb, result.output);
        CHECK(result.exitCode == 0);
        CHECK(absl::StrContains(result.output, "Usage"));
    }
}

TEST_CASE("verbs that ask an instance tell when it cannot be reached")
{
    for (const std::string verb : {"status", "drain"}) {
        const Result result = runProgram("snipeferry", absl::StrCat("--json --instance ", NOBODY, " ", verb));
        CAPTURE(verb, result.output);
        CHECK(result.exitCode == 5);
        CHECK(nlohmann::json::parse(result.output).at("exit_code") == 5);
    }
}

TEST_CASE("each daemon tells every fault of a wrong settings file, and does not start")
{
    const Folder folder;
    const std::string settings = folder.write("settings.yaml", "instance: 7\nlisten: {callers: x}\n");
    const std::string program = GENERATE("snipeferryd", "snipeferry-gateway");
    for (const std::string check : {"", " --check"}) {
        const Result result = runProgram(program, absl::StrCat("--settings ", settings, check));
        CAPTURE(program, result.output);
        CHECK(result.exitCode == 2);
        CHECK(absl::StrContains(result.output, settings + ":2: listen.callers: found \"x\", allowed: an IP number and port such as 127.0.0.1:8080"));
        CHECK(absl::StrContains(result.output, ": listen.peers: found nothing, allowed: an IP number and port"));
    }
    CHECK(runProgram(program, "--settings " + folder.path("missing.yaml")).exitCode == 2);
}

TEST_CASE("the gateway's exit codes are those that its page names")
{
    const Folder folder;
    const auto settingsWith = [&folder](const std::string &callers) {
        return folder.write("gateway.yaml",
            absl::StrCat("instance: a\ndata_centre: d\nregion: r\ndata_centres: {d: r}\nlisten: {callers: \"", callers,
                "\", directory: \"127.0.0.1:0\", readiness: \"127.0.0.1:0\", peers: \"127.0.0.1:0\"}\nstore: {address: \"", NOBODY, "\"}\n"));
    };
    CHECK(runProgram("snipeferry-gateway", "--help").exitCode == 0);
    CHECK(runProgram("snipeferry-gateway", absl::StrCat("--check --settings ", settingsWith("127.0.0.1:0"))).exitCode == 0);
    CHECK(runProgram("snipeferry-gateway", "--no-such-option").exitCode == 2);
    CHECK(runProgram("snipeferry-gateway", absl::StrCat("--settings ", folder.path("missing.yaml"))).exitCode == 2);
    // An address of a documentation network, which no machine has.
    CHECK(runProgram("snipeferry-gateway", absl::StrCat("--settings ", settingsWith("192.0.2.1:80"))).exitCode == 3);
}
