#include <LibCore/process_memory.h>

#include <cstddef>
#include <malloc.h>

namespace merlinpier {

namespace {

// Bodies of large answers and the buffers that carry them are above this size, everything that small calls need below
// it. A block of its own costs two system calls and its page faults, about 20 us for 100 KB.
constexpr int separateBlockBytes = 32 * 1024;
constexpr int keptAtTopBytes = 64 * 1024;
constexpr std::size_t keptCapacity = 4 * 1024;

} // namespace

void returnFreedMemory()
{
    mallopt(M_MMAP_THRESHOLD, separateBlockBytes);
    mallopt(M_TRIM_THRESHOLD, keptAtTopBytes);
    mallopt(M_ARENA_MAX, 1);
}

void releaseIfEmpty(std::string& buffer)
{
    if (buffer.empty() && buffer.capacity() > keptCapacity)
        std::string().swap(buffer);
}

} // namespace merlinpier
