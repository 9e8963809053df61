#include "roles/EvacuateCommand.h"

#include "control/EvacuationOrder.h"
#include "net/PercentEncoding.h"
#include "roles/ControlRequest.h"
#include "roles/ExitCode.h"

#include <ostream>

namespace yuccahook::roles {

namespace {

constexpr int httpOk = 200;

void print(const EvacuateArguments& arguments, const nlohmann::json& body, std::ostream& out)
{
    if (arguments.domain) {
        out << *arguments.domain << (arguments.end ? ": evacuation ended" : ": evacuated") << '\n';
        return;
    }
    const auto evacuated = body.value("evacuated", nlohmann::json::array());
    if (evacuated.empty())
        out << "no failure domain is evacuated\n";
    for (const auto& domain : evacuated)
        out << domain.get<std::string>() << '\n';
}

} // namespace

int runEvacuate(const EvacuateArguments& arguments, std::ostream& out, std::ostream& err)
{
    const auto& domain = arguments.domain;
    if (domain ? domain->empty() || domain->size() > control::maximumDomainBytes : arguments.end) {
        err << "evacuate: expected the name of a failure domain, of 1 to " << control::maximumDomainBytes << " bytes\n";
        return code(ExitCode::Usage);
    }
    const auto addresses = parseControl(arguments.control, err);
    if (!addresses)
        return code(ExitCode::Usage);
    const std::string path = "/evacuations" + (domain ? "/" + net::percentEncoded(*domain) : "");
    const std::string order = arguments.end ? "DELETE" : "POST";
    const auto response = sendToAny(*addresses, { domain ? order : "GET", path, "", "" });
    if (!response) {
        err << "no control instance acknowledged; an order may still take effect: repeat it\n";
        return code(ExitCode::Unreachable);
    }
    if (arguments.json || response->status != httpOk || !response->body.is_object())
        out << response->body.dump() << '\n';
    else
        print(arguments, response->body, out);
    return code(response->status == httpOk ? ExitCode::Success : ExitCode::Refused);
}

} // namespace yuccahook::roles
