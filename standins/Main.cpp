#include "Backend.h"
#include "Caller.h"
#include "Fabric.h"

#include <iostream>
#include <string>

int main(int argumentCount, char** arguments)
{
    using namespace yuccahook::standins;
    const std::string kind = argumentCount > 1 ? arguments[1] : "";
    const Options options(argumentCount - 2, arguments + 2);
    if (kind == "backend")
        return runBackend(options);
    if (kind == "caller")
        return runCaller(options);
    if (kind == "fabric")
        return runFabric(options);
    std::cerr << "usage: yuccahook-standin backend|caller|fabric --key value ...\n";
    return 1;
}
