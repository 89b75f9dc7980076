#include "snipeferry/rollout/rolloutbook.h"

#include "rollouttrack.h"
#include "snipeferry/platform/keys.h"

#include <algorithm>
#include <map>
#include <utility>

namespace snipeferry::rollout {

namespace {

constexpr absl::Duration TICK_INTERVAL = absl::Milliseconds(500);

} // namespace

class RolloutBook::Impl
{
public:
    Impl(membership::InstanceDescription self, std::uint64_t seed, core::TimerService &timers, messages::Outbox &outbox)
        : m_context{std::move(self), seed, timers, outbox, {}, [this](const RolloutStatus &status) {
                        m_changed.emit(status);
                    }}
    {
        m_tickTimer = timers.every(TICK_INTERVAL, [this] { tick(); });
    }

    void configure(const configuration::Configuration &configuration)
    {
        m_configuredVersions.clear();
        for (const configuration::Service &service : configuration.services) {
            m_configuredVersions[service.id] = service.version;
        }
        std::map<core::RolloutId, std::unique_ptr<RolloutTrack>> tracks;
        for (const configuration::Rollout &rollout : configuration.rollouts) {
            const auto existing = m_tracks.find(rollout.id);
            if (existing == m_tracks.end()) {
                tracks[rollout.id] = std::make_unique<RolloutTrack>(rollout, m_context);
                continue;
            }
            tracks[rollout.id] = std::move(existing->second);
            tracks[rollout.id]->replaceRollout(rollout);
        }
        m_tracks = std::move(tracks);
    }

    void setMembers(const std::vector<membership::InstanceDescription> &members)
    {
        const std::vector<core::InstanceId> previousMembers = std::exchange(m_context.members, {});
        std::vector<core::InstanceId> added;
        for (const membership::InstanceDescription &member : members) {
            m_context.members.push_back(member.id);
            if (std::find(previousMembers.begin(), previousMembers.end(), member.id) == previousMembers.end()) {
                added.push_back(member.id);
            }
        }
        for (const std::pair<const core::RolloutId, std::unique_ptr<RolloutTrack>> &track : m_tracks) {
            track.second->sendStateTo(added);
        }
    }

    core::VersionId chooseVersion(const core::ServiceId &service, const std::string &route)
    {
        const auto configured = m_configuredVersions.find(service);
        core::VersionId version = configured == m_configuredVersions.end() ? core::VersionId() : configured->second;
        for (RolloutTrack *track : tracksOf(service)) {
            const configuration::Rollout &rollout = track->rollout();
            if (track->state().stage == Stage::TakenBack) {
                version = version == rollout.toVersion ? rollout.fromVersion : version;
            } else {
                version = track->chooseNewVersion(route) ? rollout.toVersion : rollout.fromVersion;
            }
        }
        return version;
    }

    bool isVersionAllowed(const core::ServiceId &service, const core::VersionId &version) const
    {
        const auto configured = m_configuredVersions.find(service);
        bool isAllowed = configured != m_configuredVersions.end() && configured->second == version;
        for (const RolloutTrack *track : tracksOf(service)) {
            if (version == track->rollout().fromVersion) {
                isAllowed = true;
            } else if (version == track->rollout().toVersion) {
                isAllowed = track->isNewVersionAllowed();
            }
        }
        return isAllowed;
    }

    void observe(const Observation &observation)
    {
        for (RolloutTrack *track : tracksOf(observation.service)) {
            track->observe(observation);
        }
    }

    std::vector<RolloutStatus> statuses() const
    {
        std::vector<RolloutStatus> all;
        for (const std::pair<const core::RolloutId, std::unique_ptr<RolloutTrack>> &track : m_tracks) {
            const StageNotice &state = track.second->state();
            all.push_back({track.first, state.stage, state.sharePermille, state.reason});
        }
        return all;
    }

    core::Signal<RolloutStatus> &changed()
    {
        return m_changed;
    }

