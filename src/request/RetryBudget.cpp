#include "request/RetryBudget.h"

#include <algorithm>

namespace yuccahook::request {

RetryBudget::RetryBudget(double share, double burst)
    : m_share(share)
    , m_burst(burst)
    , m_left(burst)
{
}

void RetryBudget::earn() { m_left = std::min(m_burst, m_left + m_share); }

bool RetryBudget::take()
{
    if (m_left < 1)
        return false;
    m_left -= 1;
    return true;
}

} // namespace yuccahook::request
