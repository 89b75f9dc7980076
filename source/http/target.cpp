#include "snipeferry/http/target.h"

#include <absl/strings/ascii.h>

#include <cctype>

namespace snipeferry::http {

namespace {

constexpr std::size_t ESCAPE_CHARACTERS = 3;
constexpr int HEXADECIMAL = 16;

tl::unexpected<core::Error> badTarget(const std::string &message)
{
    return tl::make_unexpected(core::makeError(core::ErrorKind::BadRequest, message));
}

bool isEscape(const std::string &text, std::size_t at)
{
    return text[at] == '%' && at + 2 < text.size() && std::isxdigit(static_cast<unsigned char>(text[at + 1])) != 0
        && std::isxdigit(static_cast<unsigned char>(text[at + 2])) != 0;
}

char escapedCharacter(const std::string &text, std::size_t at)
{
    return static_cast<char>(std::stoi(text.substr(at + 1, 2), nullptr, HEXADECIMAL));
}

bool isUnreserved(char c)
{
    return std::isalnum(static_cast<unsigned char>(c)) != 0 || c == '-' || c == '.' || c == '_' || c == '~';
}

/** Decodes escapes of unreserved characters; refuses characters that servers treat in different ways. */
core::Expected<std::string> normalise(const std::string &path)
{
    std::string result;
    for (std::size_t i = 0; i < path.size(); ++i) {
        const bool isEscaped = isEscape(path, i);
        const char c = isEscaped ? escapedCharacter(path, i) : path[i];
        const unsigned char byte = static_cast<unsigned char>(c);
        if (byte < ' ' || byte == 0x7f || c == '\\' || (isEscaped && (c == '/' || c == '%')) || (!isEscaped && (c == '%' || c == ' '))) {
            return badTarget("The path holds a character that is not allowed.");
        }
        if (isEscaped && !isUnreserved(c)) {
            result += path.substr(i, ESCAPE_CHARACTERS);
        } else {
            result += c;
        }
        i += isEscaped ? ESCAPE_CHARACTERS - 1 : 0;
    }
    return result;
}

bool hasUnclearSegment(const std::string &path)
{
    std::size_t start = 1;
    while (start <= path.size()) {
        const std::size_t end = std::min(path.find('/', start), path.size());
        const std::string segment = path.substr(start, end - start);
        const std::string name = segment.substr(0, segment.find(';'));
        if (name == "." || name == ".." || (segment.empty() && end != path.size())) {
            return true;
        }
        start = end + 1;
    }
    return false;
}

std::vector<QueryParameter> parseQuery(const std::string &query)
{
    std::vector<QueryParameter> parameters;
    std::size_t start = 0;
    while (start < query.size()) {
        // Some servers take a semicolon for a separator too.
        const std::size_t end = std::min(query.find_first_of("&;", start), query.size());
        const std::string raw = query.substr(start, end - start);
        const std::size_t equals = std::min(raw.find('='), raw.size());
        if (!raw.empty()) {
            const std::string value = equals < raw.size() ? raw.substr(equals + 1) : "";
            parameters.push_back({decodePercent(raw.substr(0, equals), true), decodePercent(value, true), raw});
        }
        start = end + 1;
    }
    return parameters;
}

} // namespace

std::string decodePercent(const std::string &text, bool isPlusSpace)
{
    std::string result;
    for (std::size_t i = 0; i < text.size(); ++i) {
        if (isEscape(text, i)) {
            result += escapedCharacter(text, i);
            i += ESCAPE_CHARACTERS - 1;
        } else {
            result += isPlusSpace && text[i] == '+' ? ' ' : text[i];
        }
    }
    return result;
}

std::string Target::pathAndQuery() const
{
    std::string result = path;
    char separator = '?';
    for (const QueryParameter &parameter : query) {
        result += separator + parameter.raw;
        separator = '&';
    }
    return result;
}

core::Expected<Target> parseTarget(const std::string &target)
{
    Target result;
    std::string rest = target.substr(0, target.find('#'));

    // An absolute URI can carry user info.
    const std::size_t scheme = rest.find("://");
    if (scheme != std::string::npos && !rest.empty() && rest.front() != '/' && rest.find('?') > scheme) {
        const std::size_t authorityStart = scheme + 3;
        const std::size_t authorityEnd = std::min(rest.find_first_of("/?", authorityStart), rest.size());
        const std::string authority = rest.substr(authorityStart, authorityEnd - authorityStart);
        const std::size_t at = authority.rfind('@');
        result.userInfo = at == std::string::npos ? "" : decodePercent(authority.substr(0, at), false);
        rest = rest.substr(authorityEnd);
        if (rest.empty() || rest.front() == '?') {
            rest.insert(rest.begin(), '/');
        }
    }
    if (rest.empty() || rest.front() != '/') {
        return badTarget("The path must begin with '/'.");
    }

    const std::size_t question = std::min(rest.find('?'), rest.size());
    const core::Expected<std::string> path = normalise(rest.substr(0, question));
    if (!path.has_value()) {
        return tl::make_unexpected(path.error());
    }
    if (hasUnclearSegment(*path)) {
        return badTarget("The path holds an empty or dot segment.");
    }
    result.path = *path;
    if (question < rest.size()) {
        result.query = parseQuery(rest.substr(question + 1));
    }
    return result;
}

} // namespace snipeferry::http