    void handleMessage(const core::InstanceId &from, const messages::PeerMessage &message)
    {
        if (const StageNotice *notice = std::get_if<StageNotice>(&message)) {
            if (RolloutTrack *track = find(notice->rollout); track != nullptr) {
                track->handleNotice(from, *notice);
            }
        } else if (const EvidenceReport *report = std::get_if<EvidenceReport>(&message)) {
            if (RolloutTrack *track = find(report->rollout); track != nullptr) {
                track->handleEvidence(from, *report);
            }
        }
    }

    void handleReply(const platform::Reply &reply)
    {
        for (const std::pair<const core::RolloutId, std::unique_ptr<RolloutTrack>> &track : m_tracks) {
            if (track.second->handleReply(reply)) {
                return;
            }
        }
    }

    void handleWatch(const platform::WatchEvent &event)
    {
        const std::string prefix = platform::ROLLOUT_PREFIX;
        if (event.key.compare(0, prefix.size(), prefix) != 0) {
            return;
        }
        if (RolloutTrack *track = find(core::RolloutId(event.key.substr(prefix.size()))); track != nullptr) {
            track->updateRecord(event.value, event.modRevision);
        }
    }

private:
    void tick()
    {
        for (const std::pair<const core::RolloutId, std::unique_ptr<RolloutTrack>> &track : m_tracks) {
            track.second->tick();
        }
    }

    RolloutTrack *find(const core::RolloutId &id) const
    {
        const auto it = m_tracks.find(id);
        return it == m_tracks.end() ? nullptr : it->second.get();
    }

    /** Rollouts of a service, ordered by deadline. */
    std::vector<RolloutTrack *> tracksOf(const core::ServiceId &service) const
    {
        std::vector<RolloutTrack *> found;
        for (const std::pair<const core::RolloutId, std::unique_ptr<RolloutTrack>> &track : m_tracks) {
            if (track.second->rollout().service == service) {
                found.push_back(track.second.get());
            }
        }
        std::sort(found.begin(), found.end(), [](const RolloutTrack *left, const RolloutTrack *right) { //
            return left->rollout().deadline < right->rollout().deadline;
        });
        return found;
    }

    TrackContext m_context;
    core::Signal<RolloutStatus> m_changed;
    std::map<core::ServiceId, core::VersionId> m_configuredVersions;
    std::map<core::RolloutId, std::unique_ptr<RolloutTrack>> m_tracks;
    core::Subscription m_tickTimer;
};

RolloutBook::RolloutBook(membership::InstanceDescription self, std::uint64_t seed, core::TimerService &timers, messages::Outbox &outbox)
    : m_impl(std::make_unique<Impl>(std::move(self), seed, timers, outbox))
{
}

RolloutBook::~RolloutBook() = default;

void RolloutBook::configure(const configuration::Configuration &configuration)
{
    m_impl->configure(configuration);
}

void RolloutBook::setMembers(const std::vector<membership::InstanceDescription> &members)
{
    m_impl->setMembers(members);
}

core::VersionId RolloutBook::chooseVersion(const core::ServiceId &service, const std::string &route)
{
    return m_impl->chooseVersion(service, route);
}

bool RolloutBook::isVersionAllowed(const core::ServiceId &service, const core::VersionId &version) const
{
    return m_impl->isVersionAllowed(service, version);
}

void RolloutBook::observe(const Observation &observation)
{
    m_impl->observe(observation);
}

std::vector<RolloutStatus> RolloutBook::statuses() const
{
    return m_impl->statuses();
}

core::Signal<RolloutStatus> &RolloutBook::changed()
{
    return m_impl->changed();
}

void RolloutBook::handle(const messages::PeerReceived &event)
{
    m_impl->handleMessage(event.from, event.message);
}

void RolloutBook::handle(const messages::PlatformReplied &event)
{
    m_impl->handleReply(event.reply);
}

void RolloutBook::handle(const messages::PlatformWatched &event)
{
    m_impl->handleWatch(event.event);
}

} // namespace snipeferry::rollout
