#pragma once

#include <LibCore/time.h>
#include <map>
#include <optional>
#include <set>
#include <string>

namespace merlinpier {

// Collects changes of the table until they are sent, so that a burst of changes is sent as one message. A change after
// an idle interval is sent at once.
class update_queue {
public:
    // The VM's record was changed by a message from the address; the address is empty for a change made here.
    void addRecord(std::string const& vm, std::string const& fromAddress) { m_records[vm] = fromAddress; }
    // Only the VM's applied version increased.
    void addAppliedVersion(std::string const& vm) { m_appliedVersions.insert(vm); }

    // Both return the changed VMs and clear the queue; empty if the minimum interval has not passed yet. Records come
    // with the address from which each change was received.
    std::map<std::string, std::string> takeRecords(time_point now);
    std::set<std::string> takeAppliedVersions(time_point now);

private:
    std::map<std::string, std::string> m_records;
    std::set<std::string> m_appliedVersions;
    std::optional<time_point> m_recordsTakenAt;
    std::optional<time_point> m_appliedVersionsTakenAt;
};

} // namespace merlinpier
