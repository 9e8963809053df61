#include "kernel/Kernel.h"

#include <algorithm>

namespace yuccahook::kernel {

Kernel::~Kernel() { stop(); }

bool Kernel::add(std::unique_ptr<Service> service)
{
    if (findService(service->name()))
        return refuse(KernelError::DuplicateName, service->name());
    m_services.push_back(std::move(service));
    return true;
}

bool Kernel::start()
{
    std::vector<Service*> ordered;
    for (const auto& service : m_services) {
        std::vector<Service*> path;
        if (!order(*service, path, ordered))
            return false;
    }
    for (Service* service : ordered) {
        if (!service->start()) {
            stop();
            return refuse(KernelError::ServiceFailed, service->name());
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

bool Kernel::refuse(KernelError error, std::string_view service)
{
    m_lastFault = KernelFault { error, std::string(service) };
    return false;
}

// Depth-first: a service is placed after all that it depends on.
bool Kernel::order(Service& service, std::vector<Service*>& path, std::vector<Service*>& ordered)
{
    if (std::find(ordered.begin(), ordered.end(), &service) != ordered.end())
        return true;
    if (std::find(path.begin(), path.end(), &service) != path.end())
        return refuse(KernelError::CircularDependency, service.name());
    path.push_back(&service);
    for (const std::string_view name : service.dependencies()) {
        Service* dependency = findService(name);
        if (!dependency)
            return refuse(KernelError::MissingDependency, name);
        if (!order(*dependency, path, ordered))
            return false;
    }
    path.pop_back();
    ordered.push_back(&service);
    return true;
}

} // namespace yuccahook::kernel
