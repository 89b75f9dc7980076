#pragma once

#include "snipeferry/core/error.h"
#include "snipeferry/core/timerservice.h"
#include "snipeferry/gateway/model.h"
#include "snipeferry/gateway/promptevidence.h"
#include "snipeferry/gateway/rolloutguard.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

/** Records in the store that the operator, the backend servers and the instances write. */
namespace snipeferry::gateway {

/** Group of records that are read and watched together. */
enum class Topic {
    /** Records of the operator: deployment, rollouts and evacuations. */
    Operator,
    /** Announcements of backend servers. */
    BackendServers,
    /** Announcements of gateway instances. */
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

/** Change of one record; without a value if the record was removed. */
struct RecordChange
{
    std::string key;
    std::optional<std::string> value;
    core::Revision revision = 0;

    SNIPEFERRY_VALUE(RecordChange, key, value, revision)
};

/**
 * Local copy of one topic, with the revision up to which it is complete.
 *
 * The copy never goes back: reads and changes older than its own revision are ignored. It may hold newer records than that, because the pages of a read may
 * differ in age. Only revision() tells which changes it surely contains.
 */
class RecordMirror
{
public:
    explicit RecordMirror(core::TimerService &timers);

    /**
     * @brief Replaces all records by those of a full read.
     * @return the resulting changes
     */
    std::vector<RecordChange> replace(const std::vector<Record> &records, core::Revision revision);

    /**
     * @brief Applies watched changes up to a revision.
     * @return the changes that were new to the copy
     */
    std::vector<RecordChange> apply(const std::vector<RecordChange> &changes, core::Revision revision);

    /** @brief Records the time at which the store confirmed that the copy was up to date. */
    void confirm(absl::Time at);

    /** @brief Whether the topic has been read at least once. */
    bool isLoaded() const;
    /** @brief Revision up to which the copy is complete: no change up to it is missing. */
    core::Revision revision() const;

    /** @brief Revision of the newest change in the copy, which may be above revision(). */
    core::Revision changeRevision() const;
    /** @brief Time of the latest confirmation; InfinitePast if there was none. */
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

/** Decoded record of the operator. */
struct OperatorRecord
{
    enum class Kind {
        Deployment,
        Rollout,
        Evacuation,
        /** Not used by this program. */
        Other,
    };

    Kind kind = Kind::Other;
    std::optional<Deployment> deployment;
    std::optional<RolloutOrder> rollout;
    /** The data centre of an evacuation. */
    core::DataCentreId dataCentre;
    /** The service of a rollout; also set if the record was removed. */
    core::ServiceId service;
};

/** Strategy that decodes and encodes the store's records in the format of one platform. */
class RecordCodec
{
public:
    virtual ~RecordCodec() = default;

    /** @brief Decodes a record of the operator. A removed record has no value. */
    virtual core::Expected<OperatorRecord> decodeOperator(const RecordChange &change) const = 0;

    /** @brief Decodes an announcement of a backend server; an error if the announcement is unusable. */
    virtual core::Expected<BackendServer> decodeBackendServer(const std::string &key, const std::string &value) const = 0;

    /** @brief Identifier of the backend server to which a record's key belongs. */
    virtual core::BackendServerId backendServerOf(const std::string &key) const = 0;

    virtual core::Expected<Member> decodeMember(const std::string &value) const = 0;
    virtual std::string encodeMember(const Member &member) const = 0;
    virtual std::string memberKey(const core::InstanceId &instance) const = 0;

    /** @brief Record that reports the state of a rollout to the operator. */
    virtual Record rolloutStatus(const RolloutOrder &order, RolloutState state) const = 0;

    /** @brief Record that stores the decision on a rollout order. It is written only once for each order. */
    virtual Record rolloutDecision(const RolloutOrder &order, core::Revision revision, RolloutState state) const = 0;
    virtual core::Expected<RolloutState> decodeDecision(const std::string &value) const = 0;

    /** @brief Record of the latest decision on a service's rollouts. It is read with the announcements of the instances. */
    virtual Record rolloutNotice(const RolloutNotice &notice) const = 0;
    virtual bool isRolloutNoticeKey(const std::string &key) const = 0;
    virtual core::Expected<RolloutNotice> decodeRolloutNotice(const std::string &value) const = 0;

    /** @brief Record of a quarantined prompt part. It is read with the announcements of the instances. */
    virtual Record quarantineRecord(const QuarantineRecord &record) const = 0;
    virtual bool isQuarantineKey(const std::string &key) const = 0;
    virtual core::Expected<QuarantineRecord> decodeQuarantine(const std::string &value) const = 0;
};

} // namespace snipeferry::gateway
