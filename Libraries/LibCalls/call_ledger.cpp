#include <LibCalls/call_ledger.h>

#include <algorithm>

namespace merlinpier {

namespace {

constexpr milliseconds expiryPeriod { 1000 };

std::size_t bytesOf(call_answer const& answer)
{
    std::size_t bytes = answer.body.size();
    for (auto const& header : answer.headers)
        bytes += header.name.size() + header.value.size();
    return bytes;
}

} // namespace

call_ledger::call_ledger(std::size_t maximumAnswerBytes)
    : m_maximumAnswerBytes(maximumAnswerBytes)
{
}

ledger_entry* call_ledger::find(std::string const& call)
{
    auto const found = m_entries.find(call);
    return found == m_entries.end() ? nullptr : &found->second;
}

ledger_entry* call_ledger::findWaiter(call_waiter const& waiter, std::string const& call)
{
    auto* entry = find(call);
    if (!entry || std::find(entry->waiters.begin(), entry->waiters.end(), waiter) == entry->waiters.end())
        return nullptr;
    return entry;
}

ledger_entry& call_ledger::add(std::string const& call, ledger_entry entry)
{
    erase(call);
    return m_entries[call] = std::move(entry);
}

void call_ledger::finish(std::string const& call, call_answer answer, time_point now)
{
    auto& entry = m_entries.at(call);
    entry.state = run_state::Finished;
    entry.endedAt = now;
    m_answerBytes += bytesOf(answer);
    entry.answer = std::move(answer);
    m_answered.push_back(call);
    dropOldestAnswers();
}

void call_ledger::markLost(ledger_entry& entry, time_point now)
{
    entry.state = run_state::Lost;
    entry.endedAt = now;
}

void call_ledger::release(call_waiter const& waiter, std::string const& call)
{
    auto* entry = find(call);
    if (!entry)
        return;
    std::erase(entry->waiters, waiter);
    if (entry->waiters.empty() && entry->hasEnded() && !entry->isKeyed)
        erase(call);
}

void call_ledger::erase(std::string const& call)
{
    auto const found = m_entries.find(call);
    if (found == m_entries.end())
        return;
    dropAnswer(found->second);
    m_entries.erase(found);
}

void call_ledger::expire(time_point now)
{
    if (now < m_nextExpiry)
        return;
    m_nextExpiry = now + expiryPeriod;
    std::vector<std::string> expired;
    for (auto const& [call, entry] : m_entries) {
        if (entry.hasEnded() && now - entry.endedAt > entry.retention)
            expired.push_back(call);
    }
    for (auto const& call : expired)
        erase(call);
    std::erase_if(m_answered, [&](auto const& call) { return !m_entries.contains(call); });
}

std::size_t call_ledger::unsettled() const
{
    return std::count_if(m_entries.begin(), m_entries.end(), [](auto const& item) {
        auto const& entry = item.second;
        return !entry.hasEnded() || (entry.state == run_state::Finished && !entry.waiters.empty());
    });
}

std::vector<std::string> call_ledger::runningAt(std::string const& target) const
{
    std::vector<std::string> calls;
    for (auto const& [call, entry] : m_entries) {
        if (entry.state == run_state::Running && entry.call.target == target)
            calls.push_back(call);
    }
    return calls;
}

std::size_t call_ledger::runningRetries() const
{
    return std::count_if(m_entries.begin(), m_entries.end(),
        [](auto const& item) { return item.second.state == run_state::Running && item.second.call.isRetry; });
}

std::map<std::string, std::size_t> call_ledger::unansweredBulk(std::uint64_t ownInstance) const
{
    std::map<std::string, std::size_t> counts;
    for (auto const& [call, entry] : m_entries) {
        bool const isRemote = std::any_of(entry.waiters.begin(), entry.waiters.end(),
            [&](call_waiter const& waiter) { return waiter.instance != ownInstance; });
        if (entry.call.isBulk && !entry.hasEnded() && isRemote)
            ++counts[entry.call.entryPoint];
    }
    return counts;
}

void call_ledger::dropAnswer(ledger_entry& entry)
{
    if (!entry.answer)
        return;
    m_answerBytes -= bytesOf(*entry.answer);
    entry.answer.reset();
}

// Bounds memory by dropping the oldest answers. The entries stay, so that a repeated call is recognised and, unless it
// is idempotent, does not run again.
void call_ledger::dropOldestAnswers()
{
    while (m_answerBytes > m_maximumAnswerBytes && !m_answered.empty()) {
        auto* oldest = find(m_answered.front());
        m_answered.pop_front();
        if (!oldest || !oldest->answer)
            continue;
        dropAnswer(*oldest);
        oldest->state = run_state::Expired;
    }
}

} // namespace merlinpier
