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
 * Checked reading of YAML files: each problem names file, line, key, what was found and what is allowed.
 */
namespace snipeferry::settings {

/** One fault of a YAML file. */
struct YamlProblem
{
    std::string file;
    /** Counts from 1. */
    int line = 0;
    /** Path of the key from the top, such as "customers[2].rate". */
    std::string key;
    std::string found;
    std::string allowed;

    /** @brief Renders the problem as "file:line: key: found ..., allowed: ...". */
    std::string text() const;
};

/** All problems of one file. */
struct YamlProblems
{
    std::string file;
    std::vector<YamlProblem> entries;

    /** @brief Nothing when there is no problem; otherwise ConfigurationInvalid with one line a problem. */
    core::Expected<void> result() const;
};

/**
 * One mapping of a YAML file.
 *
 * Reads record problems and return a default, so that one pass reports every fault of the file. A key that was never
 * read is unknown: finish() reports it, and every mapping must be finished.
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

    bool has(const std::string &key) const;

    /** @brief Keys in the order of the file, for mappings whose keys are names; they count as read. */
    std::vector<std::string> keys();

    /** @brief Reads a text that must be there and must not be empty. */
    std::string text(const std::string &key);
    std::string text(const std::string &key, const std::string &defaultValue);

    /** @brief Reads a whole number within bounds, both included. */
    std::int64_t integer(const std::string &key, std::int64_t minimum, std::int64_t maximum);
    std::int64_t integer(const std::string &key, std::int64_t minimum, std::int64_t maximum, std::int64_t defaultValue);

    /** @brief Reads a number within bounds, both included. */
    double fraction(const std::string &key, double minimum, double maximum, double defaultValue);

    /** @brief Reads true or false. */
    bool flag(const std::string &key, bool defaultValue);

    /** @brief Reads a duration such as 500ms, 2s or 1m30s within bounds, both included. */
    absl::Duration duration(const std::string &key, absl::Duration minimum, absl::Duration maximum);
    absl::Duration duration(const std::string &key, absl::Duration minimum, absl::Duration maximum, absl::Duration defaultValue);

    /** @brief Reads a time such as 2026-12-04T18:00:00Z. */
    absl::Time time(const std::string &key);

    /** @brief Reads an IP number and port as "a.b.c.d:port". */
    std::string address(const std::string &key);
    std::string address(const std::string &key, const std::string &defaultValue);
    std::vector<std::string> addresses(const std::string &key);

    /** @brief Reads a list of texts; an absent key is an empty list. */
    std::vector<std::string> texts(const std::string &key);

    /** @brief Reads one of several words. */
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

    /** @brief Reads a list of mappings; an absent key is an empty list. */
    std::vector<YamlMap> maps(const std::string &key);

    /** @brief Records a problem that only the reader of the values can see. */
    void problem(const std::string &key, const std::string &found, const std::string &allowed);

    /** @brief Reports keys that nobody read. */
    void finish();

private:
    class Impl;

    std::optional<std::string> scalar(const std::string &key, const std::string &allowed, bool isRequired);
    std::optional<std::size_t> choiceIndex(const std::string &key, const std::vector<std::string> &names, bool hasDefault);
    std::optional<std::int64_t> readInteger(const std::string &key, std::int64_t minimum, std::int64_t maximum, bool isRequired);
    std::optional<absl::Duration> readDuration(const std::string &key, absl::Duration minimum, absl::Duration maximum, bool isRequired);
    std::optional<std::string> readAddress(const std::string &key, bool isRequired);

    std::shared_ptr<Impl> m_impl;
};

/** A YAML file that is being read. */
class YamlDocument
{
public:
    /**
     * @brief Reads a file.
     * @return the document; or ConfigurationInvalid when the file cannot be read or is no YAML mapping
     */
    static core::Expected<YamlDocument> load(const std::string &file);

    /** @brief Reads text; the file name is used in problems only. */
    static core::Expected<YamlDocument> parse(const std::string &file, const std::string &text);

    YamlMap &root();

    /** @brief Finishes the root and returns all problems found while reading. */
    core::Expected<void> result();

private:
    YamlDocument(std::shared_ptr<YamlProblems> problems, YamlMap root);

    std::shared_ptr<YamlProblems> m_problems;
    YamlMap m_root;
};

/** @brief Whether a text is an IPv4 number and port as "a.b.c.d:port". */
bool isAddress(const std::string &text);

} // namespace snipeferry::settings
