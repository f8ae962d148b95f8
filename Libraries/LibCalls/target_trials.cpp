#include <LibCalls/target_trials.h>

#include <algorithm>

namespace merlinpier {

namespace {

constexpr std::size_t maximumWaiting = 8;

} // namespace

target_trials::verdict target_trials::add(std::string const& target, std::string const& call)
{
    auto& trial = m_trials[target];
    if (!trial.current) {
        trial.current = call;
        return verdict::Start;
    }
    if (trial.waiting.size() >= maximumWaiting)
        return verdict::Refuse;
    trial.waiting.push_back(call);
    return verdict::Wait;
}

void target_trials::remove(std::string const& target, std::string const& call)
{
    auto const found = m_trials.find(target);
    if (found == m_trials.end())
        return;
    auto& trial = found->second;
    if (trial.current == call)
        trial.current.reset();
    std::erase(trial.waiting, call);
    if (!trial.current && trial.waiting.empty())
        m_trials.erase(found);
}

std::vector<std::string> target_trials::takeNext()
{
    std::vector<std::string> calls;
    for (auto& [target, trial] : m_trials) {
        if (trial.current || trial.waiting.empty())
            continue;
        trial.current = trial.waiting.front();
        trial.waiting.pop_front();
        calls.push_back(*trial.current);
    }
    return calls;
}

std::vector<std::string> target_trials::waiting() const
{
    std::vector<std::string> calls;
    for (auto const& [target, trial] : m_trials)
        calls.insert(calls.end(), trial.waiting.begin(), trial.waiting.end());
    return calls;
}

std::optional<std::string> target_trials::current(std::string const& target) const
{
    auto const found = m_trials.find(target);
    return found == m_trials.end() ? std::nullopt : found->second.current;
}

} // namespace merlinpier
