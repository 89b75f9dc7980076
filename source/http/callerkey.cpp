#include "snipeferry/http/callerkey.h"

#include <absl/strings/ascii.h>
#include <absl/strings/escaping.h>
#include <openssl/evp.h>

#include <algorithm>
#include <array>
#include <set>

namespace snipeferry::http {

namespace {

/** Shorter values are compared as a whole only, never searched for in other text. */
constexpr std::size_t MIN_SEARCHED_CHARACTERS = 6;
constexpr char OVERWRITE = '*';

constexpr std::array<const char *, 13> KEY_HEADERS = {"Api-Key", "X-Api-Key", "ApiKey", "X-ApiKey", "X-Goog-Api-Key", "OpenAI-Api-Key", "X-Auth-Token",
    "X-Access-Token", "X-Auth-Key", "Access-Token", "Auth-Token", "X-Token", "Ocp-Apim-Subscription-Key"};
constexpr std::array<const char *, 10> KEY_PARAMETERS
    = {"api_key", "api-key", "apikey", "key", "access_token", "access-token", "token", "auth_token", "x-api-key", "authorization"};
constexpr std::array<const char *, 8> KEY_FIELDS = {"api_key", "api-key", "apikey", "access_token", "auth_token", "authorization", "x-api-key", "x_api_key"};

template<std::size_t Count>
bool contains(const std::array<const char *, Count> &names, const std::string &name)
{
    return std::any_of(names.begin(), names.end(), [&](const char *entry) { return isHeaderName(entry, name); });
}

std::string trimmed(const std::string &text)
{
    const std::size_t start = text.find_first_not_of(" \t");
    return start == std::string::npos ? "" : text.substr(start, text.find_last_not_of(" \t") - start + 1);
}

/** Takes "user:password" for a key: the password, or the user where there is no password. */
std::string keyOfUserInfo(const std::string &userInfo)
{
    const std::size_t colon = userInfo.find(':');
    if (colon == std::string::npos || colon + 1 == userInfo.size()) {
        return userInfo.substr(0, colon);
    }
    return userInfo.substr(colon + 1);
}

/** Takes the key from a value that may begin with a scheme, as callers write it in any place. */
std::string keyOfCredentials(const std::string &value)
{
    std::string text = trimmed(value);
    const std::size_t space = text.find_first_of(" \t");
    if (space == std::string::npos) {
        return text;
    }
    std::string credentials = trimmed(text.substr(space));
    std::string decoded;
    if (isHeaderName(text.substr(0, space), "Basic") && absl::Base64Unescape(credentials, &decoded)) {
        return keyOfUserInfo(decoded);
    }
    return credentials;
}

void addKeysOfCookies(const std::string &cookies, std::set<std::string> &keys)
{
    std::size_t start = 0;
    while (start < cookies.size()) {
        const std::size_t end = std::min(cookies.find(';', start), cookies.size());
        const std::string cookie = trimmed(cookies.substr(start, end - start));
        const std::size_t equals = cookie.find('=');
        if (equals != std::string::npos && contains(KEY_PARAMETERS, trimmed(cookie.substr(0, equals)))) {
            std::string value = trimmed(cookie.substr(equals + 1));
            if (value.size() > 1 && value.front() == '"' && value.back() == '"') {
                value = value.substr(1, value.size() - 2);
            }
            keys.insert(keyOfCredentials(decodePercent(value, false)));
        }
        start = end + 1;
    }
}

bool isCredentialHeader(const std::string &name)
{
    return isHeaderName(name, "Authorization") || contains(KEY_HEADERS, name);
}

std::set<std::string> findKeys(const HttpRequest &request, const Target &target)
{
    std::set<std::string> keys;
    for (const core::Header &header : request.headers) {
        if (isHeaderName(header.name, "Proxy-Authorization") || isCredentialHeader(header.name)) {
            keys.insert(keyOfCredentials(header.value));
        } else if (isHeaderName(header.name, "Cookie")) {
            addKeysOfCookies(header.value, keys);
        }
    }
    for (const QueryParameter &parameter : target.query) {
        if (contains(KEY_PARAMETERS, parameter.name)) {
            keys.insert(keyOfCredentials(parameter.value));
        }
    }
    if (!target.userInfo.empty()) {
        keys.insert(keyOfUserInfo(target.userInfo));
    }
    keys.erase("");
    return keys;
}

bool holdsKey(const std::string &text, const std::string &key)
{
    if (key.empty()) {
        return false;
    }
    if (text == key) {
        return true;
    }
    return key.size() >= MIN_SEARCHED_CHARACTERS
        && (text.find(key) != std::string::npos || decodePercent(text, false).find(key) != std::string::npos
            || text.find(absl::Base64Escape(key)) != std::string::npos);
}

bool isKeyPlace(const std::string &header)
{
    return isCredentialHeader(header) || isHeaderName(header, "Cookie") || isHeaderName(header, "Cookie2");
}

void overwrite(std::string &text, const std::string &key)
{
    if (key.size() < MIN_SEARCHED_CHARACTERS) {
        return;
    }
    for (std::size_t at = text.find(key); at != std::string::npos; at = text.find(key, at + key.size())) {
        text.replace(at, key.size(), key.size(), OVERWRITE);
    }
}

} // namespace

core::Expected<KeylessRequest> takeCallerKey(const HttpRequest &request)
{
    core::Expected<Target> target = parseTarget(request.target);
    if (!target.has_value()) {
        return tl::make_unexpected(target.error());
    }
    const std::set<std::string> keys = findKeys(request, *target);
    if (keys.size() > 1) {
        return tl::make_unexpected(core::makeError(core::ErrorKind::BadRequest, "The request carries different keys."));
    }
    const std::string key = keys.empty() ? "" : *keys.begin();
    if (holdsKey(target->path, key)) {
        return tl::make_unexpected(core::makeError(core::ErrorKind::BadRequest, "The path holds the caller's key."));
    }

    // Every place for keys is emptied, and so is whatever else repeats the key.
    KeylessRequest result;
    result.keyDigest = key.empty() ? "" : sha256Hex(key);
    result.target.path = target->path;
    for (const QueryParameter &parameter : target->query) {
        if (!contains(KEY_PARAMETERS, parameter.name) && !holdsKey(parameter.value, key) && !holdsKey(parameter.name, key)) {
            result.target.query.push_back(parameter);
        }
    }
    for (const core::Header &header : request.headers) {
        if (!isKeyPlace(header.name) && !isConnectionHeader(header.name) && !holdsKey(header.value, key) && !holdsKey(header.name, key)) {
            result.headers.push_back(header);
        }
    }
    result.body = request.body;
    overwrite(result.body, key);
    return result;
}

std::string sha256Hex(const std::string &text)
{
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest = {};
    unsigned int size = 0;
    EVP_Digest(text.data(), text.size(), digest.data(), &size, EVP_sha256(), nullptr);
    return std::string(absl::BytesToHexString(absl::string_view(reinterpret_cast<const char *>(digest.data()), size)));
}

bool isKeyField(const std::string &name)
{
    return contains(KEY_FIELDS, name);
}

} // namespace snipeferry::http
