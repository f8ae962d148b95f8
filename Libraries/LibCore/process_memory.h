#pragma once

#include <string>

namespace merlinpier {

// Has the allocator return large blocks to the system when they are freed. By default glibc raises the size from which
// it does so to that of the largest block freed so far, and keeps everything smaller. To be called at the start.
void returnFreedMemory();

// Frees the memory of a buffer that is empty and has grown large; a small one is kept for the next use.
void releaseIfEmpty(std::string& buffer);

} // namespace merlinpier
