#include "request/RetryBudget.h"

#include <algorithm>

namespace yuccahook::request {

RetryBudget::RetryBudget(double share, double burst)
    : m_share(share)
    , m_burst(burst)
    , m_remaining(burst)
{
}

void RetryBudget::earn() { m_remaining = std::min(m_burst, m_remaining + m_share); }

bool RetryBudget::tryConsume()
{
    if (m_remaining < 1)
        return false;
    m_remaining -= 1;
    return true;
}

} // namespace yuccahook::request
