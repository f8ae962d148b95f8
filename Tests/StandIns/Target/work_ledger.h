#pragma once

#include <LibCore/mutex.h>
#include <string>
#include <vector>

namespace merlinpier {

// How far a run has come.
enum class run_state { Running, Finished, Cancelled };

// One run of a request by a target.
struct ledger_entry {
    std::string callId;
    std::string requestId;
    std::string method;
    std::string path;
    run_state state { run_state::Running };

    bool operator==(ledger_entry const&) const = default;
};

// Everything that a target has ever begun to run, duplicates included, in order. Any thread may call.
class work_ledger {
public:
    using run_index = std::size_t;

    run_index begin(ledger_entry);
    void end(run_index, run_state);
    std::vector<ledger_entry> entries() const;
    // {"ran": [{"call_id", "request_id", "method", "path", "state"}]}
    std::string json() const;

private:
    mutable mutex m_mutex { lock_rank::Leaf };
    std::vector<ledger_entry> m_entries ABSL_GUARDED_BY(m_mutex);
};

} // namespace merlinpier
