#ifndef POMELOTRAY_TESTS_CELL_JOB_IDENTITY_SIMULATION_H_
#define POMELOTRAY_TESTS_CELL_JOB_IDENTITY_SIMULATION_H_

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "base/manual_clock.h"
#include "cell/intake/job_registry.h"
#include "cell/ownership/withdrawal_cleanup.h"
#include "cell/records/cell_keys.h"
#include "tests/fakes/fake_store.h"

namespace pomelotray {

// One run of several instances' job registries against one store on a paused clock. The route of
// the queue moves between pools, instances learn of it late, and the store loses answers, refuses
// calls and carries creations out late. Owners of the parts are simple models that start, cancel,
// finish and remove jobs by what the store has, and are replaced at random. Single-threaded, so a
// seed always gives the same run.
class JobIdentitySimulation {
 public:
  explicit JobIdentitySimulation(unsigned seed);

  // Returns the violated guarantees; empty if there were none.
  std::vector<std::string> Run();
  // Numbers of creations that were carried out late, and of cancellations of jobs that were not
  // stored.
  int late_creations() const { return late_creations_; }
  int withdrawals() const { return withdrawals_; }

 private:
  // Creates entries for one instance, with faults.
  class FaultyWriter : public EntryWriter {
   public:
    explicit FaultyWriter(JobIdentitySimulation* simulation) : simulation_(simulation) {}
    Result<bool> Create(const EntryCreation& creation, const CreationLimits& limits) override;

   private:
    JobIdentitySimulation* const simulation_;
  };
  struct Instance {
    std::unique_ptr<FaultyWriter> writer;
    std::unique_ptr<JobRegistry> registry;
    // The pool of the version in force.
    int pool = 0;
  };
  // What one customer does with an id and has been told.
  struct Client {
    JobId id;
    std::string customer;
    bool accepted = false;
    bool cancel_sent = false;
    absl::Time cancel_acknowledged = absl::InfiniteFuture();
  };
  // What the owner of a part knows of a job.
  struct OwnedJob {
    std::string customer;
    bool running = false;
    absl::Time ends = absl::InfiniteFuture();
    absl::Time final_since = absl::InfiniteFuture();
  };
  struct Owner {
    PartName part;
    Revision claim;
    std::map<JobId, OwnedJob> jobs;
    std::unique_ptr<WithdrawalCleanup> cleanup;
  };

  int Below(int limit) { return static_cast<int>(random_() % static_cast<unsigned>(limit)); }
  bool Chance(int percent) { return Below(100) < percent; }
  absl::Duration Millis(int from, int to) { return absl::Milliseconds(from + Below(to - from)); }
  void After(absl::Duration delay, std::function<void()> action);
  Instance& AnyInstance() { return instances_[Below(static_cast<int>(instances_.size()))]; }

  void MoveRoute();
  void AddClient(const JobId& id, const std::string& customer);
  void Submit(Client* client, int tries_left);
  void Cancel(Client* client);
  void StepOwner(Owner* owner);
  void StartOwner(Owner* owner);
  void Finish(Owner* owner, const JobId& id, OwnedJob* job, const std::string& state);
  void RemoveExpired(Owner* owner);
  void CheckStart(const JobId& id, const std::string& customer, const PartName& part);
  void CheckAcceptedJobs();
  void CheckNoEntryIsLeft();
  void Violation(const std::string& text);

  std::mt19937 random_;
  ManualClock clock_;
  HybridClock hybrid_clock_{&clock_};
  EventLog events_{"simulation", &hybrid_clock_};
  FakeStore store_{&clock_};
  const absl::Time begin_;
  std::vector<Instance> instances_;
  std::vector<Owner> owners_;
  std::vector<std::unique_ptr<Client>> clients_;
  std::multimap<absl::Time, std::function<void()>> actions_;
  // The truth of the workers, by job.
  std::map<JobId, int> starts_;
  std::set<JobId> ended_;
  std::map<JobId, absl::Time> removed_;
  int next_id_ = 0;
  int late_creations_ = 0;
  int withdrawals_ = 0;
  std::vector<std::string> violations_;
};

}  // namespace pomelotray

#endif  // POMELOTRAY_TESTS_CELL_JOB_IDENTITY_SIMULATION_H_
