#pragma once

#include <algorithm>

namespace snipeferry::node {

/** Limits retries to a fraction of the requests, so that retries do not amplify an overload. */
class RetryBudget
{
public:
    /** @brief Adds the credit of one new request. */
    void addRequest()
    {
        m_credit = std::min(m_credit + CREDIT_PER_REQUEST, MAX_CREDIT);
    }

    /** @brief Takes one retry from the budget; false if the budget is used up. */
    bool tryTake()
    {
        if (m_credit < 1.0) {
            return false;
        }
        m_credit -= 1.0;
        return true;
    }

private:
    static constexpr double CREDIT_PER_REQUEST = 0.1;
    static constexpr double MAX_CREDIT = 20.0;

    double m_credit = MAX_CREDIT;
};

} // namespace snipeferry::node
