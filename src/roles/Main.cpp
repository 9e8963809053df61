#include "platform/PlatformAdapter.h"
#include "roles/CommandLine.h"

#include <iostream>

int main(int argumentCount, char** arguments)
{
    const yuccahook::platform::PlatformAdapter adapter;
    return yuccahook::roles::runCommandLine(argumentCount, arguments, std::cout, std::cerr, &adapter);
}
