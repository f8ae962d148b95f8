#pragma once

#include <cstddef>
#include <limits>
#include <memory>

namespace merlinpier {

// The bytes that several holders may have together. Each may have half of them at most, so that the others are not
// left without any.
class byte_budget {
public:
    enum class verdict { Fits, FitsLater, NeverFits };

    void setMaximum(std::size_t bytes) { m_maximum = bytes; }
    std::size_t held() const { return m_held; }

    // What one holder has; given back when it is destroyed.
    class part {
    public:
        explicit part(std::shared_ptr<byte_budget>);
        ~part();
        part(part&&) noexcept;
        part& operator=(part&&) noexcept;

        // Has this many bytes from now on, or keeps what it has if they do not fit.
        verdict grow(std::size_t bytes);

    private:
        std::shared_ptr<byte_budget> m_budget;
        std::size_t m_bytes { 0 };
    };

private:
    std::size_t m_maximum { std::numeric_limits<std::size_t>::max() };
    std::size_t m_held { 0 };
};

} // namespace merlinpier
