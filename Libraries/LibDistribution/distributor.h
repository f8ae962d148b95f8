#pragma once

#include <LibConfiguration/configuration_head.h>
#include <LibConfiguration/version_store.h>
#include <LibCore/generator.h>
#include <LibCore/time.h>
#include <LibMembership/member.h>
#include <LibPlatform/object_store.h>
#include <memory>
#include <string>
#include <variant>
#include <vector>

namespace merlinpier {

// How relays hand a version on. Push sends the changed fragments at once: fewest milliseconds. Announce sends number
// and digest, and the receiver asks for what it lacks: fewest bytes when versions reach a daemon twice. Baseline makes
// every daemon watch the platform and read the whole configuration itself; it is kept to measure against.
enum class distribution_mode { Push, Announce, Baseline };

struct distribution_settings {
    distribution_mode mode { distribution_mode::Push };
    // How long one watch on the head waits.
    milliseconds watchTime { 20000 };
    milliseconds firstBackOff { 100 };
    milliseconds longestBackOff { 5000 };
    // A request to a peer that is not answered in this time is sent to another.
    milliseconds requestTimeout { 1000 };
    // Platform calls that this daemon may make, a minute.
    std::uint32_t platformCallsPerMinute { 60 };
};

// Asks the owner to read a platform object and to report by didReadPlatform().
struct read_platform {
    std::string key;
    bool operator==(read_platform const&) const = default;
};
// Asks the owner to watch the head and to report by didWatchPlatform().
struct watch_platform {
    std::uint64_t afterRevision { 0 };
    duration wait { 0 };
    bool operator==(watch_platform const&) const = default;
};
// A new set has been applied to the version store; the owner builds its routing snapshot.
struct version_applied {
    std::shared_ptr<configuration_set const> set;
    bool operator==(version_applied const&) const = default;
};
// A version could not be taken; the applied one stays.
struct version_refused {
    version_number version { 0 };
    error reason;
    bool operator==(version_refused const&) const = default;
};
using distribution_action = std::variant<send_message, read_platform, watch_platform, version_applied, version_refused>;

// Whom a daemon exchanges versions with now; taken from the membership before each event.
struct distribution_peers {
    bool isRelay { false };
    std::vector<std::string> relays;
    std::vector<std::string> subscribers;
    std::vector<std::string> remoteRelays;

    bool operator==(distribution_peers const&) const = default;
};

// Brings accepted versions from the platform or from peers into the version store and hands them on: relays watch the
// head within a call budget, fetch the fragments that they lack, and push or announce to subscribers and to the relays
// of other zones. Holds no I/O, clock, lock or random source.
class distributor {
public:
    explicit distributor(distribution_settings);

    version_store const& store() const { return m_store; }
    version_number highestKnown() const { return m_highestKnown; }
    // Since when the platform has not answered; nothing while it does or when this daemon does not watch it.
    std::optional<time_point> platformSilentSince() const { return m_platformSilentSince; }

    void setPeers(distribution_peers);
    // A version of the own VM's earlier life, learnt from peers' records.
    void raiseFloor(version_number);
    std::vector<distribution_action> tick(time_point now, generator&);
    // A peer, or a call's frame, showed a version number.
    std::vector<distribution_action> didHearVersion(std::string const& address, version_number, time_point now);
    // A version_announce, configuration_request or configuration_answer arrived.
    std::vector<distribution_action> didReceive(std::string const& fromAddress, message const&, time_point now);
    std::vector<distribution_action> didReadPlatform(
        std::string const& key, result<std::optional<stored_object>> const&, time_point now, generator&);
    std::vector<distribution_action> didWatchPlatform(
        result<std::optional<stored_object>> const&, time_point now, generator&);

private:
    distribution_settings m_settings;
    version_store m_store;
    version_number m_highestKnown { 0 };
    std::optional<time_point> m_platformSilentSince;
    distribution_peers m_peers;
    std::shared_ptr<struct distributor_internals> m_internals;
};

} // namespace merlinpier
