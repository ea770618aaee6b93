#include "tests/shard/fault_run.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include "absl/strings/str_cat.h"

namespace pomelotray {
namespace {

constexpr size_t kWorkers = 4;
constexpr int kJobs = 24;
// Simulated time of one step, and the real time for which a step waits so that the threads can
// react.
constexpr absl::Duration kStep = absl::Milliseconds(20);
constexpr std::chrono::milliseconds kRealStep(2);
constexpr int kFaultSteps = 1200;
// Limit on the recovery after all faults have ended. It covers two task leases, the time for which
// a worker must be absent from the VM list before it is removed, and the run times of the queued
// jobs.
constexpr int kRecoverySteps = 6000;
constexpr int kCallFaultPercent = 20;

ShardId TestShard() { return ShardId{FailureDomainId("cuenca"), PoolName("rendering")}; }

Resources WorkerCapacity() { return {MilliCores(4000), MebiBytes(8000), AcceleratorCount(4), {}}; }

}  // namespace

Resources UnlimitedShardLimits::ResourceLimit(const CustomerId& /*customer*/) const {
  Resources limit = WorkerCapacity() * 1000;
  limit.slots = SlotCount(1000);
  return limit;
}
double UnlimitedShardLimits::Weight(const CustomerId& /*customer*/) const { return 1; }
SliceLimits UnlimitedShardLimits::Limits(const CustomerId& customer) const {
  return {ResourceLimit(customer), 1e6, 1'000'000, 1'000'000};
}
void UnlimitedShardLimits::ReportDemand(const CustomerId& /*customer*/,
                                        const SliceDemand& /*in_use*/,
                                        const SliceDemand& /*wanted*/) {}

FaultRun::FaultRun(uint64_t seed, const FaultPlan& plan)
    : plan_(plan), random_(seed), hybrid_clock_(&clock_), store_(&clock_) {}

FaultRun::~FaultRun() {
  stopping_ = true;
  for (const std::unique_ptr<Client>& client : clients_) {
    if (client->thread.joinable()) {
      client->thread.join();
    }
  }
  std::atomic<bool> destroyed{false};
  std::thread clock_thread([this, &destroyed] {
    while (!destroyed) {
      clock_.Advance(kStep);
      std::this_thread::sleep_for(kRealStep);
    }
  });
  for (const std::shared_ptr<Owner>& owner : owners_) {
    if (owner->starter.joinable()) {
      owner->starter.join();
    }
  }
  owners_.clear();
  for (Worker& worker : workers_) {
    worker.state->Shutdown();
    worker.timers.join();
  }
  destroyed = true;
  clock_thread.join();
}

void FaultRun::Run() {
  workers_.resize(kWorkers);
  for (size_t index = 0; index < kWorkers; ++index) {
    BootWorker(index);
  }
  StartOwner();
  for (int step = 0; step < kFaultSteps; ++step) {
    if (step % (kFaultSteps / kJobs / 2) == 0 && clients_.size() < kJobs) {
      SubmitJob();
    }
    StepFaults();
    Step();
  }
  ClearFaults();
  for (int step = 0; step < kRecoverySteps && !AllFinal(); ++step) {
    Step();
  }
  for (const std::unique_ptr<Client>& client : clients_) {
    accepted_jobs_ += client->accepted ? 1 : 0;
    if (!client->done) {
      const JobId id = MakeJobId(TestShard(), client->spec.customer, client->spec.key);
      const std::shared_ptr<Owner> owner = CurrentOwner();
      const Outcome<JobRecord> record = Capture([&] { return owner->owner->GetJob(id); });
      std::string tasks;
      if (record.ok()) {
        for (const TaskStatus& task : record.value().tasks) {
          absl::StrAppend(&tasks, " ", std::string(TaskStateName(task.state)), "#",
                          task.attempt_number, "@", task.worker.value());
        }
      }
      unfinished_.push_back(
          absl::StrCat(id.value(), client->accepted ? " accepted" : " not accepted", tasks, " ",
                       record.ok() ? absl::StrCat(std::string(JobStateName(record.value().state)),
                                                  " ", record.value().reason)
                                   : record.error().message));
    }
  }
}

std::unique_ptr<EventLog> FaultRun::NewLog(const std::string& process) {
  return std::make_unique<EventLog>(process, &hybrid_clock_, [this](const Event& event) {
    absl::MutexLock lock(&history_mutex_);
    history_.push_back(event);
  });
}

void FaultRun::BootWorker(size_t index) {
  Worker& worker = workers_[index];
  const std::string name = absl::StrCat("worker-", index);
  worker.vm.id = VmId(name);
  worker.vm.role = VmRole::kWorker;
  worker.vm.address = name;
  worker.vm.domain = TestShard().domain;
  worker.vm.pool = TestShard().pool;
  worker.vm.rack = RackId(absl::StrCat("rack-", index % 2));
  worker.vm.capacity = WorkerCapacity();
  logs_.push_back(NewLog(name));
  WorkerOptions options;
  options.id = worker.vm.id;
  options.boot = BootId(absl::StrCat(name, "-boot-", logs_.size()));
  options.capacity = WorkerCapacity();
  EventLog* const log = logs_.back().get();
  log->Record(EventCode::kProcessStarted)
      .Worker(worker.vm.id)
      .With(event_field::kBoot, options.boot.value())
      .Emit();
  worker.state = std::make_shared<WorkerState>(options, &clock_, log);
  const std::shared_ptr<WorkerState> state = worker.state;
  worker.timers = std::thread([state] { state->RunTimers(); });
  fleet_.Set(name, worker.state);
}

void FaultRun::StartOwner() {
  // The incremented term represents the claim in the store.
  ++term_;
  std::shared_ptr<Owner> owner = std::make_shared<Owner>();
  const InstanceId id(absl::StrCat("owner-", term_.load()));
  owner->store = std::make_unique<DisconnectableStorePort>(&store_);
  owner->workers = std::make_unique<FaultyWorkerPort>(&fleet_, &clock_, random_());
  owner->workers->faults.lose_answer_percent = plan_.lost_worker_answers ? kCallFaultPercent : 0;
  owner->workers->faults.delay_percent = plan_.delayed_commands ? kCallFaultPercent : 0;
  owner->events = NewLog(id.value());
  ShardOwnerOptions options;
  options.shard = TestShard();
  options.self = id;
  options.epoch = Epoch{term_.load(), 0};
  ShardOwnerContext context;
  context.clock = &clock_;
  context.events = owner->events.get();
  context.workers = owner->workers.get();
  context.limits = &limits_;
  DisconnectableStorePort* const store = owner->store.get();
  context.store_available = [store] { return !store->disconnected; };
  context.claim_is_current = [this, store, term = term_.load()] {
    return !store->disconnected && term_ == term;
  };
  owner->owner = std::make_unique<ShardOwner>(
      context, options,
      std::make_unique<Journal>(StateContext{store, &clock_, owner->events.get()}, options.shard,
                                id, term_));
  Owner* const raw = owner.get();
  owner->starter = std::thread([this, raw] {
    while (!stopping_ && !raw->started) {
      if (Capture([raw] { return raw->owner->Start(); }).ok()) {
        raw->started = true;
      }
      std::this_thread::sleep_for(kRealStep);
    }
  });
  absl::MutexLock lock(&owners_mutex_);
  owners_.push_back(owner);
}

void FaultRun::CrashOwner() {
  const std::shared_ptr<Owner> owner = CurrentOwner();
  owner->store->disconnected = true;
  owner->workers->faults.disconnected = true;
}

void FaultRun::StepFaults() {
  const std::shared_ptr<Owner> current = CurrentOwner();
  current->workers->DeliverDelayed(/*all=*/false);
  if (plan_.owner_crashes && Random(300) == 0) {
    CrashOwner();
    StartOwner();
  } else if (plan_.zombie_owners && Random(300) == 0) {
    StartOwner();
  }
  if (plan_.store_outages && Random(150) == 0) {
    current->store->disconnected = !current->store->disconnected;
  }
  if (plan_.lost_store_answers && Random(100) == 0) {
    const bool lose = Random(2) == 0;
    store_.SetHook([lose](const FakeStore::Call& call) {
      return lose && call.write ? StoreFault::kAnswerLost : StoreFault::kNone;
    });
  }
  if (plan_.worker_reboots && Random(250) == 0) {
    const size_t index = static_cast<size_t>(Random(kWorkers));
    workers_[index].state->Shutdown();
    workers_[index].timers.join();
    BootWorker(index);
  }
  if (plan_.worker_disconnections && Random(100) == 0) {
    current->workers->SetWorkerDisconnected(absl::StrCat("worker-", Random(kWorkers)),
                                            Random(2) == 0);
  }
  if (plan_.cancellations && Random(60) == 0) {
    CancelRandomJob();
  }
}

void FaultRun::SubmitJob() {
  std::unique_ptr<Client> client = std::make_unique<Client>();
  JobSpec& spec = client->spec;
  spec.customer = CustomerId("andrade");
  spec.key = IdempotencyKey(absl::StrCat("key-", clients_.size()));
  spec.pool = TestShard().pool;
  const int64_t kind = Random(4);
  spec.kind = kind == 0 ? JobKind::kGang : JobKind::kBatch;
  spec.repeatable = kind != 1;
  spec.task_count = spec.kind == JobKind::kGang ? 3 : 1 + Random(2);
  spec.demand = {MilliCores(1000), MebiBytes(1000), AcceleratorCount(1 + Random(2)), {}};
  spec.payload = absl::StrCat(R"({"run_ms":)", 100 + Random(3000), R"(,"fail":)",
                              Random(10) == 0 ? "true" : "false", "}");
  Client* const raw = client.get();
  // Simulates a caller that repeats its submission until the response shows that the job is final.
  client->thread = std::thread([this, raw] {
    while (!stopping_ && !raw->done) {
      const std::shared_ptr<Owner> owner = CurrentOwner();
      if (owner->started) {
        const Outcome<JobRecord> record = Capture([&] { return owner->owner->Submit(raw->spec); });
        raw->accepted = raw->accepted || record.ok();
        raw->done = record.ok() && IsFinal(record.value().state);
      }
      std::this_thread::sleep_for(10 * kRealStep);
    }
  });
  clients_.push_back(std::move(client));
}

void FaultRun::CancelRandomJob() {
  if (clients_.empty()) {
    return;
  }
  const Client& client =
      *clients_[static_cast<size_t>(Random(static_cast<int64_t>(clients_.size())))];
  const JobId id = MakeJobId(TestShard(), client.spec.customer, client.spec.key);
  const std::shared_ptr<Owner> owner = CurrentOwner();
  // The cancellation waits for the journal, which makes progress only while this thread advances
  // the clock, so it runs on a thread of its own.
  std::thread cancel([owner, id] {
    if (owner->started) {
      (void)Capture([&] { return owner->owner->CancelJob(id); });
    }
  });
  while (cancel.joinable() && Random(3) != 0) {
    Step();
  }
  std::atomic<bool> joined{false};
  std::thread clock_thread([this, &joined] {
    while (!joined) {
      Step();
    }
  });
  cancel.join();
  joined = true;
  clock_thread.join();
}

void FaultRun::ClearFaults() {
  store_.SetHook(nullptr);
  const std::shared_ptr<Owner> current = CurrentOwner();
  current->store->disconnected = false;
  current->workers->faults.disconnected = false;
  current->workers->faults.lose_answer_percent = 0;
  current->workers->faults.delay_percent = 0;
  for (size_t index = 0; index < kWorkers; ++index) {
    current->workers->SetWorkerDisconnected(absl::StrCat("worker-", index), false);
  }
  // Delivers all delayed commands, including those that are delayed beyond every time limit.
  absl::MutexLock lock(&owners_mutex_);
  for (const std::shared_ptr<Owner>& owner : owners_) {
    owner->workers->DeliverDelayed(/*all=*/true);
  }
}

void FaultRun::Step() {
  const std::shared_ptr<Owner> current = CurrentOwner();
  if (current->started) {
    std::vector<VmEntry> vms;
    for (const Worker& worker : workers_) {
      vms.push_back(worker.vm);
    }
    current->owner->UpdateWorkers(vms);
  }
  clock_.Advance(kStep);
  std::this_thread::sleep_for(kRealStep);
}

bool FaultRun::AllFinal() {
  return std::all_of(clients_.begin(), clients_.end(),
                     [](const std::unique_ptr<Client>& client) { return client->done.load(); });
}

std::shared_ptr<FaultRun::Owner> FaultRun::CurrentOwner() {
  absl::MutexLock lock(&owners_mutex_);
  return owners_.back();
}

}  // namespace pomelotray
