#include "forwardingpair.h"

namespace snipeferry::tests {

namespace {

const std::string NORTH = "north";
const std::string SOUTH = "south";
constexpr absl::Duration STEP = absl::Milliseconds(2);
constexpr absl::Duration LONGEST_WAY = absl::Milliseconds(60);
constexpr absl::Duration LONGEST_WORK = absl::Milliseconds(1700);
constexpr absl::Duration LONGEST_NOTICE = absl::Milliseconds(900);
constexpr absl::Duration LONGEST_CUT = absl::Milliseconds(700);
/** One run in so many is refused as not executed. */
constexpr int REFUSED_SHARE = 4;

} // namespace

/** One process of an instance, with test doubles around it. */
class ForwardingPair::Site : public gateway::FleetLinks
{
public:
    Site(ForwardingPair &owner, const std::string &siteName, const gateway::Member &siteMember)
        : pair(owner),
          name(siteName),
          member(siteMember),
          gateway(settings(siteMember), gateway::GatewayPorts{owner.m_timers, headers, records, runs, *this, journal})
    {
        const absl::Time now = pair.m_timers.now();
        gateway.topicRead(gateway::Topic::Operator, {{"deployment", nlohmann::json(GatewayFixture::deployment()).dump(), 1}}, 1, now);
        gateway::BackendServer server = GatewayFixture::server("s-" + name);
        server.dataCentre = core::DataCentreId("south-1");
        server.slots = 100;
        gateway.topicRead(gateway::Topic::BackendServers, {{server.id.value(), nlohmann::json(server).dump(), 1}}, 1, now);
        gateway.topicRead(gateway::Topic::Members, {{member.id.value(), nlohmann::json(member).dump(), 1}}, 1, now);
    }

    static gateway::GatewaySettings settings(const gateway::Member &self)
    {
        gateway::GatewaySettings settings = GatewayFixture::settings();
        settings.self = self;
        return settings;
    }

    bool send(const core::InstanceId & /*to*/, const gateway::FleetMessage &message) override
    {
        return pair.send(name, message);
    }

    void sendToAll(const std::vector<core::InstanceId> &to, const gateway::FleetMessage &message) override
    {
        for (const core::InstanceId &instance : to) {
            send(instance, message);
        }
    }

