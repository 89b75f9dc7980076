#include "snipeferry/settings/yamlreader.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>
#include <arpa/inet.h>
#include <yaml-cpp/yaml.h>

#include <algorithm>
#include <fstream>
#include <sstream>

namespace snipeferry::settings {

namespace {

constexpr int MAX_PORT = 65535;

} // namespace

std::string YamlProblem::text() const
{
    return absl::StrCat(file, ":", line, ": ", key, ": found ", found, ", allowed: ", allowed);
}

core::Expected<void> YamlProblems::result() const
{
    if (entries.empty()) {
        return {};
    }
    std::vector<std::string> lines;
    for (const YamlProblem &problem : entries) {
        lines.push_back(problem.text());
    }
    return tl::make_unexpected(core::makeError(core::ErrorKind::ConfigurationInvalid, absl::StrJoin(lines, "\n")));
}

YamlDocument::YamlDocument(std::shared_ptr<YamlProblems> problems, YamlMap root)
    : m_problems(std::move(problems)),
      m_root(std::move(root))
{
}

core::Expected<YamlDocument> YamlDocument::load(const std::string &file)
{
    std::ifstream stream(file);
    std::ostringstream text;
    if (!stream || !(text << stream.rdbuf())) {
        return tl::make_unexpected(core::makeError(core::ErrorKind::ConfigurationInvalid, file + ": cannot be read"));
    }
    return parse(file, text.str());
}

core::Expected<YamlDocument> YamlDocument::parse(const std::string &file, const std::string &text)
{
    const std::shared_ptr<YamlProblems> problems = std::make_shared<YamlProblems>();
    problems->file = file;
    try {
        const YAML::Node node = YAML::Load(text);
        if (!node.IsMap()) {
            problems->entries.push_back({file, 1, "top", node.IsSequence() ? "a list" : "no mapping", "a mapping"});
            return tl::make_unexpected(problems->result().error());
        }
        return YamlDocument(problems, YamlMap(node, "", problems));
    } catch (const YAML::Exception &exception) {
        problems->entries.push_back({file, exception.mark.line + 1, "top", exception.msg, "YAML"});
    }
    return tl::make_unexpected(problems->result().error());
}

YamlMap &YamlDocument::root()
{
    return m_root;
}

core::Expected<void> YamlDocument::result()
{
    m_root.finish();
    return m_problems->result();
}

bool isAddress(const std::string &text)
{
    const std::size_t colon = text.find(':');
    if (colon == std::string::npos) {
        return false;
    }
    in_addr ipAddress = {};
    int port = -1;
    const std::string portText = text.substr(colon + 1);
    const bool isPortNumber = !portText.empty() && std::all_of(portText.begin(), portText.end(), [](char c) { return c >= '0' && c <= '9'; });
    return inet_pton(AF_INET, text.substr(0, colon).c_str(), &ipAddress) == 1 && isPortNumber && absl::SimpleAtoi(portText, &port) && port <= MAX_PORT;
}

} // namespace snipeferry::settings
