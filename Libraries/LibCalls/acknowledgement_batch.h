#pragma once

#include <LibWire/call_messages.h>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace merlinpier {

// Collects acknowledgements of answers, so that one frame per daemon carries many. Delivery is not urgent: an answer
// that is not acknowledged is only kept longer.
class acknowledgement_batch {
public:
    void add(std::string const& address, std::string const& attempt) { m_attempts[address].push_back(attempt); }
    // Returns one frame for each daemon address and clears the batch.
    std::vector<std::pair<std::string, call_acknowledge>> take()
    {
        std::vector<std::pair<std::string, call_acknowledge>> frames;
        for (auto& [address, ids] : m_attempts)
            frames.emplace_back(address, call_acknowledge { std::move(ids) });
        m_attempts.clear();
        return frames;
    }

private:
    std::map<std::string, std::vector<std::string>> m_attempts;
};

} // namespace merlinpier