    ForwardingPair &pair;
    std::string name;
    gateway::Member member;
    FakeHeaders headers;
    FakeRecords records;
    FakeRuns runs;
    FakeJournal journal;
    /** The link as this end knows it, which may be lost already; 0 if it knows of none. */
    int link = 0;
    absl::Time noticesLossAt = absl::InfiniteFuture();
    std::size_t takenRuns = 0;
    std::size_t takenCancels = 0;
    gateway::Gateway gateway;
};

ForwardingPair::ForwardingPair(std::uint64_t seed)
    : m_random(seed)
{
    start(NORTH);
    start(SOUTH);
    m_connectAt = m_timers.now();
}

ForwardingPair::~ForwardingPair() = default;

std::string ForwardingPair::otherOf(const std::string &name)
{
    return name == NORTH ? SOUTH : NORTH;
}

absl::Duration ForwardingPair::upTo(absl::Duration most)
{
    return most * std::uniform_real_distribution<double>(0, 1)(m_random);
}

void ForwardingPair::start(const std::string &name)
{
    gateway::Member member = GatewayFixture::member("gw-" + name, name);
    // One process in two starts with a clock that is behind.
    m_lastIncarnation += m_random() % 2 == 0 ? 7 : -5;
    member.incarnation = m_lastIncarnation;
    m_sites[name] = std::make_unique<Site>(*this, name, member);
}

bool ForwardingPair::send(const std::string &from, const gateway::FleetMessage &message)
{
    const auto it = m_sites.find(from);
    if (it == m_sites.end() || it->second == nullptr || it->second->link == 0) {
        return false;
    }
    if (it->second->link != m_link) {
        noteLost(message);
    }
    const std::string to = otherOf(from);
    absl::Time &lastDue = m_lastDue[to];
    lastDue = std::max(lastDue, m_timers.now() + upTo(LONGEST_WAY));
    m_inFlight.push_back({lastDue, to, it->second->link, message});
    return true;
}

void ForwardingPair::deliver()
{
    std::vector<InFlight> due;
    std::vector<InFlight> later;
    for (InFlight &inFlight : m_inFlight) {
        (inFlight.due <= m_timers.now() ? due : later).push_back(std::move(inFlight));
    }
    m_inFlight = std::move(later);
    for (const InFlight &arrived : due) {
        if (arrived.link == m_link) {
            m_sites.at(arrived.to)->gateway.received(m_sites.at(otherOf(arrived.to))->member.id, arrived.message);
        }
    }
}

void ForwardingPair::noticeLoss(const std::string &name)
{
    Site &site = *m_sites.at(name);
    site.noticesLossAt = absl::InfiniteFuture();
    if (site.link != 0) {
        site.link = 0;
        site.gateway.linkDown(m_sites.at(otherOf(name))->member.id);
    }
}

void ForwardingPair::connect()
{
    noticeLoss(NORTH);
    noticeLoss(SOUTH);
    m_link = ++m_lastLink;
    m_connectAt = absl::InfiniteFuture();
    for (const std::string &name : {NORTH, SOUTH}) {
        m_sites.at(name)->link = m_link;
    }
    for (const std::string &name : {NORTH, SOUTH}) {
        m_sites.at(name)->gateway.linkUp(m_sites.at(otherOf(name))->member);
    }
}

void ForwardingPair::noteLost(const gateway::FleetMessage &message)
{
    if (const gateway::ForwardRequest *request = std::get_if<gateway::ForwardRequest>(&message)) {
        m_asked.at(request->request.id.value()).isDisturbed = true;
    }
}

void ForwardingPair::loseLink()
{
    m_link = 0;
    for (const InFlight &lost : m_inFlight) {
        noteLost(lost.message);
    }
    m_connectAt = m_timers.now() + upTo(LONGEST_CUT);
    for (const std::string &name : {NORTH, SOUTH}) {
        m_sites.at(name)->noticesLossAt = m_timers.now() + upTo(LONGEST_NOTICE);
    }
}

void ForwardingPair::restart(const std::string &name)
{
    for (auto &entry : m_asked) {
        Asked &asked = entry.second;
        asked.isDisturbed = asked.isDisturbed || asked.answer->finalCount == 0;
    }
    loseLink();
    m_sites.at(name) = nullptr;
    start(name);
    if (name == SOUTH) {
        m_work.clear();
    }
}

void ForwardingPair::ask()
{
    const std::string id = absl::StrCat("r", m_asked.size() + 1);
    Asked &asked = m_asked[id];
    asked.answer = std::make_shared<Answer>();
    gateway::HttpRequest request{"POST", "/south/x", {{"id", id}}, "body"};
    m_sites.at(NORTH)->gateway.requests().arrived(std::move(request), std::make_shared<FakeSink>(asked.answer));
}

void ForwardingPair::takeNewRuns()
{
    Site &south = *m_sites.at(SOUTH);
    for (; south.takenRuns < south.runs.sent.size(); ++south.takenRuns) {
        const SentRun &sent = south.runs.sent[south.takenRuns];
        const std::string id = FakeHeaders::value(sent.request.headers, "id");
        const bool isRefused = m_random() % REFUSED_SHARE == 0;
        m_asked.at(id).runs += isRefused ? 0 : 1;
        m_work[sent.run] = Work{id, m_timers.now() + upTo(LONGEST_WORK), isRefused};
    }
    for (; south.takenCancels < south.runs.cancelled.size(); ++south.takenCancels) {
        m_work.erase(south.runs.cancelled[south.takenCancels]);
    }
}

void ForwardingPair::finishRuns()
{
    gateway::Gateway &south = m_sites.at(SOUTH)->gateway;
    std::map<gateway::Number, Work> due;
    for (const auto &entry : m_work) {
        if (entry.second.due <= m_timers.now()) {
            due.insert(entry);
        }
    }
    for (const auto &entry : due) {
        m_work.erase(entry.first);
        if (entry.second.isRefused) {
            south.runHead(entry.first, {503, {{"not-run", "1"}}});
            continue;
        }
        south.runHead(entry.first, {200, {{"receipt", "x"}}});
        south.runData(entry.first, entry.second.request.substr(0, 1));
        south.runData(entry.first, entry.second.request.substr(1));
        south.runEnd(entry.first, gateway::AnswerEnd::Framed);
    }
    takeNewRuns();
}

void ForwardingPair::run(absl::Duration time)
{
    const absl::Time end = m_timers.now() + time;
    while (m_timers.now() < end) {
        m_timers.advance(STEP);
        for (const std::string &name : {NORTH, SOUTH}) {
            if (m_sites.at(name)->noticesLossAt <= m_timers.now()) {
                noticeLoss(name);
            }
        }
        if (m_connectAt <= m_timers.now()) {
            connect();
        }
        deliver();
        takeNewRuns();
        finishRuns();
    }
}

std::string ForwardingPair::violations() const
{
    std::string all;
    for (const auto &entry : m_asked) {
        const Asked &asked = entry.second;
        const Answer &answer = *asked.answer;
        if (answer.isComplete && answer.body != entry.first) {
            absl::StrAppend(&all, entry.first, " was answered with ", answer.body, "\n");
        }
        if (asked.runs > 1) {
            absl::StrAppend(&all, entry.first, " ran ", asked.runs, " times\n");
        }
        if (answer.status == 503 && asked.runs > 0) {
            absl::StrAppend(&all, entry.first, " was refused as not run, and has run\n");
        }
        if (!asked.isDisturbed && asked.runs > 0 && answer.status != 200) {
            absl::StrAppend(&all, entry.first, " was lost, status ", answer.status, "\n");
        }
        if (answer.finalCount > 1) {
            absl::StrAppend(&all, entry.first, " got two answers\n");
        }
    }
    return all;
}

std::size_t ForwardingPair::openCount() const
{
    return m_sites.at(NORTH)->gateway.openCount() + m_sites.at(SOUTH)->gateway.openCount() + m_work.size();
}

int ForwardingPair::successCount() const
{
    int count = 0;
    for (const auto &entry : m_asked) {
        count += entry.second.answer->isComplete ? 1 : 0;
    }
    return count;
}

} // namespace snipeferry::tests
