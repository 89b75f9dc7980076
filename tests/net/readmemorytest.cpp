#include "snipeferry/net/readmemory.h"

#include <catch2/catch.hpp>

using namespace snipeferry;

// Failure (LOST): unfinished parts on many connections, each within its own bound, filled the memory of a process together.
TEST_CASE("unfinished parts of all connections together are bounded, and small ones are read whatever others hold")
{
    net::ReadMemory memory(20000);
    constexpr std::size_t FREE = net::ReadMemory::FREE_BYTES;
    CHECK(memory.update(0, 10000 + FREE));
    CHECK(memory.update(0, 10000 + FREE));
    CHECK_FALSE(memory.update(0, FREE + 1));
    CHECK(memory.update(0, FREE));
    CHECK(memory.bytes() == 20000);
    // A connection that holds less than before is never over the bound.
    CHECK(memory.update(10000 + FREE, 5000 + FREE));
    CHECK(memory.update(0, 5000 + FREE));
    CHECK(memory.update(10000 + FREE, 0));
    CHECK(memory.update(5000 + FREE, 0));
    CHECK(memory.update(5000 + FREE, 0));
    CHECK(memory.bytes() == 0);
}
