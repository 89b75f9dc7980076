#include "fleet.h"
#include "snipeferry/platform/keys.h"

#include <catch2/catch.hpp>

using namespace snipeferry;

namespace {

/** Makes and confirms a plan through the whole procedures; returns the outcome. */
configuration::ConfirmResult::Outcome planAndConfirm(test::Fleet &fleet)
{
    fleet.startOperator();
    fleet.run(absl::Seconds(2));
    return fleet.history().confirmations.back().outcome;
}

core::Revision revisionOf(const test::Fleet &fleet, std::size_t instance)
{
    const std::shared_ptr<const configuration::Configuration> current = fleet.instance(instance).current();
    return current == nullptr ? 0 : current->revision;
}

} // namespace

TEST_CASE("configuration store: an instance that starts during an outage takes the peers' revision")
{
    test::Fleet fleet(3, 1);
    planAndConfirm(fleet);
    planAndConfirm(fleet);
    fleet.store().setDown(true);
    fleet.start(2);
    fleet.run(absl::Seconds(3));
    CHECK(revisionOf(fleet, 2) == 2);
}

TEST_CASE("configuration store: a starting instance ignores stale data of the platform while its peers hold a newer revision")
{
    for (std::uint64_t seed = 1; seed <= 50; ++seed) {
        INFO("seed " << seed);
        test::Fleet fleet(3, seed);
        planAndConfirm(fleet);
        fleet.store().rememberState();
        planAndConfirm(fleet);
        fleet.run(absl::Seconds(6));
        REQUIRE((revisionOf(fleet, 0) == 2 && revisionOf(fleet, 1) == 2));
        fleet.store().setStaleReads(true);
        fleet.start(2);
        fleet.run(absl::Seconds(5));
        CHECK(revisionOf(fleet, 2) == 2);
        for (const history::Activation &entry : fleet.history().activations) {
            CHECK((entry.observer != "i2.2" || entry.revision == 2));
        }
    }
}

TEST_CASE("configuration store: without the platform a change reaches all by peers")
{
    test::Fleet fleet(4, 1);
    planAndConfirm(fleet);
    for (std::size_t instance = 1; instance < 4; ++instance) {
        fleet.setPlatformCut(instance, true);
    }
    planAndConfirm(fleet);
    fleet.run(absl::Seconds(4));
    for (std::size_t instance = 0; instance < 4; ++instance) {
        CHECK(revisionOf(fleet, instance) == 2);
    }
}

TEST_CASE("configuration store: a manifest whose chunk is half written is never applied")
{
    test::Fleet fleet(1, 1);
    planAndConfirm(fleet);
    configuration::Manifest manifest = *configuration::decodeManifest(*fleet.store().value(platform::CONFIGURATION_KEY));
    const std::string key = manifest.chunks.front().key;
    const std::string whole = *fleet.store().value(key);
    manifest.revision = 2;
    manifest.accepted.push_back({2, "half"});
    manifest.chunks.front().key += "-next";
    manifest.chunks.front().digest = std::string(64, '0');
    fleet.store().put(manifest.chunks.front().key, whole.substr(0, whole.size() / 2));
    fleet.store().put(platform::CONFIGURATION_KEY, configuration::encodeManifest(manifest));
    fleet.run(absl::Seconds(10));
    CHECK(revisionOf(fleet, 0) == 1);
}

TEST_CASE("configuration store: a withdrawn key is remembered until it is issued again")
{
    core::VirtualTimerService timers;
    messages::Outbox outbox;
    configuration::ConfigurationStore store(timers, outbox);
    const core::InstanceId peer("p");
    const std::string digest(64, 'a');
    const auto receive = [&](core::Revision revision, std::vector<std::string> digests) {
        configuration::Configuration configuration = test::makeConfiguration(1);
        configuration.revision = revision;
        configuration.customers.front().keyDigests = std::move(digests);
        store.handle(messages::PeerReceived{peer, node::ConfigurationTransfer{configuration}});
        timers.advance(absl::Seconds(2));
    };
    receive(1, {digest});
    CHECK(store.keyStatus(digest).customer == core::CustomerId("c1"));
    receive(2, {});
    CHECK(store.keyStatus(digest).customer.isEmpty());
    CHECK(store.keyStatus(digest).wasWithdrawn);
    CHECK_FALSE(store.keyStatus(std::string(64, 'b')).wasWithdrawn);
    receive(1, {digest});
    CHECK(store.keyStatus(digest).wasWithdrawn);
    receive(3, {digest});
    CHECK_FALSE(store.keyStatus(digest).wasWithdrawn);
}

TEST_CASE("configuration store: a change of one customer among thousands reads the manifest and one chunk")
{
    configuration::Configuration before = test::makeConfiguration(1);
    for (int number = 0; number < 4200; ++number) {
        configuration::Customer customer = before.customers.front();
        customer.id = core::CustomerId("customer-" + std::to_string(number));
        customer.keyDigests = {};
        before.customers.push_back(customer);
    }
    configuration::Configuration after = before;
    after.customers[77].burst += 1;
    const std::vector<configuration::Chunk> old = configuration::splitConfiguration(before);
    const std::vector<configuration::Chunk> now = configuration::splitConfiguration(after);
    REQUIRE(old.size() == now.size());
    std::size_t changed = 0;
    for (std::size_t index = 0; index < now.size(); ++index) {
        changed += old[index].digest == now[index].digest ? 0 : 1;
        CHECK(now[index].bytes.size() < configuration::MAX_CHUNK_BYTES / 16);
    }
    CHECK(changed == 1);
}
