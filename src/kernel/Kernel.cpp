#include "kernel/Kernel.h"

#include <algorithm>

namespace yuccahook::kernel {

Kernel::~Kernel() { stop(); }

bool Kernel::add(std::unique_ptr<Service> service)
{
    if (findService(service->name()))
        return fail(KernelError::DuplicateName, service->name());
    m_services.push_back(std::move(service));
    return true;
}

bool Kernel::start()
{
    std::vector<Service*> ordered;
    for (const auto& service : m_services) {
        std::vector<Service*> path;
        if (!orderByDependencies(*service, path, ordered))
            return false;
    }
    for (Service* service : ordered) {
        if (!service->start()) {
            stop();
            return fail(KernelError::ServiceFailed, service->name());
        }
        m_started.push_back(service);
    }
    return true;
}

void Kernel::drain()
{
    for (auto service = m_started.rbegin(); service != m_started.rend(); ++service)
        (*service)->drain();
}

bool Kernel::drained() const
{
    return std::all_of(m_started.begin(), m_started.end(), [](const Service* service) { return service->drained(); });
}

void Kernel::stop()
{
    while (!m_started.empty()) {
        Service* service = m_started.back();
        m_started.pop_back();
        service->stop();
    }
}

Service* Kernel::findService(std::string_view name) const
{
    for (const auto& service : m_services) {
        if (service->name() == name)
            return service.get();
    }
    return nullptr;
}

bool Kernel::fail(KernelError error, std::string_view service)
{
    m_lastFault = KernelFault { error, std::string(service) };
    return false;
}

// Appends a service to `ordered` after all services that it depends on, by a depth-first search. `path` holds the
// services from the root of the search to this one.
bool Kernel::orderByDependencies(Service& service, std::vector<Service*>& path, std::vector<Service*>& ordered)
{
    if (std::find(ordered.begin(), ordered.end(), &service) != ordered.end())
        return true;
    if (std::find(path.begin(), path.end(), &service) != path.end())
        return fail(KernelError::CircularDependency, service.name());
    path.push_back(&service);
    for (const std::string_view name : service.dependencies()) {
        Service* dependency = findService(name);
        if (!dependency)
            return fail(KernelError::MissingDependency, name);
        if (!orderByDependencies(*dependency, path, ordered))
            return false;
    }
    path.pop_back();
    ordered.push_back(&service);
    return true;
}

} // namespace yuccahook::kernel
