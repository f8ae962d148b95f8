#pragma once

#include <LibConfiguration/configuration_set.h>
#include <string>

namespace merlinpier {

// Holds the version that this daemon has applied. Versions only increase: a lower one, or different content under the
// same number, is refused. The floor, learnt from peers, keeps a restarted daemon from serving an older version than
// its VM has served before.
class version_store {
public:
    version_store();

    std::shared_ptr<configuration_set const> const& applied() const { return m_applied; }
    version_number floor() const { return m_floor; }
    // The highest version above the applied one that was refused as invalid, and the reason; 0 if there is none.
    version_number refusedVersion() const { return m_refusedVersion; }
    std::string const& refusedReason() const { return m_refusedReason; }

    // Raises the floor to a version that this VM is known to have applied before.
    void raiseFloor(version_number);
    // Replaces the applied set. Refused, without any change, for a version at or below the applied one or below the
    // floor.
    result<empty> apply(std::shared_ptr<configuration_set const>);
    // Records that a version could not be applied. Ignored for a version at or below the applied one, or below a
    // version recorded before.
    void refuse(version_number, std::string reason);
    // Whether a submitted configuration at or above the floor is applied.
    bool isReady() const;

private:
    std::shared_ptr<configuration_set const> m_applied;
    version_number m_floor { 0 };
    version_number m_refusedVersion { 0 };
    std::string m_refusedReason;
};

} // namespace merlinpier
