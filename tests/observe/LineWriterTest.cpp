#include "observe/LineWriter.h"

#include <array>
#include <doctest/doctest.h>
#include <string>
#include <unistd.h>

using namespace yuccahook;

TEST_CASE("Writing log lines never blocks on a slow reader")
{
    std::array<int, 2> pipeEnds {};
    REQUIRE(pipe(pipeEnds.data()) == 0);
    std::array<char, 65536> chunk {};
    {
        observe::LineWriter writer(pipeEnds[1]);
        // A Linux pipe holds 64 KiB, so most of these lines are dropped.
        for (int count = 0; count < 200; ++count)
            writer.write(std::string(1000, 'x'));
        CHECK(writer.dropped() > 100);
        CHECK(writer.dropped() < 200);
        REQUIRE(read(pipeEnds[0], chunk.data(), chunk.size()) > 0);
        writer.write("after");
    }
    close(pipeEnds[1]);
    std::string text;
    for (ssize_t count = 0; (count = read(pipeEnds[0], chunk.data(), chunk.size())) > 0;)
        text.append(chunk.data(), static_cast<std::size_t>(count));
    CHECK(text.find("log-lines-dropped") != std::string::npos);
    CHECK(text.ends_with("after\n"));
    close(pipeEnds[0]);
}
