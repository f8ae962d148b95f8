#include <Utilities/Load/request_mix.h>

namespace merlinpier {

namespace {

// Most calls look something up; confirmations are fewer, reports fewest.
constexpr double interactiveWeight = 8;
constexpr double confirmationWeight = 3;
constexpr double reportWeight = 1;

double weightOf(call_class callClass)
{
    switch (callClass) {
    case call_class::Interactive:
        return interactiveWeight;
    case call_class::Confirmation:
        return confirmationWeight;
    case call_class::Report:
        return reportWeight;
    }
    return interactiveWeight;
}

} // namespace

request_mix::request_mix(std::vector<mix_entry> entries)
    : m_entries(std::move(entries))
{
    for (auto const& entry : m_entries)
        m_totalWeight += entry.weight;
}

result<request_mix> request_mix::tryCreate(std::vector<mix_entry> entries)
{
    if (entries.empty())
        return error { error_kind::BadInput, "there is nothing to call", "give --mix FILE, or --service and --path" };
    return request_mix(std::move(entries));
}

result<request_mix> request_mix::tryCreate(std::vector<questionnaire> const& services)
{
    std::vector<mix_entry> entries;
    for (auto const& answers : services) {
        for (auto const& point : answers.entryPoints)
            entries.push_back({ answers.service, point.method, point.path, point.isIdempotent, point.callClass,
                point.deadline, weightOf(point.callClass) });
    }
    return tryCreate(std::move(entries));
}

mix_entry const& request_mix::draw(generator& source) const
{
    double left = uniformUnit(source) * m_totalWeight;
    for (auto const& entry : m_entries) {
        left -= entry.weight;
        if (left < 0)
            return entry;
    }
    return m_entries.back();
}

std::string fillPath(std::string const& path, std::uint64_t number)
{
    std::string filled;
    std::size_t at = 0;
    while (true) {
        auto const open = path.find('{', at);
        auto const close = path.find('}', at);
        if (open == std::string::npos || close == std::string::npos)
            return filled + path.substr(at);
        filled += path.substr(at, open - at) + std::to_string(number);
        at = close + 1;
    }
}

} // namespace merlinpier
