#include "snipeferry/membership/memberlist.h"

#include "heartbeatsender.h"
#include "linkselector.h"
#include "membertable.h"
#include "peerhints.h"

#include <algorithm>
#include <map>
#include <utility>

namespace snipeferry::membership {

namespace {

/** A member in another data centre becomes unusable only after nothing arrived from it for this number of heartbeat intervals. */
constexpr int REMOTE_MISSED_HEARTBEATS = 4;
/** Links are selected at an interval of this duration times the number of candidates. */
constexpr absl::Duration LINK_SELECTION_INTERVAL_PER_CANDIDATE = absl::Milliseconds(5);

} // namespace

class MemberList::Impl
{
public:
    Impl(MembershipSettings settings, InstanceDescription self, core::TimerService &timers, messages::Outbox &outbox)
        : m_settings(std::move(settings)),
          m_self(std::move(self)),
          m_timers(timers),
          m_outbox(outbox),
          m_memberTable(m_self.id),
          m_hints(m_self, m_settings.seeds),
          m_linkSelector(m_self, m_settings.linksPerDataCentre),
          m_heartbeatSender(m_settings, m_self, m_memberTable, timers, outbox),
          m_lastTick(timers.now())
    {
        m_firstLinkSelectionTimer = m_timers.after(absl::ZeroDuration(), [this] { selectLinks(); });
        m_tickTimer = m_timers.every(m_settings.heartbeatInterval, [this] { tick(); });
    }

    std::vector<Member> members() const
    {
        std::vector<Member> all;
        all.reserve(m_memberTable.entries().size());
        for (const std::pair<const core::InstanceId, Entry> &entry : m_memberTable.entries()) {
            all.push_back(entry.second.member);
        }
        return all;
    }

    const Member *find(const core::InstanceId &id) const
    {
        const auto it = m_memberTable.entries().find(id);
        return it == m_memberTable.entries().end() ? nullptr : &it->second.member;
    }

    void receive(const core::InstanceId &from, const messages::PeerMessage &message)
    {
        if (const Hello *hello = std::get_if<Hello>(&message); hello != nullptr && hello->sender.id == from) {
            handleHello(*hello);
        } else if (const Heartbeat *heartbeat = std::get_if<Heartbeat>(&message); heartbeat != nullptr && heartbeat->sender.id == from) {
            handleHeartbeat(*heartbeat);
        } else if (const Pulse *pulse = std::get_if<Pulse>(&message); pulse != nullptr) {
            handlePulse(from, *pulse);
        }
    }

    void setLinked(const core::InstanceId &peer, bool isUp)
    {
        Entry *entry = m_memberTable.find(peer);
        if (entry == nullptr || entry->member.isLinked == isUp) {
            return;
        }
        entry->member.isLinked = isUp;
        if (isUp) {
            m_heartbeatSender.sendInitialHeartbeat(*entry);
        }
        refreshUsable(*entry);
        m_changed.emit({});
    }

    void drain()
    {
        m_self.isDraining = true;
        m_heartbeatSender.sendFullHeartbeatToAll();
    }

    void setState(core::Revision revision, std::vector<ServiceLoad> loads)
    {
        m_heartbeatSender.setState(revision, std::move(loads));
    }

    void replaceListedInstances(const platform::DirectorySnapshot &snapshot)
    {
        m_hints.replaceListed(snapshot.instances);
    }

    const InstanceDescription &self() const
    {
        return m_self;
    }

    core::Signal<MembersChanged> &changed()
    {
        return m_changed;
    }

private:
    void handleHello(const Hello &hello)
    {
        Entry *entry = m_memberTable.addOrUpdate(hello.sender, m_timers.now());
        if (entry == nullptr) {
            return;
        }
        recordContact(*entry);
        m_heartbeatSender.sendInitialHeartbeat(*entry);
    }

    void handleHeartbeat(const Heartbeat &heartbeat)
    {
        Entry *entry = m_memberTable.addOrUpdate(heartbeat.sender, m_timers.now());
        if (entry == nullptr || heartbeat.sequence < entry->sequence) {
            return;
        }
        const bool isFirst = entry->sequence == 0;
        entry->sequence = heartbeat.sequence;
        entry->wantsLoads = heartbeat.wantsLoads;
        entry->member.revision = heartbeat.revision;
        entry->member.loads = heartbeat.loads;
        m_hints.addReported(heartbeat.others, m_timers.now());
        recordContact(*entry);
        if (isFirst) {
            m_heartbeatSender.sendInitialHeartbeat(*entry);
        }
        m_changed.emit({});
    }

