#pragma once

#include <LibConfiguration/configuration_head.h>
#include <LibConfiguration/version_store.h>
#include <LibCore/generator.h>
#include <LibCore/time.h>
#include <LibDistribution/distribution_settings.h>
#include <LibDistribution/peer_requests.h>
#include <LibDistribution/platform_calls.h>
#include <LibDistribution/version_assembly.h>
#include <LibMembership/member.h>
#include <LibPlatform/object_store.h>
#include <memory>
#include <string>
#include <variant>
#include <vector>

namespace merlinpier {

// A new set has been applied to the version store; the owner builds its routing snapshot.
struct version_applied {
    std::shared_ptr<configuration_set const> set;
    bool operator==(version_applied const&) const = default;
};
// A version could not be taken; the applied one stays. The number is 0 if the platform's head cannot be read.
struct version_refused {
    version_number version { 0 };
    error reason;
    bool operator==(version_refused const&) const = default;
};
using distribution_action
    = std::variant<send_message, read_platform_object, watch_platform_head, version_applied, version_refused>;

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
    std::optional<time_point> platformSilentSince() const { return m_calls.silentSince(); }

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
    using actions = std::vector<distribution_action>;

    bool watches() const { return m_peers.isRelay || m_settings.mode == distribution_mode::Baseline; }
    // Whether a version is worth having: above the applied one, not refused before, and not below the floor.
    bool isWanted(version_number) const;
    // The highest version known that is worth having, 0 for none.
    version_number wantedVersion() const;
    bool isReadingPlatform() const;

    void continueWatch(actions&, time_point now);
    void continueReads(actions&, time_point now);
    void continueRequests(actions&, time_point now);
    void didSeeHead(actions&, stored_object const&, time_point now);
    void didReadObject(std::string const& key, std::string const& content, time_point now, generator&);

    void didReceive(actions&, std::string const& from, version_announce const&, time_point now);
    void didReceive(actions&, std::string const& from, configuration_request const&) const;
    void didReceive(actions&, std::string const& from, configuration_answer const&, time_point now);

    // Starts to assemble a version, with the fragments that are there.
    version_assembly assemble(version_number) const;
    // Applies a complete version, or refuses it whole.
    void finish(actions&, version_assembly const&, std::string const& fromAddress, time_point now);
    void didFailPlatformCall(error const&, time_point now, generator&);
    void handOn(actions&, configuration_set const& previous, std::string const& fromAddress);
    void hear(std::string const& address, version_number);

    distribution_settings m_settings;
    version_store m_store;
    version_number m_highestKnown { 0 };
    distribution_peers m_peers;
    platform_calls m_calls;
    peer_requests m_requests;
    std::optional<version_assembly> m_assembly;
    // Since when a version above the applied one has been heard of.
    std::optional<time_point> m_behindSince;
    // When the assembly began, to turn to peers if the platform takes long.
    time_point m_assemblySince {};
    configuration_head m_head;
    std::uint64_t m_headRevision { 0 };
};

} // namespace merlinpier
