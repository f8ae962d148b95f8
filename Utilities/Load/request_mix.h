#pragma once

#include <LibConfiguration/questionnaire.h>
#include <LibCore/generator.h>
#include <LibCore/result.h>
#include <string>
#include <vector>

namespace merlinpier {

// One way of calling that the load tool draws from.
struct mix_entry {
    std::string service;
    std::string method { "GET" };
    // As in a questionnaire: "{name}" segments are filled in for each call.
    std::string path;
    bool isIdempotent { true };
    call_class callClass { call_class::Interactive };
    milliseconds deadline { 0 };
    // How often it is drawn, compared with the others.
    double weight { 1 };

    bool operator==(mix_entry const&) const = default;
};

// The ways of calling of one or several services, weighted.
class request_mix {
public:
    // BadInput if there is no entry.
    static result<request_mix> tryCreate(std::vector<mix_entry>);
    // Takes every entry point of the questionnaires, weighted by class.
    static result<request_mix> tryCreate(std::vector<questionnaire> const&);

    mix_entry const& draw(generator&) const;
    std::vector<mix_entry> const& entries() const { return m_entries; }

private:
    explicit request_mix(std::vector<mix_entry>);

    std::vector<mix_entry> m_entries;
    double m_totalWeight { 0 };
};

// Replaces each "{name}" segment of a path by the number.
std::string fillPath(std::string const& path, std::uint64_t number);

} // namespace merlinpier