    void handlePulse(const core::InstanceId &from, const Pulse &pulse)
    {
        Entry *entry = m_memberTable.restore(from, pulse.incarnation, m_timers.now());
        if (entry == nullptr) {
            return;
        }
        const bool hasChanged = entry->member.revision != pulse.revision || !pulse.loads.empty();
        entry->member.revision = pulse.revision;
        applyChanges(entry->member.loads, pulse.loads);
        recordContact(*entry);
        if (hasChanged) {
            m_changed.emit({});
        }
    }

    void recordContact(Entry &entry)
    {
        m_hints.setSeedDataCentre(entry.member.description);
        entry.member.lastHeard = m_timers.now();
        entry.member.isLinked = true;
        refreshUsable(entry);
    }

    bool isSilent(const Entry &entry) const
    {
        return m_timers.now() - entry.member.lastHeard >= suspectAfter(entry);
    }

    /** Determines whether a member may get new work. If this changed, logs the change and emits changed(). */
    void refreshUsable(Entry &entry)
    {
        Member &member = entry.member;
        const bool isUsable = member.isLinked && !member.description.isDraining && !isSilent(entry);
        if (isUsable == member.isUsable) {
            return;
        }
        member.isUsable = isUsable;
        core::LogEvent event{isUsable ? "member_usable" : "member_unusable", {}};
        event.with("instance", member.description.id.value()).with("data_centre", member.description.dataCentre.value());
        event.with("silence_ms", std::to_string(absl::ToInt64Milliseconds(m_timers.now() - member.lastHeard)));
        event.with("linked", member.isLinked ? "yes" : "no").with("draining", member.description.isDraining ? "yes" : "no");
        m_outbox.push(messages::Log{std::move(event)});
        m_changed.emit({});
    }

    absl::Duration suspectAfter(const Entry &entry) const
    {
        return m_heartbeatSender.isRemote(entry) ? std::max(m_settings.suspectAfter, m_heartbeatSender.remotePulseInterval() * REMOTE_MISSED_HEARTBEATS)
                                                 : m_settings.suspectAfter;
    }

    absl::Duration removeAfter(const Entry &entry) const
    {
        return std::max(m_settings.removeAfter, suspectAfter(entry) * 2);
    }

    void tick()
    {
        compensateForPause();
        removeSilentMembers();
        for (std::pair<const core::InstanceId, Entry> &entry : m_memberTable.entries()) {
            refreshUsable(entry.second);
        }
        if (m_lastTick >= m_nextLinkSelection) {
            selectLinks();
        }
        sendToUnknownInstances();
        m_heartbeatSender.sendDueHeartbeats();
    }

    /**
     * Moves the time of the last message from each member forward by a pause of this process, if there was one. This process could not receive messages
     * during its pause, so the pause must not count as silence of the members.
     */
    void compensateForPause()
    {
        const absl::Time now = m_timers.now();
        const absl::Duration pause = now - m_lastTick - m_settings.heartbeatInterval;
        m_lastTick = now;
        if (pause < m_settings.heartbeatInterval) {
            return;
        }
        for (std::pair<const core::InstanceId, Entry> &entry : m_memberTable.entries()) {
            entry.second.member.lastHeard += pause;
        }
    }

    void removeSilentMembers()
    {
        const absl::Time now = m_timers.now();
        std::vector<core::InstanceId> silent;
        for (const std::pair<const core::InstanceId, Entry> &entry : m_memberTable.entries()) {
            if (now - entry.second.member.lastHeard >= removeAfter(entry.second)) {
                silent.push_back(entry.first);
            }
        }
        for (const core::InstanceId &id : silent) {
            core::LogEvent event{"member_dropped", {}};
            m_outbox.push(messages::Log{event.with("instance", id.value())});
            m_memberTable.remove(id);
        }
        m_memberTable.removeExpired(now);
        if (!silent.empty()) {
            m_changed.emit({});
        }
    }

    /** Selects the instances to which links are kept. If the selection changed, outputs the action KeepLinks. */
    void selectLinks()
    {
        const std::vector<LinkCandidate> linkCandidates = candidates();
        m_nextLinkSelection = m_timers.now() + static_cast<int>(linkCandidates.size()) * LINK_SELECTION_INTERVAL_PER_CANDIDATE;
        std::vector<InstanceDescription> links = m_linkSelector.select(linkCandidates, m_timers.now());
        const std::vector<InstanceDescription> seeds
            = m_hints.seedsWithoutId([this](const core::DataCentreId &dataCentre) { return m_memberTable.hasUsable(dataCentre); });
        links.insert(links.end(), seeds.begin(), seeds.end());
        if (links == m_keptLinks) {
            return;
        }
        m_keptLinks = std::move(links);
        m_heartbeatSender.setKeptLinks(m_keptLinks);
        m_outbox.push(messages::KeepLinks{m_keptLinks});
    }

