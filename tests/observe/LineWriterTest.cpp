#include "observe/LineWriter.h"

#include <array>
#include <doctest/doctest.h>
#include <string>
#include <unistd.h>

using namespace yuccahook;

TEST_CASE("Log lines never wait for a reader")
{
    std::array<int, 2> ends {};
    REQUIRE(pipe(ends.data()) == 0);
    std::array<char, 65536> chunk {};
    {
        observe::LineWriter writer(ends[1]);
        // A pipe of Linux holds 64 kB, so most of these find no room.
        for (int count = 0; count < 200; ++count)
            writer.write(std::string(1000, 'x'));
        CHECK(writer.dropped() > 100);
        CHECK(writer.dropped() < 200);
        REQUIRE(read(ends[0], chunk.data(), chunk.size()) > 0);
        writer.write("after");
    }
    close(ends[1]);
    std::string text;
    for (ssize_t count = 0; (count = read(ends[0], chunk.data(), chunk.size())) > 0;)
        text.append(chunk.data(), static_cast<std::size_t>(count));
    CHECK(text.find("log-lines-dropped") != std::string::npos);
    CHECK(text.ends_with("after\n"));
    close(ends[0]);
}
