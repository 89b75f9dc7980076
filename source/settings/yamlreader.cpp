#include "snipeferry/settings/yamlreader.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>
#include <absl/strings/strip.h>
#include <absl/time/time.h>
#include <arpa/inet.h>
#include <yaml-cpp/yaml.h>

#include <algorithm>
#include <cmath>
#include <set>
#include <utility>

namespace snipeferry::settings {

namespace {

/** A problem quotes at most this many characters of a found value. */
constexpr std::size_t MAX_QUOTED_CHARACTERS = 80;

std::string describe(const YAML::Node &node)
{
    if (!node.IsDefined()) {
        return "nothing";
    }
    if (node.IsNull()) {
        return "an empty value";
    }
    if (node.IsMap()) {
        return "a mapping";
    }
    if (node.IsSequence()) {
        return "a list";
    }
    return "\"" + node.Scalar().substr(0, MAX_QUOTED_CHARACTERS) + "\"";
}

/** Reads a duration; besides what absl reads, one number with an exponent and a unit, such as 2.5e3ms. */
bool parseDuration(const std::string &text, absl::Duration &duration)
{
    if (absl::ParseDuration(text, &duration)) {
        return true;
    }
    const std::pair<absl::string_view, absl::Duration> units[] = {{"ms", absl::Milliseconds(1)}, {"s", absl::Seconds(1)}, {"m", absl::Minutes(1)}};
    for (const std::pair<absl::string_view, absl::Duration> &unit : units) {
        absl::string_view number = text;
        double amount = 0;
        if (absl::ConsumeSuffix(&number, unit.first)) {
            const bool isNumber = absl::SimpleAtod(number, &amount) && std::isfinite(amount);
            duration = amount * unit.second;
            return isNumber;
        }
    }
    return false;
}

} // namespace

class YamlMap::Impl
{
public:
    YAML::Node node;
    std::string path;
    std::shared_ptr<YamlProblems> problems;
    /** Keys that were read; finish() reports all others. */
    std::set<std::string> read;
    /** Line of the parent mapping, reported when this mapping is absent from the file. */
    int parentLine = 1;

    std::string pathOf(const std::string &key) const
    {
        return path.empty() ? key : path + "." + key;
    }

    YAML::Node child(const std::string &key)
    {
        read.insert(key);
        // operator[] of a non-const YAML::Node would add the key.
        const YAML::Node &constNode = node;
        return node.IsMap() ? constNode[key] : YAML::Node(YAML::NodeType::Undefined);
    }

    /** Records a problem at the line of a node, or at the line of this mapping if the node is not in the file. */
    void add(const YAML::Node &at, const std::string &key, const std::string &found, const std::string &allowed)
    {
        const int line = lineOf(at);
        problems->entries.push_back({problems->file, line > 0 ? line : mappingLine(), key, found, allowed});
    }

