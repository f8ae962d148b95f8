#pragma once

#include <LibWire/crash_report.h>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace merlinpier {

// What a target can take. Starting targets are not called; draining ones finish what they have.
enum class target_state : std::uint8_t { Starting, Ready, Draining, Gone };

// Whether a VM takes part. Leaving VMs finish what they have.
enum class member_state : std::uint8_t { Alive, Leaving, Gone };

// Limits on requests are sent in thousandths of a request a second.
inline constexpr double milliPerRequest = 1000;

// How far a rollout has come. It only rises: Running targets of the new version get a small share of the requests;
// Switching ones get all of them while those of the old version end their work; Done and RolledBack are final.
enum class rollout_state : std::uint8_t { Running, Switching, Done, RolledBack };

// A rollout as the publishing daemon knows it.
struct rollout_report {
    std::string service;
    // The revision of the order in the platform's store. A higher one replaces a lower one.
    std::uint64_t order { 0 };
    std::string targetVersion;
    rollout_state state { rollout_state::Running };
    // Time since the order when the report was published, and from the order to its deadline.
    std::uint32_t ageMs { 0 };
    std::uint32_t durationMs { 0 };

    bool operator==(rollout_report const&) const = default;
};

// What runs of one kind of call have shown since the target's start. Counts only rise.
struct kind_evidence {
    std::string kind;
    std::uint32_t runs { 0 };
    std::uint32_t failures { 0 };
    // Sum of the runs' durations.
    std::uint64_t totalMs { 0 };

    bool operator==(kind_evidence const&) const = default;
};

// How many requests a second of a tenant a sender has lately been offered, in thousandths.
struct tenant_demand {
    // Hash of the tenant's name.
    std::uint64_t tenant { 0 };
    std::uint64_t milliPerSecond { 0 };

    bool operator==(tenant_demand const&) const = default;
};

// The state of one target, written only by the daemon of the target's VM.
struct target_record {
    // Unique in the fleet.
    std::string id;
    std::string service;
    std::string licence;
    // Rises with each claim on the licence; of two claims the higher holds.
    std::uint64_t claim { 0 };
    target_state state { target_state::Starting };
    std::uint32_t slots { 0 };
    // Start time of the target's incarnation if that incarnation is leaving on its own account; 0 if it is not, or is
    // only draining because its daemon stops. Tells the daemon's next process which incarnation not to use again.
    std::uint64_t departedStart { 0 };
    // Start time of the target's incarnation, in milliseconds of its own clock; 0 if it is not known.
    std::uint64_t startedAt { 0 };
    // The limit on requests that the target has announced, in thousandths of a request a second, for all callers
    // together; nothing if it has none. Rounded, so that small changes are not published.
    std::optional<std::uint64_t> requestLimitMilli;
    // Version of the target's software; empty if it is not known.
    std::string version {};
    // What the target's runs have shown, while a rollout of its service is under way.
    std::vector<kind_evidence> evidence {};

    bool operator==(target_record const&) const = default;

    // The limit in requests a second.
    std::optional<double> requestLimit() const
    {
        return requestLimitMilli ? std::optional(static_cast<double>(*requestLimitMilli) / milliPerRequest)
                                 : std::nullopt;
    }
    void setRequestLimit(std::optional<double> requestsPerSecond)
    {
        requestLimitMilli.reset();
        if (requestsPerSecond)
            requestLimitMilli = static_cast<std::uint64_t>(*requestsPerSecond * milliPerRequest);
    }
};

// The state of one VM, written only by its own daemon; but a relay of its zone may set Gone without raising the
// incarnation, which the owner refutes by raising its incarnation.
struct member_record {
    std::string vm;
    std::string zone;
    // IP number and port of the daemon's peer listener, "10.0.0.1:7000".
    std::string address;
    // IP number and port of its HTTP listener.
    std::string httpAddress;
    std::uint64_t incarnation { 0 };
    std::uint64_t sequence { 0 };
    // Drawn at random at each start of the daemon; names the call ledger that calls address.
    std::uint64_t instance { 0 };
    member_state state { member_state::Alive };
    std::uint64_t appliedVersion { 0 };
    std::uint64_t refusedVersion { 0 };
    std::string refusedReason;
    std::vector<target_record> targets;
    // Bandwidth of the VM's own link in megabits a second; 0 if not known. VMs with the widest links relay.
    std::uint32_t linkMbps { 0 };
    // The requests that may have crashed targets of this VM, and those that runs here have cleared.
    std::vector<crash_report> crashReports {};
    // The rollouts that this daemon knows of.
    std::vector<rollout_report> rollouts {};

    bool operator==(member_record const&) const = default;
};

// Sent by a member to each relay of its zone, once a period.
struct heartbeat {
    std::string vm;
    std::uint64_t incarnation { 0 };
    std::uint64_t sequence { 0 };
    std::uint64_t appliedVersion { 0 };
    std::uint64_t highestKnownVersion { 0 };
    std::uint64_t tableDigest { 0 };
    // Asks the receiver to act as relay for the sender whatever its own view says.
    bool subscribes { false };
    // What the sender's VM, or as a relay its zone, has lately been offered by tenants.
    std::vector<tenant_demand> tenantDemand {};

    bool operator==(heartbeat const&) const = default;
};

// The relay's reply to a heartbeat.
struct heartbeat_answer {
    std::string vm;
    std::uint64_t highestKnownVersion { 0 };
    std::uint64_t tableDigest { 0 };
    bool isRelay { false };
    // Above zero when the relay has as many subscribers as it takes: come back after this time.
    std::uint32_t retryAfterMs { 0 };
    // What all VMs together have lately been offered by the tenants that the heartbeat names.
    std::vector<tenant_demand> tenantDemand {};

    bool operator==(heartbeat_answer const&) const = default;
};

// Records that the receiver may not have yet.
struct membership_update {
    std::vector<member_record> records;

    bool operator==(membership_update const&) const = default;
};

// Asks for the records of every bucket whose digest differs from the receiver's.
struct membership_digest {
    std::vector<std::uint64_t> buckets;

    bool operator==(membership_digest const&) const = default;
};

} // namespace merlinpier
