#pragma once

#include <absl/time/time.h>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>

/**
 * Clock and timers for the code that makes decisions. It reads time only from here, so that tests can control time.
 */
namespace snipeferry::core {

class TimerService;

/** Owns one timer. Destroying the subscription cancels the timer. */
class Subscription
{
public:
    Subscription() = default;
    Subscription(TimerService *service, std::uint64_t id);
    ~Subscription();
    Subscription(Subscription &&other) noexcept;
    Subscription &operator=(Subscription &&other) noexcept;
    Subscription(const Subscription &) = delete;
    Subscription &operator=(const Subscription &) = delete;

    void cancel();

private:
    TimerService *m_service = nullptr;
    std::uint64_t m_id = 0;
};

/** Clock and timers. Callbacks run on the thread that drives the service, never concurrently with the code that uses the timers. */
class TimerService
{
public:
    using Callback = std::function<void()>;

    virtual ~TimerService() = default;

    /** @brief Returns monotonic time. Only differences between values of the same process are meaningful. */
    virtual absl::Time now() const = 0;

    /** @brief Returns wall-clock time, for deadlines that operators set. */
    virtual absl::Time wallNow() const = 0;

    /** @brief Runs the callback once, after the delay. */
    [[nodiscard]] Subscription after(absl::Duration delay, Callback callback);

    /** @brief Runs the callback once in each period, first after one period. */
    [[nodiscard]] Subscription every(absl::Duration period, Callback callback);

protected:
    friend class Subscription;

    /** A pending timer. A period of zero means that it runs once. */
    struct Timer
    {
        absl::Time due;
        absl::Duration period;
        Callback callback;
    };

    /** @brief Runs all callbacks due at now(), in order of due time. */
    void runDue();

    /** @brief Due time of the earliest timer, or absl::InfiniteFuture(). */
    absl::Time earliestDue() const;

    /** @brief Removes all timers and destroys their callbacks. */
    void dropAll();

private:
    std::uint64_t add(absl::Duration delay, absl::Duration period, Callback callback);
    void remove(std::uint64_t id);

    std::uint64_t m_nextId = 1;
    std::map<std::uint64_t, Timer> m_timers;
    /** Timer ids by due time; timers with the same due time are ordered by id. */
    std::map<std::pair<absl::Time, std::uint64_t>, std::uint64_t> m_idsByDueTime;
};

/** Timer service with virtual time that a test or simulation advances. */
class VirtualTimerService : public TimerService
{
public:
    explicit VirtualTimerService(absl::Time start = absl::FromUnixSeconds(1'700'000'000));

    absl::Time now() const override;
    absl::Time wallNow() const override;

    /** @brief Advances time and runs each timer at its due time. */
    void advance(absl::Duration step);

    /** @brief Advances time without running timers, as in a process that is paused. */
    void freeze(absl::Duration step);

    /** @brief Due time of the earliest timer, or absl::InfiniteFuture(). */
    absl::Time nextDue() const;

private:
    absl::Time m_now;
};

/** Timer service that uses the monotonic clock of the machine. An event loop calls run(). */
class SteadyTimerService : public TimerService
{
public:
    absl::Time now() const override;
    absl::Time wallNow() const override;

    /** @brief Runs the callbacks that are due. */
    void run();

    /** @brief Removes all timers, so that the objects that their callbacks own are destroyed before the loop. */
    void clear();

    /** @brief Due time of the earliest timer, or absl::InfiniteFuture(). */
    absl::Time nextDue() const;
};

} // namespace snipeferry::core
