#include "settings/ObjectReader.h"

namespace yuccahook::settings {

namespace {

constexpr std::size_t maximumExcerptCharacters = 80;
constexpr int maximumNestingLevels = 32; // settings files, release notes and announcements nest 5 levels

// The JSON text of a value for a fault, shortened when it is long.
std::string excerptOf(const nlohmann::json& value)
{
    std::string text = value.dump(-1, ' ', true, nlohmann::json::error_handler_t::replace);
    if (text.size() > maximumExcerptCharacters)
        text.replace(maximumExcerptCharacters, std::string::npos, "...");
    return text;
}

} // namespace

ObjectReader::ObjectReader(const nlohmann::json& object, std::string path, Faults& faults)
    : m_object(object)
    , m_path(std::move(path))
    , m_faults(faults)
{
}

bool ObjectReader::has(std::string_view key) const { return m_object.is_object() && m_object.contains(key); }

const nlohmann::json* ObjectReader::find(std::string_view key)
{
    m_read.emplace(key);
    return has(key) ? &m_object.at(std::string(key)) : nullptr;
}

const nlohmann::json* ObjectReader::findOfType(
    std::string_view key, bool required, bool (nlohmann::json::*isType)() const noexcept, std::string_view typeName)
{
    const nlohmann::json* value = find(key);
    if (!value) {
        if (required)
            addFault(FaultKind::MissingKey, key, "", std::string(typeName));
        return nullptr;
    }
    if ((value->*isType)())
        return value;
    addFault(FaultKind::WrongType, key, excerptOf(*value), std::string(typeName));
    return nullptr;
}

void ObjectReader::text(std::string_view key, std::string& field, bool required)
{
    const nlohmann::json* value = findOfType(key, required, &nlohmann::json::is_string, "a string");
    if (!value)
        return;
    field = value->get<std::string>();
    if (required && field.empty())
        addFault(FaultKind::OutOfRange, key, "\"\"", "a non-empty string");
}

void ObjectReader::number(
    std::string_view key, std::uint64_t& field, std::uint64_t minimum, std::uint64_t maximum, bool required)
{
    const std::string allowed = "a whole number from " + std::to_string(minimum) + " to " + std::to_string(maximum);
    const nlohmann::json* value = findOfType(key, required, &nlohmann::json::is_number, allowed);
    if (!value)
        return;
    const bool inRange = value->is_number_unsigned() && value->get<std::uint64_t>() >= minimum
        && value->get<std::uint64_t>() <= maximum;
    if (!inRange) {
        addFault(FaultKind::OutOfRange, key, excerptOf(*value), allowed);
        return;
    }
    field = value->get<std::uint64_t>();
}

void ObjectReader::seconds(std::string_view key, std::uint32_t& millis, std::uint32_t maximumMillis)
{
    constexpr double millisPerSecond = 1000;
    const std::string allowed = "a time from 0.001 s to " + std::to_string(maximumMillis / 1000) + " s";
    const nlohmann::json* value = findOfType(key, false, &nlohmann::json::is_number, allowed);
    if (!value)
        return;
    const double readMillis = value->get<double>() * millisPerSecond;
    if (readMillis >= 1 && readMillis <= maximumMillis)
        millis = static_cast<std::uint32_t>(readMillis);
    else
        addFault(FaultKind::OutOfRange, key, excerptOf(*value), allowed);
}

void ObjectReader::quantity(std::string_view key, double& field)
{
    const std::string allowed = "a number of at least 0";
    const nlohmann::json* value = findOfType(key, false, &nlohmann::json::is_number, allowed);
    if (!value)
        return;
    if (value->get<double>() >= 0)
        field = value->get<double>();
    else
        addFault(FaultKind::OutOfRange, key, excerptOf(*value), allowed);
}

void ObjectReader::flag(std::string_view key, bool& field)
{
    if (const auto* value = findOfType(key, false, &nlohmann::json::is_boolean, "true or false"))
        field = value->get<bool>();
}

std::optional<net::Address> ObjectReader::parseAddress(const nlohmann::json& value, const std::string& path)
{
    std::optional<net::Address> parsed;
    if (value.is_string())
        parsed = net::Address::parse(value.get<std::string>());
    if (!parsed)
        m_faults.push_back(
            { FaultKind::Malformed, path, excerptOf(value), "IP:port, such as 10.0.0.1:80 or [fd00::1]:80" });
    return parsed;
}

void ObjectReader::address(std::string_view key, net::Address& field, bool required)
{
    const nlohmann::json* value = findOfType(key, required, &nlohmann::json::is_string, "IP:port");
    if (!value)
        return;
    if (const auto parsed = parseAddress(*value, pathOf(key)))
        field = *parsed;
}

void ObjectReader::addresses(std::string_view key, std::vector<net::Address>& field, bool required)
{
    const nlohmann::json* value = findOfType(key, required, &nlohmann::json::is_array, "an array of IP:port");
    if (!value)
        return;
    if (required && value->empty())
        addFault(FaultKind::OutOfRange, key, "[]", "at least one IP:port");
    std::set<net::Address> known;
    std::size_t index = 0;
    for (const auto& element : *value) {
        const std::string path = pathOf(key) + "[" + std::to_string(index++) + "]";
        const auto parsed = parseAddress(element, path);
        if (!parsed)
            continue;
        if (!known.insert(*parsed).second)
            m_faults.push_back({ FaultKind::Duplicate, path, excerptOf(element), "each address once" });
        field.push_back(*parsed);
    }
}

void ObjectReader::textArray(std::string_view key, std::vector<std::string>& field)
{
    const nlohmann::json* value = findOfType(key, false, &nlohmann::json::is_array, "an array of strings");
    if (!value)
        return;
    std::size_t index = 0;
    for (const auto& element : *value) {
        const std::string path = pathOf(key) + "[" + std::to_string(index++) + "]";
        if (element.is_string())
            field.push_back(element.get<std::string>());
        else
            m_faults.push_back({ FaultKind::WrongType, path, excerptOf(element), "a string" });
    }
}

void ObjectReader::object(std::string_view key, const std::function<void(ObjectReader&)>& read, bool required)
{
    const nlohmann::json* value = findOfType(key, required, &nlohmann::json::is_object, "an object");
    if (!value)
        return;
    ObjectReader reader(*value, pathOf(key), m_faults);
    read(reader);
    reader.reportUnknownKeys();
}

void ObjectReader::objects(std::string_view key, const std::function<void(ObjectReader&)>& read, bool required)
{
    const nlohmann::json* value = findOfType(key, required, &nlohmann::json::is_array, "an array of objects");
    if (!value)
        return;
    std::size_t index = 0;
    for (const auto& element : *value) {
        const std::string path = pathOf(key) + "[" + std::to_string(index++) + "]";
        if (!element.is_object()) {
            m_faults.push_back({ FaultKind::WrongType, path, excerptOf(element), "an object" });
            continue;
        }
        ObjectReader reader(element, path, m_faults);
        read(reader);
        reader.reportUnknownKeys();
    }
}

void ObjectReader::addFault(FaultKind kind, std::string_view key, std::string seen, std::string allowed)
{
    m_faults.push_back({ kind, pathOf(key), std::move(seen), std::move(allowed) });
}

std::string ObjectReader::pathOf(std::string_view key) const
{
    return m_path.empty() ? std::string(key) : m_path + "." + std::string(key);
}

void ObjectReader::reportUnknownKeys()
{
    if (!m_object.is_object() || m_ignoresUnknownKeys)
        return;
    for (const auto& member : m_object.items()) {
        if (!m_read.contains(member.key()))
            addFault(FaultKind::UnknownKey, member.key(), excerptOf(member.value()), "a key of docs/SETTINGS.md");
    }
}

std::optional<nlohmann::json> parseJson(std::string_view text, Faults& faults)
{
    std::vector<std::set<std::string>> openObjects;
    bool duplicate = false;
    bool tooDeep = false;
    const auto onParseEvent = [&](int depth, nlohmann::json::parse_event_t event, nlohmann::json& value) {
        if (depth > maximumNestingLevels)
            tooDeep = true;
        if (tooDeep)
            return false; // discards the value, so that memory use does not grow with the depth
        if (event == nlohmann::json::parse_event_t::object_start)
            openObjects.emplace_back();
        else if (event == nlohmann::json::parse_event_t::object_end)
            openObjects.pop_back();
        else if (event == nlohmann::json::parse_event_t::key
            && !openObjects.back().insert(value.get<std::string>()).second) {
            faults.push_back(
                { FaultKind::Duplicate, value.get<std::string>(), "the key twice in one object", "each key once" });
            duplicate = true;
        }
        return true;
    };
    try {
        auto document = nlohmann::json::parse(text, onParseEvent);
        if (tooDeep) {
            faults.push_back({ FaultKind::OutOfRange, "", "values nested too deeply",
                "at most " + std::to_string(maximumNestingLevels) + " levels" });
            return std::nullopt;
        }
        if (!document.is_object()) {
            faults.push_back({ FaultKind::WrongType, "", excerptOf(document), "an object" });
            return std::nullopt;
        }
        if (!duplicate)
            return document;
    } catch (const nlohmann::json::parse_error& error) {
        faults.push_back({ FaultKind::NotJson, "", "byte " + std::to_string(error.byte), "a JSON object" });
    } catch (const nlohmann::json::exception& error) {
        faults.push_back({ FaultKind::OutOfRange, "", error.what(), "numbers in the range of a double" });
    }
    return std::nullopt;
}

} // namespace yuccahook::settings
