#pragma once

#include <cstddef>
#include <memory>
#include <string>
#include <utility>

namespace merlinpier {

// The body of an answer. Copies share the bytes, which never change: the ledger, the frames and the callers that refer
// to an answer hold its body once.
class shared_body {
public:
    shared_body() = default;
    // Implicit, so that a body is given as text.
    shared_body(std::string bytes)
        : m_bytes(bytes.empty() ? nullptr : std::make_shared<std::string>(std::move(bytes)))
    {
    }
    shared_body(char const* bytes)
        : shared_body(std::string(bytes))
    {
    }

    std::string const& text() const
    {
        static std::string const none;
        return m_bytes ? *m_bytes : none;
    }
    operator std::string const&() const { return text(); }
    std::size_t size() const { return text().size(); }
    bool empty() const { return !m_bytes; }

    // Hands out the bytes and leaves this body empty. They are copied only if another body shares them.
    std::string take()
    {
        auto const bytes = std::exchange(m_bytes, nullptr);
        if (!bytes)
            return {};
        return bytes.use_count() == 1 ? std::move(*bytes) : *bytes;
    }

    bool operator==(shared_body const& other) const { return text() == other.text(); }

private:
    std::shared_ptr<std::string> m_bytes;
};

} // namespace merlinpier
