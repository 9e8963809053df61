#include "roles/CommandLine.h"

#include <iostream>

int main(int argumentCount, char** arguments)
{
    return yuccahook::roles::runCommandLine(argumentCount, arguments, std::cout, std::cerr);
}
