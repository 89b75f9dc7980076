#pragma once

#include <memory>
#include <string>

namespace snipeferry::standins {

/**
 * The platform's key-value service over HTTP, after the shape of the etcd v3 JSON gateway, on threads of its own.
 *
 * Ranges are single keys or prefixes; transactions compare modification revisions for equality. Besides the gateway's
 * paths: POST /faults sets faults, POST /load writes keys past all faults, GET /counters gives calls by kind.
 */
class FakePlatform
{
public:
    FakePlatform();
    ~FakePlatform();

    /**
     * @brief Opens the listening socket on the loopback address and starts to serve.
     * @param port the port, or 0 to let the kernel choose
     * @return the port listened on, or 0 when it cannot be opened
     */
    int start(int port);
    void stop();

    /** @brief Serves until stop() is called from a signal or another thread. */
    void wait();

    /** @brief Sets faults from the JSON of POST /faults; throws for anything else. */
    void setFaults(const std::string &text);

    /** @brief Writes keys from a JSON object of key to value; null deletes. Throws for anything else. */
    void load(const std::string &text);

    /** @brief Calls so far by kind, as a JSON object; a watch counts as one. */
    std::string counters() const;

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace snipeferry::standins
