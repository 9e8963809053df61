#include "control/Note.h"

#include "request/RequestPolicy.h"
#include "settings/ObjectReader.h"

#include <set>

namespace yuccahook::control {

namespace {

using settings::FaultKind;
using settings::Faults;
using settings::ObjectReader;

constexpr std::uint64_t minimumBuckets = 16;
constexpr std::uint64_t maximumBuckets = 65'536;
constexpr std::uint64_t maximumPeriodSeconds = 86'400;
constexpr std::size_t maximumNameCharacters = 64;

bool isName(std::string_view name)
{
    const auto allowed = [](char letter) {
        return (letter >= 'a' && letter <= 'z') || (letter >= '0' && letter <= '9') || letter == '-' || letter == '_';
    };
    return !name.empty() && name.size() <= maximumNameCharacters && std::all_of(name.begin(), name.end(), allowed);
}

void checkName(ObjectReader& reader, const std::string& name, std::set<std::string>& names)
{
    if (!isName(name))
        reader.addFault(FaultKind::Malformed, "name", '"' + name + '"', "1 to 64 characters of a-z, 0-9, - and _");
    else if (!names.insert(name).second)
        reader.addFault(FaultKind::Duplicate, "name", name, "each service once in a note");
}

} // namespace

void readService(
    const nlohmann::json& object, const std::string& path, bool isNew, flow::ServiceSpec& spec, Faults& faults)
{
    ObjectReader reader(object, path, faults);
    reader.text("name", spec.name, true);
    reader.choice("protocol", spec.protocol, isNew);
    reader.address("address", spec.address, isNew);
    reader.integer("buckets", spec.buckets, minimumBuckets, maximumBuckets);
    reader.integer("idleSeconds", spec.idleSeconds, 1, maximumPeriodSeconds);
    reader.integer("withdrawSeconds", spec.withdrawSeconds, 0, maximumPeriodSeconds);
    if (reader.has("requests")) {
        request::RequestPolicy policy;
        reader.object("requests", [&policy](ObjectReader& inner) { request::readRequestPolicy(inner, policy); });
        spec.requestPolicy = object["requests"].dump();
    }
    reader.reportUnknownKeys();
}

std::optional<Note> parseNote(std::string_view text, Faults& faults)
{
    const std::size_t faultsBefore = faults.size();
    const auto document = settings::parseJson(text, faults);
    if (!document)
        return std::nullopt;
    Note note;
    note.content = document->dump(-1, ' ', true, nlohmann::json::error_handler_t::replace);
    ObjectReader reader(*document, "", faults);
    reader.number("number", note.number, 1, UINT64_MAX, true);
    reader.text("author", note.author, true);
    if (reader.has("basedOn")) {
        note.basedOn = 0;
        reader.number("basedOn", *note.basedOn, 0, UINT64_MAX);
    }
    std::set<std::string> names;
    const auto readEach = [&](std::string_view key, const auto& readElement) {
        const auto* list = reader.find(key);
        if (!list)
            return;
        if (!list->is_array()) {
            reader.addFault(FaultKind::WrongType, key, list->type_name(), "an array");
            return;
        }
        for (std::size_t index = 0; index < list->size(); ++index)
            readElement((*list)[index], reader.pathOf(key) + "[" + std::to_string(index) + "]");
    };
    const auto readObject = [&](const nlohmann::json& object, const std::string& path, bool isNew) {
        flow::ServiceSpec spec;
        if (!object.is_object()) {
            faults.push_back({ FaultKind::WrongType, path, object.type_name(), "an object" });
            return spec;
        }
        readService(object, path, isNew, spec, faults);
        ObjectReader nameReader(object, path, faults);
        checkName(nameReader, spec.name, names);
        return spec;
    };
    readEach("added", [&](const nlohmann::json& object, const std::string& path) {
        note.added.push_back(readObject(object, path, true));
    });
    readEach("changed", [&](const nlohmann::json& object, const std::string& path) {
        readObject(object, path, false);
        note.changed.push_back(object);
    });
    readEach("withdrawn", [&](const nlohmann::json& name, const std::string& path) {
        if (!name.is_string())
            faults.push_back({ FaultKind::WrongType, path, name.type_name(), "a service's name" });
        else if (!names.insert(name.get<std::string>()).second)
            faults.push_back({ FaultKind::Duplicate, path, name.get<std::string>(), "each service once in a note" });
        else
            note.withdrawn.push_back(name.get<std::string>());
    });
    reader.reportUnknownKeys();
    if (note.added.empty() && note.changed.empty() && note.withdrawn.empty())
        faults.push_back({ FaultKind::MissingKey, "", "", "at least one service added, changed or withdrawn" });
    if (faults.size() != faultsBefore)
        return std::nullopt;
    return note;
}

} // namespace yuccahook::control
