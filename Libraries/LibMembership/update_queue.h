#pragma once

#include <LibCore/time.h>
#include <map>
#include <optional>
#include <set>
#include <string>

namespace merlinpier {

// Collects what changed in the table until it is sent on, so that a burst of changes leaves as one message. A change
// after a quiet time leaves at once.
class update_queue {
public:
    // The record of the VM changed by a message from the address; empty for a change made here.
    void addRecord(std::string const& vm, std::string const& fromAddress) { m_records[vm] = fromAddress; }
    // Only the applied version of the VM rose.
    void addAppliedVersion(std::string const& vm) { m_appliedVersions.insert(vm); }

    // Changed VMs with the address that told of each.
    std::map<std::string, std::string> takeRecords(time_point now);
    std::set<std::string> takeAppliedVersions(time_point now);

private:
    std::map<std::string, std::string> m_records;
    std::set<std::string> m_appliedVersions;
    std::optional<time_point> m_recordsTakenAt;
    std::optional<time_point> m_appliedVersionsTakenAt;
};

} // namespace merlinpier
