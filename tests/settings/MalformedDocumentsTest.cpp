#include "control/Note.h"
#include "settings/Settings.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <filesystem>
#include <fstream>
#include <nlohmann/json.hpp>
#include <rapidcheck.h>
#include <sstream>

using namespace yuccahook;
using nlohmann::json;

namespace {

/// The text of a valid document and a check that it is accepted.
struct Document {
    std::string text;
    std::function<bool(const std::string&, settings::Faults&)> accepts;
};

std::vector<Document> validDocuments()
{
    std::vector<Document> documents;
    for (const auto& entry : std::filesystem::recursive_directory_iterator("examples")) {
        if (entry.path().extension() != ".json")
            continue;
        settings::Faults faults;
        const std::string text = *settings::readFile(entry.path().string(), faults);
        if (entry.path().filename().string().starts_with("note")) {
            documents.push_back({ text, [](const std::string& note, settings::Faults& found) {
                                     return control::parseNote(note, found).has_value();
                                 } });
            continue;
        }
        const auto role = *settings::detectRole(text, faults);
        documents.push_back({ text, [role](const std::string& settingsText, settings::Faults& found) {
                                 return settings::parseSettings(settingsText, role, found).has_value();
                             } });
    }
    return documents;
}

// Collects the objects of a document at any depth.
void collectObjects(json& value, std::vector<json*>& objects)
{
    if (value.is_object())
        objects.push_back(&value);
    if (value.is_structured()) {
        for (auto& element : value)
            collectObjects(element, objects);
    }
}

json& randomObject(json& document)
{
    std::vector<json*> objects;
    collectObjects(document, objects);
    return *objects[*rc::gen::inRange<std::size_t>(0, objects.size())];
}

std::string withUnknownKey(const std::string& text)
{
    json document = json::parse(text);
    randomObject(document)["unknownKey"] = 1;
    return document.dump();
}

std::string withWrongType(const std::string& text)
{
    json document = json::parse(text);
    json& object = randomObject(document);
    if (object.empty())
        return withUnknownKey(text);
    auto member = object.begin();
    std::advance(member, *rc::gen::inRange<std::size_t>(0, object.size()));
    *member = member->is_null() ? json(1) : json(nullptr);
    return document.dump();
}

std::string withoutRequiredKeys(const std::string& text)
{
    json document = json::parse(text);
    document.erase(document.contains("author") ? "author" : "name");
    return document.dump();
}

std::string truncated(const std::string& text)
{
    const std::size_t length = text.find_last_of('}');
    return text.substr(0, *rc::gen::inRange<std::size_t>(0, length));
}

std::string withHugeNumber(const std::string& text)
{
    json document = json::parse(text);
    const auto* key = document.contains("author") ? "number" : "operator";
    document[key] = -1e300;
    return document.dump();
}

using Mutation = std::string (*)(const std::string&);

constexpr std::array<Mutation, 5> mutations { withUnknownKey, withWrongType, withoutRequiredKeys, truncated,
    withHugeNumber };

} // namespace

TEST_CASE("Malformed settings files and release notes are refused with the kind and place of each fault")
{
    const auto documents = validDocuments();
    REQUIRE(documents.size() >= 8);

    SUBCASE("the unmodified examples are accepted")
    {
        for (const auto& document : documents) {
            settings::Faults faults;
            CHECK(document.accepts(document.text, faults));
            CHECK(faults.empty());
        }
    }

    SUBCASE("any mutation of an example is refused with a fault that describes it")
    {
        CHECK(rc::check("one mutation of an example", [&documents] {
            const auto& document = documents[*rc::gen::inRange<std::size_t>(0, documents.size())];
            const auto mutate = mutations[*rc::gen::inRange<std::size_t>(0, mutations.size())];
            settings::Faults faults;
            RC_ASSERT_FALSE(document.accepts(mutate(document.text), faults));
            RC_ASSERT_FALSE(faults.empty());
            for (const auto& fault : faults)
                RC_ASSERT(!fault.path.empty() || !fault.seen.empty() || !fault.allowed.empty());
        }));
    }

    SUBCASE("random bytes in place of any part never crash the parser")
    {
        CHECK(rc::check("random bytes", [&documents](std::string bytes) {
            const auto& document = documents[*rc::gen::inRange<std::size_t>(0, documents.size())];
            std::string text = document.text;
            text.replace(*rc::gen::inRange<std::size_t>(0, text.size()), bytes.size(), bytes);
            settings::Faults faults;
            const bool accepted = document.accepts(text, faults);
            RC_ASSERT(accepted == faults.empty());
        }));
    }
}
