#include "AdmissionModel.h"

#include <doctest/doctest.h>

using namespace yuccahook;
using namespace std::chrono_literals;

namespace {

bench::ModelOptions overloadModel(std::uint32_t slots, double peak)
{
    bench::ModelOptions model;
    model.slots = slots;
    model.duration = 20s;
    model.measureFrom = 5s;
    model.load = [peak](bench::Time now) { return now < 2s ? 0.6 : peak; };
    model.faults.stragglerShare = 0.001;
    model.faults.lyingLoad = true;
    model.workloads = { { "status", "GET", "/status/1", 20ms, 0.7, 0.7, 2s, true, 1 },
        { "bid", "POST", "/bids", 30ms, 0.7, 0.3, 5s, false, 0 } };
    return model;
}

} // namespace

TEST_CASE("In overload the agents keep the backend servers busy with requests that meet their deadlines")
{
    for (const std::uint32_t slots : { 3, 7 }) {
        for (const double peak : { 2.0, 5.0 }) {
            CAPTURE(slots);
            CAPTURE(peak);
            const auto result = bench::runWithAdmission(overloadModel(slots, peak));
            CHECK(result.goodputSeconds() / result.capacitySeconds >= 0.95);
            CHECK(result.aboveSlots == 0);
            CHECK(result.ranTwice == 0);
            CHECK(result.falseNotRun == 0);
        }
    }
}

TEST_CASE("The benchmark's metrics detect the faults of a naive version without admission control")
{
    const auto result = bench::runNaive(overloadModel(3, 2));
    CHECK(result.goodputSeconds() / result.capacitySeconds < 0.5);
    CHECK(result.ranTwice > 0);
}
