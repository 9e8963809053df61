#include "settings/Fault.h"

namespace yuccahook::settings {

std::string describe(const Fault& fault)
{
    std::string text = fault.path.empty() ? "(document)" : fault.path;
    text.append(": ").append(kernel::nameOf(fault.kind));
    if (!fault.seen.empty())
        text.append(", seen ").append(fault.seen);
    if (!fault.allowed.empty())
        text.append(", allowed: ").append(fault.allowed);
    return text;
}

} // namespace yuccahook::settings
