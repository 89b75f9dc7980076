#pragma once

#include "snipeferry/core/error.h"
#include "snipeferry/core/timerservice.h"
#include "snipeferry/gateway/model.h"
#include "snipeferry/gateway/rolloutguard.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

/**
 * Records of the store that the fleet and its operator share.
 */
namespace snipeferry::gateway {

/** Groups of records that are read and watched together. */
enum class Topic {
    /** What the operator wants. */
    Operator,
    /** Announcements of backend servers. */
    BackendServers,
    /** Announcements of instances. */
    Members,
};

NLOHMANN_JSON_SERIALIZE_ENUM(Topic, {{Topic::Operator, "operator"}, {Topic::BackendServers, "backend_servers"}, {Topic::Members, "members"}})

constexpr int TOPIC_COUNT = 3;

struct Record
{
    std::string key;
    std::string value;
    core::Revision revision = 0;

    SNIPEFERRY_VALUE(Record, key, value, revision)
};

/** One change of a topic; a removed record has no value. */
struct RecordChange
{
    std::string key;
    std::optional<std::string> value;
    core::Revision revision = 0;

    SNIPEFERRY_VALUE(RecordChange, key, value, revision)
};

/**
 * Copy of one topic with the revision up to which it is complete.
 *
 * It never goes back: a state of an older revision than the copy's own changes nothing.
 */
class RecordMirror
{
public:
    explicit RecordMirror(core::TimerService &timers);

    /** @brief Replaces all records by those of a full read. @return the changes that this makes */
    std::vector<RecordChange> replace(const std::vector<Record> &records, core::Revision revision);

    /** @brief Applies watched changes up to a revision. @return those that were new */
    std::vector<RecordChange> apply(const std::vector<RecordChange> &changes, core::Revision revision);

    /** @brief Notes that the store confirmed at a time that the copy's revision was the newest of the topic. */
    void confirm(absl::Time at);

    bool isLoaded() const;
    core::Revision revision() const;

    /** @brief Revision of the topic's newest change that the copy holds. */
    core::Revision changeRevision() const;
    absl::Time confirmedAt() const;
    std::vector<Record> records() const;
    const Record *find(const std::string &key) const;

private:
    core::TimerService &m_timers;
    std::map<std::string, Record> m_records;
    core::Revision m_revision = 0;
    core::Revision m_changeRevision = 0;
    bool m_isLoaded = false;
    absl::Time m_confirmedAt = absl::InfinitePast();
};

/** What one record of the operator's topic says. */
struct OperatorRecord
{
    enum class Kind {
        Deployment,
        Rollout,
        Evacuation,
        /** Of no meaning for this program. */
        Other,
    };

    Kind kind = Kind::Other;
    std::optional<Deployment> deployment;
    std::optional<RolloutOrder> rollout;
    core::DataCentreId dataCentre;
    /** What a removed record named: a rollout's service. */
    core::ServiceId service;
};

/** Strategy that decodes and encodes the records of one kind of store. */
class RecordCodec
{
public:
    virtual ~RecordCodec() = default;

    /** @brief Decodes a record of the operator; removed records have no value. */
    virtual core::Expected<OperatorRecord> decodeOperator(const RecordChange &change) const = 0;

    /** @brief Decodes an announcement of a backend server; an error for one that names none to use. */
    virtual core::Expected<BackendServer> decodeBackendServer(const std::string &key, const std::string &value) const = 0;

    /** @brief Identifier of the backend server that a record's key names. */
    virtual core::BackendServerId backendServerOf(const std::string &key) const = 0;

    virtual core::Expected<Member> decodeMember(const std::string &value) const = 0;
    virtual std::string encodeMember(const Member &member) const = 0;
    virtual std::string memberKey(const core::InstanceId &instance) const = 0;

    /** @brief Record that tells the operator how a rollout stands. */
    virtual Record rolloutStatus(const RolloutOrder &order, RolloutState state) const = 0;

    /** @brief Record that is written once for an order and holds its decision. */
    virtual Record rolloutDecision(const RolloutOrder &order, core::Revision revision, RolloutState state) const = 0;
    virtual core::Expected<RolloutState> decodeDecision(const std::string &value) const = 0;
};

} // namespace snipeferry::gateway