    /**
     * Returns the members and the other known instances, one per address. Of several instances with the same address it takes one that is responding;
     * if that does not decide, the one with the highest incarnation.
     */
    std::vector<LinkCandidate> candidates()
    {
        std::map<core::InstanceId, LinkCandidate> byId;
        for (const InstanceDescription &hint : m_memberTable.removedInstances()) {
            byId[hint.id] = {hint, false};
        }
        for (const InstanceDescription &hint : m_hints.instancesWithId(m_timers.now())) {
            const auto known = byId.find(hint.id);
            if (known == byId.end() || known->second.description.incarnation <= hint.incarnation) {
                byId[hint.id] = {hint, false};
            }
        }
        for (const std::pair<const core::InstanceId, Entry> &entry : m_memberTable.entries()) {
            byId[entry.first] = {entry.second.member.description, entry.second.member.isLinked && !isSilent(entry.second)};
        }
        std::map<std::string, LinkCandidate> byAddress;
        for (const std::pair<const core::InstanceId, LinkCandidate> &candidate : byId) {
            const auto [it, isNew] = byAddress.try_emplace(candidate.second.description.peerAddress, candidate.second);
            if (!isNew && isPreferred(candidate.second, it->second)) {
                it->second = candidate.second;
            }
        }
        std::vector<LinkCandidate> list;
        list.reserve(byAddress.size());
        for (std::pair<const std::string, LinkCandidate> &candidate : byAddress) {
            list.push_back(std::move(candidate.second));
        }
        return list;
    }

    static bool isPreferred(const LinkCandidate &left, const LinkCandidate &right)
    {
        if (left.isResponding != right.isResponding) {
            return left.isResponding;
        }
        return left.description.incarnation > right.description.incarnation;
    }

    /** Sends a heartbeat to each instance to which a link is kept but which is not a member yet. The link may already be up. */
    void sendToUnknownInstances()
    {
        for (const InstanceDescription &kept : m_keptLinks) {
            if (!kept.id.isEmpty() && m_memberTable.find(kept.id) == nullptr) {
                m_heartbeatSender.sendToUnknown(kept);
            }
        }
    }

    MembershipSettings m_settings;
    InstanceDescription m_self;
    core::TimerService &m_timers;
    messages::Outbox &m_outbox;
    MemberTable m_memberTable;
    PeerHints m_hints;
    LinkSelector m_linkSelector;
    HeartbeatSender m_heartbeatSender;
    core::Signal<MembersChanged> m_changed;
    std::vector<InstanceDescription> m_keptLinks;
    absl::Time m_lastTick;
    absl::Time m_nextLinkSelection = absl::InfinitePast();
    core::Subscription m_firstLinkSelectionTimer;
    core::Subscription m_tickTimer;
};

MemberList::MemberList(MembershipSettings settings, InstanceDescription self, core::TimerService &timers, messages::Outbox &outbox)
    : m_impl(std::make_unique<Impl>(std::move(settings), std::move(self), timers, outbox))
{
}

MemberList::~MemberList() = default;

std::vector<Member> MemberList::members() const
{
    return m_impl->members();
}

const Member *MemberList::find(const core::InstanceId &id) const
{
    return m_impl->find(id);
}

const InstanceDescription &MemberList::self() const
{
    return m_impl->self();
}

void MemberList::setState(core::Revision revision, std::vector<ServiceLoad> loads)
{
    m_impl->setState(revision, std::move(loads));
}

void MemberList::drain()
{
    m_impl->drain();
}

core::Signal<MembersChanged> &MemberList::changed()
{
    return m_impl->changed();
}

void MemberList::handle(const messages::PeerReceived &event)
{
    m_impl->receive(event.from, event.message);
}

void MemberList::handle(const messages::PeerLinkChanged &event)
{
    m_impl->setLinked(event.peer, event.isUp);
}

void MemberList::handle(const messages::DirectoryChanged &event)
{
    m_impl->replaceListedInstances(event.snapshot);
}

} // namespace snipeferry::membership
