#ifndef POMELOTRAY_CELL_PLACEMENT_ROUND_POLICIES_H_
#define POMELOTRAY_CELL_PLACEMENT_ROUND_POLICIES_H_

#include <cstdint>
#include <vector>

#include "base/resources.h"
#include "base/strong_id.h"
#include "cell/cell_job.h"
#include "cell/workers/cell_worker.h"

namespace pomelotray {

// Limits how many tasks of a customer a scheduling round starts. Used by one thread at a time.
class StartGate {
 public:
  virtual ~StartGate() = default;
  // Returns how many of `count` tasks, each of which takes `demand`, may start in addition to those
  // that NoteStart() was called for. The tasks of a gang need all of `count`.
  virtual int64_t MaxStarts(const CustomerId& customer, const Resources& demand,
                            int64_t count) const = 0;
  // Takes note that the round starts a task.
  virtual void NoteStart(const CustomerId& customer, const Resources& demand) = 0;
};

// How far a step yields to those of other customers. A step goes after all steps with a smaller
// value, whatever their priority.
enum class Yielding {
  kNone,
  // Under contention, the customer has more than its weight's fraction of the pool.
  kAboveFraction,
  // It also has more than it would get of what others leave of their fractions.
  kAboveShare,
  // The job exceeds the customer's rate. It leaves the pool's headroom free.
  kMarked,
};

// Decides which steps of a round yield to the others. The answers must not change during a round.
class StepOrder {
 public:
  virtual ~StepOrder() = default;
  virtual Yielding Yields(const CellJob& job, const StepSpec& step) const = 0;
};

// A worker on which a round could start a task.
struct PlacementOption {
  const CellJob& job;
  const StepRun& run;
  const CellWorker& worker;
  // The steps of the tasks that the round has placed on the worker so far.
  const std::vector<const StepSpec*>& placed;

  const StepSpec& Step() const { return job.Step(run); }
};

// Rates the workers on which a task fits, in addition to the criteria of the round.
class PlacementCost {
 public:
  virtual ~PlacementCost() = default;
  // Returns the expected slowdown of the task on the worker, or of its neighbors there, as a
  // logarithm: 0 if there is none or nothing is known, negative on a fast worker. Asked for each
  // pair of a waiting task and a worker, so the answer must be a look-up.
  virtual double LogSlowdown(const PlacementOption& option) const = 0;
};

// What other parts of the owner contribute to the decisions of a round. Without any of them, the
// round decides by capacity, priority and latency objective alone. The objects must outlive the
// round.
struct RoundPolicies {
  StartGate* gate = nullptr;
  const StepOrder* order = nullptr;
  // In the order of their precedence.
  std::vector<const PlacementCost*> costs;
};

}  // namespace pomelotray

#endif  // POMELOTRAY_CELL_PLACEMENT_ROUND_POLICIES_H_
