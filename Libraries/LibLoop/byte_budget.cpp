#include <LibLoop/byte_budget.h>

#include <utility>

namespace merlinpier {

byte_budget::part::part(std::shared_ptr<byte_budget> budget)
    : m_budget(std::move(budget))
{
}

byte_budget::part::~part()
{
    if (m_budget)
        m_budget->m_held -= m_bytes;
}

byte_budget::part::part(part&& other) noexcept
    : m_budget(std::move(other.m_budget))
    , m_bytes(std::exchange(other.m_bytes, 0))
{
}

byte_budget::part& byte_budget::part::operator=(part&& other) noexcept
{
    std::swap(m_budget, other.m_budget);
    std::swap(m_bytes, other.m_bytes);
    return *this;
}

byte_budget::verdict byte_budget::part::grow(std::size_t bytes)
{
    if (bytes <= m_bytes)
        return verdict::Fits;
    if (bytes > m_budget->m_maximum / 2)
        return verdict::NeverFits;
    if (m_budget->m_held - m_bytes > m_budget->m_maximum - bytes)
        return verdict::FitsLater;
    m_budget->m_held += bytes - m_bytes;
    m_bytes = bytes;
    return verdict::Fits;
}

} // namespace merlinpier
