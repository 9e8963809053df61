#include "request/AdmissionSettings.h"

namespace yuccahook::request {

namespace {

constexpr std::uint8_t middlePriority = 1;
constexpr std::uint64_t lowestPriority = 7;
constexpr std::uint64_t maximumSlots = 10'000;
constexpr std::uint64_t maximumMillis = 3'600'000;
constexpr std::uint64_t maximumPercent = 100;
constexpr std::uint64_t maximumFactor = 1'000;
constexpr std::uint64_t maximumBurst = 10'000;

void readMillis(
    settings::ObjectReader& reader, std::string_view key, std::chrono::milliseconds& field, std::uint64_t minimum)
{
    auto millis = static_cast<std::uint64_t>(field.count());
    reader.integer(key, millis, minimum, maximumMillis);
    field = std::chrono::milliseconds(millis);
}

} // namespace

std::uint8_t AdmissionSettings::priorityOf(std::string_view method, std::string_view path) const
{
    for (const auto& rule : priorities) {
        if ((rule.method.empty() || rule.method == method) && path.starts_with(rule.path))
            return rule.priority;
    }
    return middlePriority;
}

void readAdmissionSettings(settings::ObjectReader& reader, AdmissionSettings& admission)
{
    reader.choice("discipline", admission.discipline);
    reader.integer("reservedSlots", admission.reservedSlots, 0, maximumSlots);
    reader.integer("minimumSharePercent", admission.minimumSharePercent, 1, maximumPercent);
    reader.integer("longFactor", admission.longFactor, 1, maximumFactor);
    readMillis(reader, "priorServiceMillis", admission.priorServiceTime, 1);
    readMillis(reader, "maximumWaitMillis", admission.maximumWait, 1);
    readMillis(reader, "slowStartMillis", admission.slowStart, 0);
    reader.flag("learnLimit", admission.learnLimit);
    reader.flag("offers", admission.offers);
    reader.integer("retryPercent", admission.retryPercent, 0, maximumPercent);
    reader.integer("retryBurst", admission.retryBurst, 0, maximumBurst);
    reader.objects("priorities", [&admission](settings::ObjectReader& rule) {
        auto& added = admission.priorities.emplace_back();
        rule.text("method", added.method);
        rule.text("path", added.path, true);
        rule.integer("priority", added.priority, 0, lowestPriority, true);
    });
}

} // namespace yuccahook::request
