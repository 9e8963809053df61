#include "kernel/Kernel.h"

#include <doctest/doctest.h>
#include <string>

using namespace yuccahook;

namespace {

class RecordingService final : public kernel::Service {
public:
    RecordingService(
        std::string name, std::vector<std::string_view> dependencies, std::string& record, bool startSucceeds = true)
        : m_name(std::move(name))
        , m_dependencies(std::move(dependencies))
        , m_record(record)
        , m_startSucceeds(startSucceeds)
    {
    }

    std::string_view name() const override { return m_name; }
    std::vector<std::string_view> dependencies() const override { return m_dependencies; }

    bool start() override
    {
        m_record += m_startSucceeds ? "+" + m_name : "!" + m_name;
        return m_startSucceeds;
    }

    void stop() override { m_record += "-" + m_name; }

private:
    const std::string m_name;
    const std::vector<std::string_view> m_dependencies;
    std::string& m_record;
    const bool m_startSucceeds;
};

} // namespace

TEST_CASE("A kernel starts services in the order of their dependencies")
{
    std::string record;
    kernel::Kernel kernel;
    const auto add = [&](const std::string& name, std::vector<std::string_view> dependencies,
                         bool startSucceeds = true) {
        return kernel.add(std::make_unique<RecordingService>(name, std::move(dependencies), record, startSucceeds));
    };

    SUBCASE("services registered before their dependencies start after them")
    {
        add("traffic", { "client" });
        add("client", { "settings" });
        add("settings", {});

        REQUIRE(kernel.start());
        CHECK(record == "+settings+client+traffic");

        SUBCASE("the kernel stops them in reverse order")
        {
            record.clear();
            kernel.stop();
            CHECK(record == "-traffic-client-settings");
        }

        SUBCASE("the kernel finds them by name and type")
        {
            CHECK(kernel.find<RecordingService>("client") != nullptr);
            CHECK(kernel.find<RecordingService>("missing") == nullptr);
        }
    }

    SUBCASE("a missing dependency is reported by name")
    {
        add("traffic", { "client" });
        CHECK_FALSE(kernel.start());
        CHECK(kernel.lastFault()->error == kernel::KernelError::MissingDependency);
        CHECK(kernel.lastFault()->service == "client");
    }

    SUBCASE("a circular dependency is refused")
    {
        add("one", { "two" });
        add("two", { "one" });
        CHECK_FALSE(kernel.start());
        CHECK(kernel.lastFault()->error == kernel::KernelError::CircularDependency);
    }

    SUBCASE("a second service with the same name is refused")
    {
        add("one", {});
        CHECK_FALSE(add("one", {}));
        CHECK(kernel.lastFault()->error == kernel::KernelError::DuplicateName);
    }

    SUBCASE("when a service fails to start, those already started are stopped")
    {
        add("one", {});
        add("two", { "one" }, false);
        CHECK_FALSE(kernel.start());
        CHECK(record == "+one!two-one");
        CHECK(kernel.lastFault()->error == kernel::KernelError::ServiceFailed);
    }
}
