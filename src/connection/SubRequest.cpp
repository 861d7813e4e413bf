#include "hickoryspur/connection/SubRequest.h"

namespace hickoryspur {

bool provesNotRun(SubOutcome outcome)
{
    switch (outcome) {
    case SubOutcome::Shed:
    case SubOutcome::NotSent:
    case SubOutcome::SnapshotGone:
    case SubOutcome::Draining:
        return true;
    default:
        return false;
    }
}

} // namespace hickoryspur
