#pragma once

#include <cstddef>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace merlinpier {

// Lets one suspect run at a target at a time, so that a crash tells which of them has caused it. Others wait in order
// of arrival.
class target_trials {
public:
    enum class verdict { Start, Wait, Refuse };
    // A suspect wants to run at the target; Refuse if too many wait already.
    verdict add(std::string const& target, std::string const& call);
    // The call has ended or been withdrawn.
    void remove(std::string const& target, std::string const& call);
    // The next call to start at each target without a trial; it counts as started.
    std::vector<std::string> takeNext();
    std::vector<std::string> waiting() const;
    std::optional<std::string> current(std::string const& target) const;

private:
    struct trial {
        std::optional<std::string> current;
        std::deque<std::string> waiting;
    };

    std::map<std::string, trial> m_trials;
};

} // namespace merlinpier
