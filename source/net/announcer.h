#pragma once

#include "backoff.h"
#include "snipeferry/net/httpcaller.h"
#include "snipeferry/net/storeclient.h"
#include "storeera.h"

#include <absl/strings/str_cat.h>

#include <functional>
#include <memory>
#include <random>
#include <string>

namespace snipeferry::net {

/** Keeps one record in the store for as long as this process lives. */
class Announcer : public std::enable_shared_from_this<Announcer>
{
public:
    Announcer(
        EventLoop &loop, const StoreClientSettings &settings, const StoreFormat &format, StoreEra &era, gateway::Gateway &gateway, gateway::Journal &journal)
        : m_loop(loop),
          m_settings(settings),
          m_format(format),
          m_era(era),
          m_gateway(gateway),
          m_journal(journal),
          m_caller(std::make_shared<HttpCaller>(loop, settings.address)),
          m_backoff(std::random_device()())
    {
        m_caller->setMaxAnswerBytes(settings.maxWriteAnswerBytes);
        m_caller->setReadMemory(settings.readMemory);
    }

    void start(gateway::Record record)
    {
        m_record = std::move(record);
        openLease();
    }

    /** Announces this instance afresh: the store has lost the lease, or will give its number to another instance. */
    void storeReturned()
    {
        if (!m_isCalling && !m_isWithdrawn) {
            after(absl::ZeroDuration(), &Announcer::openLease);
        }
    }

    void withdraw()
    {
        m_isWithdrawn = true;
        if (m_lease.id.empty() || m_leaseEra != m_era.current()) {
            return;
        }
        m_caller->close();
        m_caller->call(m_format.endLease(m_lease), CALL_TIMEOUT, [self = shared_from_this()](const core::Expected<CallAnswer> &answer) {
            self->m_journal.log(core::LogEvent{"announcement_withdrawn", {}}.with("is_confirmed", answer && answer->status == STATUS_OK ? "true" : "false"));
        });
    }

private:
    static constexpr absl::Duration CALL_TIMEOUT = absl::Milliseconds(2500);
    static constexpr int STATUS_OK = 200;
    static constexpr int STATUS_NOT_FOUND = 404;

    using Step = void (Announcer::*)();

    void call(const gateway::HttpRequest &request, const std::string &name, std::function<void(const CallAnswer &)> done, Step again)
    {
        m_journal.count("store_calls_total", name, 1);
        const absl::Time startedAt = m_loop.timers().now();
        m_isCalling = true;
        m_caller->call(
            request, CALL_TIMEOUT, [self = shared_from_this(), done = std::move(done), again, name, startedAt](const core::Expected<CallAnswer> &answer) {
                const bool isCurrent = !answer || self->m_era.note(*answer);
                self->m_isCalling = false;
                if (self->m_isWithdrawn) {
                    return;
                }
                const bool isOfEarlierLease = again != &Announcer::openLease && self->m_leaseEra != self->m_era.current();
                if (!isCurrent || isOfEarlierLease) {
                    self->after(self->m_backoff.next(), &Announcer::openLease);
                    return;
                }
                self->m_journal.observe("store_call_seconds", name, self->m_loop.timers().now() - startedAt);
                if (answer && (answer->status == STATUS_OK || answer->status == STATUS_NOT_FOUND)) {
                    self->m_backoff.reset();
                    self->m_gateway.storeAnswered();
                    done(*answer);
                    return;
                }
                self->m_journal.log(core::LogEvent{"store_call_failed", {}}
                                        .with("call", name)
                                        .with("reason", answer ? absl::StrCat("status_", answer->status) : answer.error().message));
                self->after(self->m_backoff.next(), again);
            });
    }

    void after(absl::Duration pause, Step step)
    {
        m_pause = m_loop.timers().after(pause, [self = shared_from_this(), step] {
            if (!self->m_isWithdrawn) {
                (self.get()->*step)();
            }
        });
    }

    void openLease()
    {
        call(
            m_format.openLease(m_settings.leaseTime), "lease_open",
            [this](const CallAnswer &answer) {
                const core::Expected<Lease> lease = m_format.decodeLease(answer.body);
                if (answer.status != STATUS_OK || !lease) {
                    after(m_backoff.next(), &Announcer::openLease);
                    return;
                }
                m_lease = *lease;
                m_leaseEra = m_era.current();
                write();
            },
            &Announcer::openLease);
    }

    void write()
    {
        call(
            m_format.writeRecord(m_record, m_lease), "announce",
            [this](const CallAnswer &answer) {
                if (answer.status == STATUS_NOT_FOUND) {
                    openLease();
                    return;
                }
                m_journal.log(core::LogEvent{"announced", {}}.with("lease", m_lease.id));
                m_writtenAt = m_loop.timers().now();
                after(m_settings.renewPeriod, &Announcer::renew);
            },
            &Announcer::write);
    }

    void renew()
    {
        call(
            m_format.renewLease(m_lease), "lease_renew",
            [this](const CallAnswer &answer) {
                if (answer.status == STATUS_NOT_FOUND) {
                    openLease();
                    return;
                }
                // The announcement may have gone with the lease of an earlier process of this instance.
                const bool isMissing
                    = m_loop.timers().now() - m_writtenAt > m_settings.renewPeriod && !m_gateway.hasRecord(gateway::Topic::Members, m_record.key);
                if (isMissing) {
                    write();
                    return;
                }
                after(m_settings.renewPeriod, &Announcer::renew);
            },
            &Announcer::renew);
    }

    EventLoop &m_loop;
    StoreClientSettings m_settings;
    const StoreFormat &m_format;
    StoreEra &m_era;
    gateway::Gateway &m_gateway;
    gateway::Journal &m_journal;
    std::shared_ptr<HttpCaller> m_caller;
    Backoff m_backoff;
    gateway::Record m_record;
    Lease m_lease;
    /** The store's era in which the lease was opened. */
    std::int64_t m_leaseEra = 0;
    bool m_isCalling = false;
    absl::Time m_writtenAt = absl::InfinitePast();
    bool m_isWithdrawn = false;
    core::Subscription m_pause;
};

} // namespace snipeferry::net
