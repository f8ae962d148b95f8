#pragma once

#include <LibConfiguration/configuration_set.h>
#include <string>

namespace merlinpier {

// Which version is applied here. The number only goes up: a lower one, or another content under the same number, is
// refused. A floor learnt from peers keeps a restarted daemon from serving an older version than its VM has served.
class version_store {
public:
    version_store();

    std::shared_ptr<configuration_set const> const& applied() const { return m_applied; }
    version_number floor() const { return m_floor; }
    // The highest version that was refused as invalid, and why; 0 if none is above the applied one.
    version_number refusedVersion() const { return m_refusedVersion; }
    std::string const& refusedReason() const { return m_refusedReason; }

    // Raises the floor to a version that this VM is known to have applied before.
    void raiseFloor(version_number);
    // Replaces the applied set whole, or changes nothing: Refused for a number at or below the applied one or below the
    // floor.
    result<empty> apply(std::shared_ptr<configuration_set const>);
    // Records that a version could not be taken.
    void refuse(version_number, std::string reason);
    // Whether a configuration at or above the floor is applied.
    bool isReady() const;

private:
    std::shared_ptr<configuration_set const> m_applied;
    version_number m_floor { 0 };
    version_number m_refusedVersion { 0 };
    std::string m_refusedReason;
};

} // namespace merlinpier
