#ifndef POMELOTRAY_REVIEW_WORLD_CASES_H_
#define POMELOTRAY_REVIEW_WORLD_CASES_H_

#include "review/world/cluster.h"

namespace review {

inline constexpr int kHeld = 0;
inline constexpr int kBroken = 1;
inline constexpr int kNotRun = 2;

// Each plays one case, with the disruption only if `trouble` is set, and returns its result.

// Over 500 tasks of one worker end while their owner is killed and replaced.
int PlayManyEnds(Cluster* cluster, bool trouble);
// The tasks of a long-running job end `done`.
int PlayLastingDone(Cluster* cluster, bool trouble);
// A worker is cut off for a short time while answers of the store are lost; later the owner is
// killed.
int PlayRosterAnswerLost(Cluster* cluster, bool trouble);
// Workers of a gang crash at regular intervals.
int PlayRepeatedCrashes(Cluster* cluster, bool trouble);
// The workers of a task that lasts are lost for good one after the other.
int PlaySuspectedLasting(Cluster* cluster, bool trouble);
// The store is slow while tasks end and many jobs wait. No case: it seldom fails (KNOWN-RED.txt).
int PlaySlowStore(Cluster* cluster, bool trouble);

}  // namespace review

#endif  // POMELOTRAY_REVIEW_WORLD_CASES_H_