    int mappingLine() const
    {
        const int line = lineOf(node);
        return line > 0 ? line : parentLine;
    }

private:
    /** Returns the line of a node, starting at 1; 0 for a node that is not in the file. */
    static int lineOf(const YAML::Node &at)
    {
        return at.IsDefined() && !at.Mark().is_null() ? at.Mark().line + 1 : 0;
    }
};

YamlMap::YamlMap(const YAML::Node &node, std::string path, std::shared_ptr<YamlProblems> problems)
    : m_impl(std::make_shared<Impl>())
{
    m_impl->node = node;
    m_impl->path = std::move(path);
    m_impl->problems = std::move(problems);

    // yaml-cpp accepts a repeated key and keeps one of the values without an error.
    std::set<std::string> uniqueKeys;
    if (node.IsMap()) {
        for (const auto &entry : node) {
            if (!uniqueKeys.insert(entry.first.Scalar()).second) {
                m_impl->add(entry.first, m_impl->pathOf(entry.first.Scalar()), "the key a second time", "each key once");
            }
        }
    }
}

YamlMap::~YamlMap() = default;
YamlMap::YamlMap(const YamlMap &other) = default;
YamlMap::YamlMap(YamlMap &&other) noexcept = default;
YamlMap &YamlMap::operator=(const YamlMap &other) = default;
YamlMap &YamlMap::operator=(YamlMap &&other) noexcept = default;

bool YamlMap::has(const std::string &key) const
{
    const YAML::Node &constNode = m_impl->node;
    return constNode.IsMap() && constNode[key].IsDefined();
}

std::vector<std::string> YamlMap::keys()
{
    std::vector<std::string> names;
    if (m_impl->node.IsMap()) {
        for (const auto &entry : m_impl->node) {
            names.push_back(entry.first.Scalar());
            m_impl->read.insert(entry.first.Scalar());
        }
    }
    return names;
}

std::optional<std::string> YamlMap::scalar(const std::string &key, const std::string &allowed, bool isRequired)
{
    const YAML::Node value = m_impl->child(key);
    if (!value.IsDefined() && !isRequired) {
        return std::nullopt;
    }
    if (!value.IsDefined() || !value.IsScalar()) {
        m_impl->add(value, m_impl->pathOf(key), describe(value), allowed);
        return std::nullopt;
    }
    return value.Scalar();
}

std::string YamlMap::text(const std::string &key)
{
    const std::string allowed = "a text that is not empty";
    const std::optional<std::string> value = scalar(key, allowed, true);
    if (value.has_value() && value->empty()) {
        problem(key, "an empty text", allowed);
    }
    return value.value_or("");
}

std::string YamlMap::text(const std::string &key, const std::string &defaultValue)
{
    return scalar(key, "a text", false).value_or(defaultValue);
}

std::optional<std::int64_t> YamlMap::readInteger(const std::string &key, std::int64_t minimum, std::int64_t maximum, bool isRequired)
{
    const std::string allowed = absl::StrCat("a whole number from ", minimum, " to ", maximum);
    const std::optional<std::string> value = scalar(key, allowed, isRequired);
    if (!value.has_value()) {
        return std::nullopt;
    }
    std::int64_t number = 0;
    if (!absl::SimpleAtoi(*value, &number) || number < minimum || number > maximum) {
        problem(key, describe(m_impl->child(key)), allowed);
        return std::nullopt;
    }
    return number;
}

std::int64_t YamlMap::integer(const std::string &key, std::int64_t minimum, std::int64_t maximum)
{
    return readInteger(key, minimum, maximum, true).value_or(minimum);
}

std::int64_t YamlMap::integer(const std::string &key, std::int64_t minimum, std::int64_t maximum, std::int64_t defaultValue)
{
    return readInteger(key, minimum, maximum, false).value_or(defaultValue);
}

double YamlMap::number(const std::string &key, double minimum, double maximum, double defaultValue)
{
    const std::string allowed = absl::StrCat("a number from ", minimum, " to ", maximum);
    const std::optional<std::string> value = scalar(key, allowed, false);
    if (!value.has_value()) {
        return defaultValue;
    }
    double number = 0;
    // Written as !(in range), because each comparison with NaN is false: "nan" must be refused.
    if (!absl::SimpleAtod(*value, &number) || !(number >= minimum && number <= maximum)) {
        problem(key, describe(m_impl->child(key)), allowed);
        return defaultValue;
    }
    return number;
}

bool YamlMap::flag(const std::string &key, bool defaultValue)
{
    const std::string allowed = "true or false";
    const std::optional<std::string> value = scalar(key, allowed, false);
    if (value.has_value() && *value != "true" && *value != "false") {
        problem(key, describe(m_impl->child(key)), allowed);
    }
    return value.has_value() ? *value == "true" : defaultValue;
}

std::optional<absl::Duration> YamlMap::readDuration(const std::string &key, absl::Duration minimum, absl::Duration maximum, bool isRequired)
{
    const std::string allowed
        = absl::StrCat("a duration such as 500ms, 2s, 1m30s or 2.5e3ms, from ", absl::FormatDuration(minimum), " to ", absl::FormatDuration(maximum));
    const std::optional<std::string> value = scalar(key, allowed, isRequired);
    if (!value.has_value()) {
        return std::nullopt;
    }
    absl::Duration duration;
    if (!parseDuration(*value, duration) || duration < minimum || duration > maximum) {
        problem(key, describe(m_impl->child(key)), allowed);
        return std::nullopt;
    }
    return duration;
}

absl::Duration YamlMap::duration(const std::string &key, absl::Duration minimum, absl::Duration maximum)
{
    return readDuration(key, minimum, maximum, true).value_or(minimum);
}

absl::Duration YamlMap::duration(const std::string &key, absl::Duration minimum, absl::Duration maximum, absl::Duration defaultValue)
{
    return readDuration(key, minimum, maximum, false).value_or(defaultValue);
}

absl::Time YamlMap::time(const std::string &key)
{
    const std::string allowed = "a time such as 2026-12-04T18:00:00Z";
    const std::optional<std::string> value = scalar(key, allowed, true);
    absl::Time time = absl::UnixEpoch();
    std::string error;
    if (value.has_value() && !absl::ParseTime(absl::RFC3339_full, *value, &time, &error)) {
        problem(key, describe(m_impl->child(key)), allowed);
    }
    return time;
}

std::optional<std::string> YamlMap::readAddress(const std::string &key, bool isRequired)
{
    const std::string allowed = "an IP number and port such as 127.0.0.1:8080";
    std::optional<std::string> value = scalar(key, allowed, isRequired);
    if (value.has_value() && !isAddress(*value)) {
        problem(key, describe(m_impl->child(key)), allowed);
        return std::nullopt;
    }
    return value;
}

std::string YamlMap::address(const std::string &key)
{
    return readAddress(key, true).value_or("");
}

std::string YamlMap::address(const std::string &key, const std::string &defaultValue)
{
    return readAddress(key, false).value_or(defaultValue);
}

std::vector<std::string> YamlMap::texts(const std::string &key)
{
    const YAML::Node value = m_impl->child(key);
    std::vector<std::string> list;
    if (!value.IsDefined()) {
        return list;
    }
    if (!value.IsSequence()) {
        m_impl->add(value, m_impl->pathOf(key), describe(value), "a list of texts");
        return list;
    }
    for (std::size_t i = 0; i < value.size(); ++i) {
        const YAML::Node entry = value[i];
        if (!entry.IsScalar() || entry.Scalar().empty()) {
            m_impl->add(entry, absl::StrCat(m_impl->pathOf(key), "[", i, "]"), describe(entry), "a text that is not empty");
            continue;
        }
        list.push_back(entry.Scalar());
    }
    return list;
}

std::vector<std::string> YamlMap::addresses(const std::string &key)
{
    std::vector<std::string> list = texts(key);
    for (const std::string &entry : list) {
        if (!isAddress(entry)) {
            problem(key, "\"" + entry + "\"", "IP numbers and ports such as 127.0.0.1:8080");
        }
    }
    return list;
}

std::optional<std::size_t> YamlMap::choiceIndex(const std::string &key, const std::vector<std::string> &names, bool hasDefault)
{
    const std::string allowed = absl::StrCat("one of ", absl::StrJoin(names, ", "));
    const std::optional<std::string> value = scalar(key, allowed, !hasDefault);
    if (!value.has_value()) {
        return std::nullopt;
    }
    const auto it = std::find(names.begin(), names.end(), *value);
    if (it == names.end()) {
        problem(key, describe(m_impl->child(key)), allowed);
        return std::nullopt;
    }
    return static_cast<std::size_t>(it - names.begin());
}

YamlMap YamlMap::map(const std::string &key)
{
    const YAML::Node value = m_impl->child(key);
    if (value.IsDefined() && !value.IsMap()) {
        m_impl->add(value, m_impl->pathOf(key), describe(value), "a mapping");
    }
    YamlMap result(value.IsDefined() && value.IsMap() ? value : YAML::Node(YAML::NodeType::Map), m_impl->pathOf(key), m_impl->problems);
    result.m_impl->parentLine = m_impl->mappingLine();
    return result;
}

std::vector<YamlMap> YamlMap::maps(const std::string &key)
{
    const YAML::Node value = m_impl->child(key);
    std::vector<YamlMap> list;
    if (!value.IsDefined()) {
        return list;
    }
    if (!value.IsSequence()) {
        m_impl->add(value, m_impl->pathOf(key), describe(value), "a list of mappings");
        return list;
    }
    for (std::size_t i = 0; i < value.size(); ++i) {
        const YAML::Node entry = value[i];
        const std::string path = absl::StrCat(m_impl->pathOf(key), "[", i, "]");
        if (!entry.IsMap()) {
            m_impl->add(entry, path, describe(entry), "a mapping");
            continue;
        }
        list.emplace_back(entry, path, m_impl->problems);
    }
    return list;
}

void YamlMap::problem(const std::string &key, const std::string &found, const std::string &allowed)
{
    m_impl->add(m_impl->child(key), m_impl->pathOf(key), found, allowed);
}

void YamlMap::finish()
{
    if (!m_impl->node.IsMap()) {
        return;
    }
    for (const auto &entry : m_impl->node) {
        if (m_impl->read.count(entry.first.Scalar()) == 0) {
            const std::string known = m_impl->read.empty() ? "no keys" : absl::StrCat("the keys ", absl::StrJoin(m_impl->read, ", "));
            m_impl->add(entry.first, m_impl->pathOf(entry.first.Scalar()), "an unknown key", known);
        }
    }
}

} // namespace snipeferry::settings
