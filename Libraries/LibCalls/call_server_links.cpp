#include <LibCalls/call_server.h>

#include <LibRouting/link_load.h>
#include <algorithm>

// The part of call_server that admits calls with large answers by the VM's link.

namespace merlinpier {

namespace {

// Sizes vary from answer to answer; a tenth follows a change within some ten answers.
constexpr double sizeSmoothingFactor = 0.1;

} // namespace

void call_server::learnAnswerSize(call_request const& call, call_answer const& answer)
{
    if (!call.isBulk)
        return;
    auto const bytes = static_cast<double>(answer.body.size());
    auto const [mean, isNew] = m_meanAnswerBytes.try_emplace(call.entryPoint, bytes);
    if (!isNew)
        mean->second += (bytes - mean->second) * sizeSmoothingFactor;
}

std::size_t call_server::expectedAnswerBytes(std::string const& kind) const
{
    auto const found = m_meanAnswerBytes.find(kind);
    return found == m_meanAnswerBytes.end() ? 0 : static_cast<std::size_t>(found->second);
}

std::optional<milliseconds> call_server::linkShortFor(call_origin const& origin, call_request const& call) const
{
    // Answers to this VM's own callers do not pass the link between daemons.
    if (!call.isBulk || m_settings.linkMbps == 0 || origin.instance == m_settings.instance)
        return std::nullopt;
    link_load link(m_settings.linkMbps);
    link.didBegin(m_linkBacklog);
    for (auto const& [kind, count] : m_ledger.unansweredBulk(m_settings.instance))
        link.didBegin(count * expectedAnswerBytes(kind));
    auto const service = std::chrono::microseconds(serviceUsOf(call));
    // The link sends what is ahead while the call runs.
    auto const ahead = std::max<duration>(service, link.timeToPass(0));
    auto const needed = ahead + link_load::transferTime(m_settings.linkMbps, expectedAnswerBytes(call.entryPoint));
    auto const available = milliseconds(call.remainingMs) - m_settings.deadlineMargin;
    if (needed <= available)
        return std::nullopt;
    return std::max(std::chrono::ceil<milliseconds>(needed - available), milliseconds(1));
}

} // namespace merlinpier
