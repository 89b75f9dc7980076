#pragma once

#include "snipeferry/core/error.h"

#include <absl/time/time.h>

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace YAML { // NOLINT(readability-identifier-naming): name fixed by the library
class Node;
} // namespace YAML

/**
 * Reading and validation of YAML files. Each problem names the file, line and key, what was found and what is allowed.
 */
namespace snipeferry::settings {

/** One invalid or missing value, or one unknown or repeated key, in a YAML file. */
struct YamlProblem
{
    std::string file;
    /** Line number, starting at 1. */
    int line = 0;
    /** Path of the key from the top of the file, such as "customers[2].rate". */
    std::string key;
    std::string found;
    std::string allowed;

    /** @brief Formats the problem as "file:line: key: found ..., allowed: ...". */
    std::string text() const;
};

/** All problems of one file. */
struct YamlProblems
{
    std::string file;
    std::vector<YamlProblem> entries;

    /** @brief Returns success if there is no problem, otherwise an error of kind ErrorKind::ConfigurationInvalid with one line for each problem. */
    core::Expected<void> result() const;
};

/**
 * One mapping of a YAML file.
 *
 * When a value is missing or invalid, a read function records a problem and returns a default, so that one pass reports every problem of the
 * file. finish() reports every key that was never read as unknown, and must be called for every mapping.
 */
class YamlMap
{
public:
    YamlMap(const YAML::Node &node, std::string path, std::shared_ptr<YamlProblems> problems);
    ~YamlMap();
    YamlMap(const YamlMap &other);
    YamlMap(YamlMap &&other) noexcept;
    YamlMap &operator=(const YamlMap &other);
    YamlMap &operator=(YamlMap &&other) noexcept;

    /** @brief Returns whether the key is present. Does not mark it as read. */
    bool has(const std::string &key) const;

    /** @brief Returns the keys in the order of the file and marks them as read. For mappings whose keys are names. */
    std::vector<std::string> keys();

    /** @brief Reads a string that must be present and not empty. */
    std::string text(const std::string &key);
    std::string text(const std::string &key, const std::string &defaultValue);

    /** @brief Reads an integer from minimum to maximum, both included. */
    std::int64_t integer(const std::string &key, std::int64_t minimum, std::int64_t maximum);
    std::int64_t integer(const std::string &key, std::int64_t minimum, std::int64_t maximum, std::int64_t defaultValue);

    /** @brief Reads a number from minimum to maximum, both included. */
    double number(const std::string &key, double minimum, double maximum, double defaultValue);

    /** @brief Reads true or false. */
    bool flag(const std::string &key, bool defaultValue);

    /** @brief Reads a duration such as 500ms, 2s, 1m30s or 2.5e3ms, from minimum to maximum, both included. */
    absl::Duration duration(const std::string &key, absl::Duration minimum, absl::Duration maximum);
    absl::Duration duration(const std::string &key, absl::Duration minimum, absl::Duration maximum, absl::Duration defaultValue);

    /** @brief Reads a time such as 2026-12-04T18:00:00Z. */
    absl::Time time(const std::string &key);

    /** @brief Reads an IPv4 address and port as "a.b.c.d:port". */
    std::string address(const std::string &key);
    std::string address(const std::string &key, const std::string &defaultValue);
    std::vector<std::string> addresses(const std::string &key);

    /** @brief Reads a list of strings that are not empty. An absent key reads as an empty list. */
    std::vector<std::string> texts(const std::string &key);

    /** @brief Reads one of several words and returns the value that belongs to it. Without a default the key must be present. */
    template<typename T>
    T choice(const std::string &key, const std::vector<std::pair<std::string, T>> &words, std::optional<T> defaultValue = std::nullopt)
    {
        std::vector<std::string> names;
        names.reserve(words.size());
        for (const std::pair<std::string, T> &word : words) {
            names.push_back(word.first);
        }
        const std::optional<std::size_t> index = choiceIndex(key, names, defaultValue.has_value());
        return index.has_value() ? words[*index].second : defaultValue.value_or(words.front().second);
    }

    /** @brief Reads a mapping; an absent key reads as an empty mapping. */
    YamlMap map(const std::string &key);

    /** @brief Reads a list of mappings. An absent key reads as an empty list. */
    std::vector<YamlMap> maps(const std::string &key);

    /** @brief Records a problem that the caller found, such as two values that contradict each other. */
    void problem(const std::string &key, const std::string &found, const std::string &allowed);

    /** @brief Records a problem for each key that was never read. */
    void finish();

private:
    class Impl;

    /** Reads a scalar as a string. Records a problem if the key holds no scalar, or is required and absent. */
    std::optional<std::string> scalar(const std::string &key, const std::string &allowed, bool isRequired);
    std::optional<std::size_t> choiceIndex(const std::string &key, const std::vector<std::string> &names, bool hasDefault);
    std::optional<std::int64_t> readInteger(const std::string &key, std::int64_t minimum, std::int64_t maximum, bool isRequired);
    std::optional<absl::Duration> readDuration(const std::string &key, absl::Duration minimum, absl::Duration maximum, bool isRequired);
    std::optional<std::string> readAddress(const std::string &key, bool isRequired);

    std::shared_ptr<Impl> m_impl;
};

/** A parsed YAML file and the problems found in it. */
class YamlDocument
{
public:
    /**
     * @brief Reads and parses a file.
     * @return the document, or an error of kind ErrorKind::ConfigurationInvalid if the file cannot be read or is no YAML mapping
     */
    static core::Expected<YamlDocument> load(const std::string &file);

    /** @brief Parses YAML text. The file name appears only in the texts of problems. */
    static core::Expected<YamlDocument> parse(const std::string &file, const std::string &text);

    YamlMap &root();

    /** @brief Calls finish() on the root and returns all recorded problems. */
    core::Expected<void> result();

private:
    YamlDocument(std::shared_ptr<YamlProblems> problems, YamlMap root);

    std::shared_ptr<YamlProblems> m_problems;
    YamlMap m_root;
};

/** @brief Returns whether a string is an IPv4 address and port as "a.b.c.d:port". */
bool isAddress(const std::string &text);

} // namespace snipeferry::settings
