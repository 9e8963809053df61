#include "roles/ExplainCommand.h"

#include <doctest/doctest.h>
#include <filesystem>
#include <fstream>
#include <sstream>

using namespace yuccahook;

TEST_CASE("The explain command shows a flow from the logs of all instances")
{
    const auto folder = std::filesystem::temp_directory_path() / "yuccahook-explain-test";
    std::filesystem::create_directories(folder);
    const auto write = [&folder](const std::string& name, const std::string& text) {
        std::ofstream(folder / name) << text;
        return (folder / name).string();
    };
    const auto agent = write("agent.log",
        "{\"time\":10.25,\"level\":\"warn\",\"instance\":\"a\",\"event\":\"flow\",\"caller\":\"1.2.3.4:5\","
        "\"verdict\":\"refused\",\"reason\":\"slots-taken\"}\nnot a line\n{\"time\":1e999}\n");
    const auto balancer = write("balancer.log",
        "prefix {\"time\":9,\"instance\":\"b\",\"event\":\"membership\",\"revision\":7}\n"
        "prefix {\"time\":10,\"instance\":\"b\",\"event\":\"flow\",\"caller\":\"1.2.3.4:5\",\"verdict\":\"sent\"}\n"
        "prefix {\"time\":10.1,\"instance\":\"b\",\"event\":\"flow\",\"caller\":\"1.2.3.4:6\",\"verdict\":\"sent\"}\n");
    std::ostringstream out;
    std::ostringstream err;

    SUBCASE("lines are in order of time, preceded by the state of their instance")
    {
        CHECK(roles::runExplain("1.2.3.4:5", { agent, balancer }, out, err) == 0);
        CHECK(out.str()
            == "-1000 ms  b  membership  {\"revision\":7}\n"
               "0 ms  b  flow  {\"caller\":\"1.2.3.4:5\",\"verdict\":\"sent\"}\n"
               "250 ms  a  flow  {\"caller\":\"1.2.3.4:5\",\"reason\":\"slots-taken\",\"verdict\":\"refused\"}\n");
    }

    SUBCASE("an unknown caller and a missing file are reported")
    {
        CHECK(roles::runExplain("9.9.9.9:9", { agent }, out, err) != 0);
        CHECK(err.str().find("no line of caller 9.9.9.9:9") != std::string::npos);
        CHECK(roles::runExplain("1.2.3.4:5", { "/nonexistent/file" }, out, err) != 0);
        CHECK(err.str().find("can't be read") != std::string::npos);
    }
    std::filesystem::remove_all(folder);
}
