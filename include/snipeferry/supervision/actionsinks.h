#pragma once

#include "snipeferry/messages/action.h"

namespace snipeferry::supervision {

/** Where the actions of the decision parts go; each is called on the loop's thread and must not block. */
class ActionSinks
{
public:
    virtual ~ActionSinks() = default;

    virtual void carryOut(const messages::SendToPeer &action) = 0;
    virtual void carryOut(const messages::KeepLinks &action) = 0;
    virtual void carryOut(const platform::Call &action) = 0;
    virtual void carryOut(const messages::Dispatch &action) = 0;
    virtual void carryOut(const messages::CancelDispatch &action) = 0;
    virtual void carryOut(const messages::AnswerHead &action) = 0;
    virtual void carryOut(const messages::AnswerChunk &action) = 0;
    virtual void carryOut(const messages::AnswerEnd &action) = 0;
    virtual void carryOut(const messages::AnswerError &action) = 0;
    virtual void carryOut(const messages::Log &action) = 0;
    virtual void carryOut(const messages::Count &action) = 0;
};

} // namespace snipeferry::supervision
