#include <Tests/StandIns/Target/work_ledger.h>

#include <nlohmann/json.hpp>

namespace merlinpier {

namespace {

char const* stateName(run_state state)
{
    switch (state) {
    case run_state::Running:
        return "running";
    case run_state::Finished:
        return "finished";
    case run_state::Cancelled:
        return "cancelled";
    }
    return "running";
}

} // namespace

work_ledger::run_index work_ledger::begin(ledger_entry entry)
{
    mutex_lock lock(m_mutex);
    m_entries.push_back(std::move(entry));
    return m_entries.size() - 1;
}

void work_ledger::end(run_index index, run_state state)
{
    mutex_lock lock(m_mutex);
    m_entries.at(index).state = state;
}

std::vector<ledger_entry> work_ledger::entries() const
{
    mutex_lock lock(m_mutex);
    return m_entries;
}

std::string work_ledger::json() const
{
    auto ran = nlohmann::json::array();
    for (auto const& entry : entries())
        ran.push_back({ { "call_id", entry.callId }, { "request_id", entry.requestId }, { "method", entry.method },
            { "path", entry.path }, { "state", stateName(entry.state) } });
    return nlohmann::json { { "ran", std::move(ran) } }.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

} // namespace merlinpier
