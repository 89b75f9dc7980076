#pragma once

#include <absl/time/time.h>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>

/**
 * Time for the decision parts: they read the clock and subscribe to timers here and nowhere else.
 */
namespace snipeferry::core {

class TimerService;

/** Owns one timer subscription; destroying it cancels the timer. */
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

/** Clock and timers. Callbacks run on the thread that drives the service, never concurrently with the parts. */
class TimerService
{
public:
    using Callback = std::function<void()>;

    virtual ~TimerService() = default;

    /** @brief Monotonic time; only differences between values of one process mean anything. */
    virtual absl::Time now() const = 0;

    /** @brief Wall-clock time, for deadlines that operators state. */
    virtual absl::Time wallNow() const = 0;

    /** @brief Runs the callback once after the delay. */
    [[nodiscard]] Subscription after(absl::Duration delay, Callback callback);

    /** @brief Runs the callback repeatedly, first after one period. */
    [[nodiscard]] Subscription every(absl::Duration period, Callback callback);

protected:
    friend class Subscription;

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

    /** @brief Drops all timers and what their callbacks hold. */
    void dropAll();

private:
    std::uint64_t add(absl::Duration delay, absl::Duration period, Callback callback);
    void remove(std::uint64_t id);

    std::uint64_t m_nextId = 1;
    std::map<std::uint64_t, Timer> m_timers;
    std::map<std::pair<absl::Time, std::uint64_t>, std::uint64_t> m_order;
};

/** Timer service under virtual time, stepped by a harness. */
class VirtualTimerService : public TimerService
{
public:
    explicit VirtualTimerService(absl::Time start = absl::FromUnixSeconds(1'700'000'000));

    absl::Time now() const override;
    absl::Time wallNow() const override;

    /** @brief Moves time forward, running each timer at its due time. */
    void advance(absl::Duration step);

    /** @brief Moves time forward without running timers: a paused process. */
    void freeze(absl::Duration step);

    /** @brief Due time of the earliest timer, or absl::InfiniteFuture(). */
    absl::Time nextDue() const;

private:
    absl::Time m_now;
};

/** Timer service on the machine's monotonic clock, driven by the core loop. */
class SteadyTimerService : public TimerService
{
public:
    absl::Time now() const override;
    absl::Time wallNow() const override;

    /** @brief Runs due callbacks. */
    void run();

    /** @brief Drops all timers, so that what their callbacks hold ends before the loop does. */
    void clear();

    /** @brief Due time of the earliest timer, or absl::InfiniteFuture(). */
    absl::Time nextDue() const;
};

} // namespace snipeferry::core
