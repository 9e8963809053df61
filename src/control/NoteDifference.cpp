#include "control/NoteDifference.h"

namespace yuccahook::control {

nlohmann::json toJson(const flow::ServiceSpec& service)
{
    nlohmann::json object { { "name", service.name }, { "protocol", kernel::nameOf(service.protocol) },
        { "address", service.address.text() }, { "buckets", service.buckets }, { "idleSeconds", service.idleSeconds },
        { "withdrawSeconds", service.withdrawSeconds } };
    if (!service.requestPolicy.empty())
        object["requests"] = nlohmann::json::parse(service.requestPolicy, nullptr, false);
    return object;
}

nlohmann::json noteDifference(const flow::Membership& membership, const Note& note)
{
    auto list = nlohmann::json::array();
    for (const auto& service : note.added)
        list.push_back({ { "service", service.name }, { "change", "added" }, { "after", toJson(service) } });
    for (const auto& changed : note.changed) {
        const std::string name = changed.value("name", "");
        const auto* existing = membership.serviceNamed(name);
        const auto before = existing ? toJson(*existing) : nlohmann::json::object();
        for (const auto& member : changed.items()) {
            const auto old = before.value(member.key(), nlohmann::json());
            if (old == member.value())
                continue;
            list.push_back({ { "service", name }, { "change", "changed" }, { "key", member.key() }, { "before", old },
                { "after", member.value() } });
        }
    }
    for (const auto& name : note.withdrawn)
        list.push_back({ { "service", name }, { "change", "withdrawn" } });
    return list;
}

} // namespace yuccahook::control
