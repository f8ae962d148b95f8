#pragma once

#include <LibCore/error.h>
#include <utility>
#include <variant>

namespace merlinpier {

// The value type of operations that return nothing but can fail.
using empty = std::monostate;

// Either the value of an operation or the error that it met.
template <typename Value> class [[nodiscard]] result {
public:
    result(Value value) // NOLINT: a value converts to its result so that functions can return it plainly
        : m_state(std::in_place_index<0>, std::move(value))
    {
    }
    result(error failure) // NOLINT: likewise for errors
        : m_state(std::in_place_index<1>, std::move(failure))
    {
    }

    bool isError() const { return m_state.index() == 1; }
    Value const& value() const& { return std::get<0>(m_state); }
    Value& value() & { return std::get<0>(m_state); }
    Value releaseValue() { return std::move(std::get<0>(m_state)); }
    merlinpier::error const& failure() const { return std::get<1>(m_state); }
    merlinpier::error releaseFailure() { return std::move(std::get<1>(m_state)); }

    bool operator==(result const&) const = default;

private:
    std::variant<Value, merlinpier::error> m_state;
};

} // namespace merlinpier

// Yields the value of a result or returns its error from the calling function.
#define TRY(expression)                                                                                                \
    ({                                                                                                                 \
        auto tryResult = (expression);                                                                                 \
        if (tryResult.isError())                                                                                       \
            return tryResult.releaseFailure();                                                                         \
        tryResult.releaseValue();                                                                                      \
    })
