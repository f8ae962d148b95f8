#pragma once

#include <LibCore/result.h>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace merlinpier {

// Reads a JSON object of settings key by key, collecting every fault rather than the first: unknown keys, wrong types,
// values out of bounds, bad IP numbers. Keys carry their unit ("drain_timeout_ms").
class settings_reader {
public:
    // BadSettings if the text is no JSON object; the source's name goes into the messages.
    static result<settings_reader> tryCreate(std::string_view json, std::string sourceName);
    // Reads a file; BadSettings if it cannot be read.
    static result<settings_reader> tryCreateFromFile(std::string const& path);

    std::string requiredText(std::string const& key);
    std::string text(std::string const& key, std::string fallback);
    // One of the values listed.
    std::string choice(std::string const& key, std::vector<std::string> const& allowed, std::string fallback);
    std::int64_t number(std::string const& key, std::int64_t minimum, std::int64_t maximum, std::int64_t fallback);
    std::int64_t requiredNumber(std::string const& key, std::int64_t minimum, std::int64_t maximum);
    // "10.0.0.1:7000"; a port of 0 means any free one.
    std::string requiredEndpoint(std::string const& key);
    std::string endpointText(std::string const& key, std::string fallback);
    std::vector<std::string> endpoints(std::string const& key);
    // Adds a fault found by comparing settings with each other.
    void addFault(std::string message, std::string remedy);
    // Success if no fault was found and every key of the object was read; otherwise one error that lists all faults.
    result<empty> finish();

private:
    settings_reader() = default;
    std::shared_ptr<struct settings_reader_internals> m_internals;
};

} // namespace merlinpier
