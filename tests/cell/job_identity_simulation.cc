#include "tests/cell/job_identity_simulation.h"

#include <utility>

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "cell/records/job_record.h"
#include "tests/cell/scheduler_fixture.h"

namespace pomelotray {
namespace {

constexpr int kInstances = 4;
constexpr int kPools = 3;
constexpr absl::Duration kStep = absl::Milliseconds(50);
// The first part of the run, with new jobs and faults.
constexpr absl::Duration kFaultyTime = absl::Seconds(60);
// Longest time until an instance has a new version in force.
constexpr int kMaxApplyMs = 2500;
constexpr absl::Duration kRetention = absl::Seconds(30);
// An owner acts on a cancellation within this time.
constexpr absl::Duration kCancelTime = absl::Milliseconds(200);

PartName PartOf(int pool) { return PartName(absl::StrCat("pool", pool, ".0.1")); }

CallerRights CallerOf(const std::string& customer) {
  CallerRights rights;
  rights.submits_for = CustomerId(customer);
  rights.customer = CustomerId(customer);
  rights.sees_all_jobs = false;
  return rights;
}

JobId IdOf(const std::string& key) { return JobId(key.substr(key.rfind('/') + 1)); }

}  // namespace

JobIdentitySimulation::JobIdentitySimulation(unsigned seed) : random_(seed), begin_(clock_.Now()) {
  for (int i = 0; i < kInstances; ++i) {
    Instance instance;
    instance.writer = std::make_unique<FaultyWriter>(this);
    instance.registry = std::make_unique<JobRegistry>(
        &store_, instance.writer.get(), &clock_, &events_, [](const PartName&, const NewEntry&) {});
    instances_.push_back(std::move(instance));
  }
  for (int pool = 0; pool < kPools; ++pool) {
    Owner owner;
    owner.part = PartOf(pool);
    owners_.push_back(std::move(owner));
    StartOwner(&owners_.back());
  }
}

Result<bool> JobIdentitySimulation::FaultyWriter::Create(const EntryCreation& creation,
                                                         const CreationLimits&) {
  constexpr int kTries = 3;
  StoreTransaction transaction;
  AddCreation(creation, &transaction);
  const bool faults = simulation_->clock_.Now() - simulation_->begin_ < kFaultyTime;
  for (int i = 0; i < kTries; ++i) {
    const int fault = faults ? simulation_->Below(10) : 9;
    if (fault == 0 && i == 0) {
      return Fail(ErrorKind::kStoreUnavailable, "The store refuses the call; try again later.");
    }
    if (fault == 1) {
      simulation_->After(simulation_->Millis(1000, 6000), [this, transaction] {
        const bool effective =
            Capture([&] { return simulation_->store_.Commit(transaction); }).ok();
        simulation_->late_creations_ += effective ? 1 : 0;
      });
      break;
    }
    const Outcome<Revision> written =
        Capture([&] { return simulation_->store_.Commit(transaction); });
    if (fault != 2) {
      return written.ok();
    }
    // The answer is lost: the writer sends the same transaction again.
  }
  return Fail(ErrorKind::kOutcomeUnknown, "The store did not answer; send the request again.");
}

std::vector<std::string> JobIdentitySimulation::Run() {
  const absl::Time end = begin_ + kFaultyTime + 3 * kRetention;
  while (clock_.Now() < end) {
    clock_.Advance(kStep);
    while (!actions_.empty() && actions_.begin()->first <= clock_.Now()) {
      const std::function<void()> action = std::move(actions_.begin()->second);
      actions_.erase(actions_.begin());
      action();
    }
    if (clock_.Now() - begin_ < kFaultyTime) {
      if (Chance(2)) {
        MoveRoute();
      }
      if (Chance(10)) {
        const JobId id(absl::StrCat("j", next_id_++));
        AddClient(id, "a");
        if (Chance(15)) {
          AddClient(id, "b");
        }
      }
      if (Chance(1)) {
        StartOwner(&owners_[Below(kPools)]);
      }
    }
    for (Owner& owner : owners_) {
      StepOwner(&owner);
    }
    CheckAcceptedJobs();
  }
  CheckNoEntryIsLeft();
  return violations_;
}

void JobIdentitySimulation::After(absl::Duration delay, std::function<void()> action) {
  actions_.emplace(clock_.Now() + delay, std::move(action));
}

void JobIdentitySimulation::MoveRoute() {
  const int pool = Below(kPools);
  for (Instance& instance : instances_) {
    After(Millis(0, kMaxApplyMs), [&instance, pool] { instance.pool = pool; });
  }
}

void JobIdentitySimulation::AddClient(const JobId& id, const std::string& customer) {
  clients_.push_back(std::make_unique<Client>());
  Client* const client = clients_.back().get();
  client->id = id;
  client->customer = customer;
  After(Millis(0, 500), [this, client] { Submit(client, 3); });
  if (Chance(40)) {
    After(Millis(0, 6000), [this, client] { Cancel(client); });
  }
}

void JobIdentitySimulation::Submit(Client* client, int tries_left) {
  JobIntake intake = SchedulerFixture::Job(client->id.value(), {SchedulerFixture::Step(1, 1000)});
  intake.customer = CustomerId(client->customer);
  Instance& instance = AnyInstance();
  const Outcome<Registration> registered = Capture([&] {
    return instance.registry->Register(
        NewJob{client->id, PartOf(instance.pool), EncodeIntake(intake)}, CallerOf(client->customer),
        CreationLimits{});
  });
  if (registered.ok() && (registered.value() == Registration::kCreated ||
                          registered.value() == Registration::kKnown)) {
    client->accepted = true;
    // The request arrives once more, seconds after the answer.
    if (Chance(30) && tries_left > 0) {
      After(Millis(0, 5000), [this, client] { Submit(client, 0); });
    }
    return;
  }
  if (registered.ok() && registered.value() == Registration::kWithdrawn && !client->cancel_sent) {
    Violation(absl::StrCat(client->id.value(), " of ", client->customer,
                           " is refused as cancelled, but its client has not cancelled it"));
  }
  const bool may_succeed = !registered.ok() && (!client->cancel_sent || Chance(30));
  if (may_succeed && tries_left > 0) {
    After(Millis(100, 2000), [this, client, tries_left] { Submit(client, tries_left - 1); });
  }
}

void JobIdentitySimulation::Cancel(Client* client) {
  client->cancel_sent = true;
  Instance& instance = AnyInstance();
  const Outcome<bool> cancelled = Capture([&] {
    return instance.registry->Cancel(client->id, PartOf(instance.pool), CallerOf(client->customer),
                                     CreationLimits{});
  });
  if (cancelled.ok()) {
    withdrawals_ += cancelled.value() ? 0 : 1;
    client->cancel_acknowledged = std::min(client->cancel_acknowledged, clock_.Now());
  }
  if (!cancelled.ok() || Chance(10)) {
    After(Millis(100, 2000), [this, client] { Cancel(client); });
  }
}

void JobIdentitySimulation::StartOwner(Owner* owner) {
  owner->claim = store_.Put(cell_keys::Claim(owner->part), "claim");
  owner->jobs.clear();
  PartClaim claim;
  claim.part = owner->part;
  claim.revision = owner->claim;
  owner->cleanup =
      std::make_unique<WithdrawalCleanup>(claim, &store_, &clock_, &events_, kRetention);
  const Outcome<StoreListing> finished =
      Capture([&] { return store_.ListAll(cell_keys::FinishedPrefix(owner->part)); });
  for (const StoreEntry& entry : finished.value().entries) {
    owner->jobs[IdOf(entry.key)].final_since = clock_.Now();
  }
}

void JobIdentitySimulation::StepOwner(Owner* owner) {
  const Outcome<StoreListing> intake =
      Capture([&] { return store_.ListAll(cell_keys::IntakePrefix(owner->part)); });
  std::set<JobId> cancelled;
  for (const StoreEntry& entry : intake.value().entries) {
    if (absl::StartsWith(entry.key, cell_keys::CancelPrefix(owner->part))) {
      cancelled.insert(IdOf(entry.key));
      continue;
    }
    const auto [known, is_new] = owner->jobs.try_emplace(IdOf(entry.key));
    if (is_new) {
      known->second.customer =
          Capture([&entry = entry] { return DecodeIntakeCustomer(entry.value); }).value().value();
    }
  }
  for (auto& [id, job] : owner->jobs) {
    if (job.final_since < absl::InfiniteFuture()) {
      continue;
    }
    if (cancelled.count(id) > 0) {
      Finish(owner, id, &job, "cancelled");
    } else if (!job.running) {
      // A next owner adopts what runs.
      if (ended_.count(id) > 0 || starts_.count(id) == 0 || removed_.count(id) > 0) {
        CheckStart(id, job.customer, owner->part);
      }
      job.running = true;
      job.ends = clock_.Now() + Millis(200, 4000);
    } else if (clock_.Now() >= job.ends) {
      ended_.insert(id);
      Finish(owner, id, &job, "completed");
    }
  }
  RemoveExpired(owner);
  owner->cleanup->Run();
}

void JobIdentitySimulation::Finish(Owner* owner, const JobId& id, OwnedJob* job,
                                   const std::string& state) {
  StoreTransaction transaction;
  nlohmann::json record = {{"state", state}};
  record["customer"] = job->customer;
  transaction.writes = {
      StoreWrite{cell_keys::Finished(owner->part, id), record.dump(), EntryLifetime::Permanent()}};
  transaction.removals = {cell_keys::Job(owner->part, id)};
  Capture([&] { return store_.Commit(transaction); });
  job->final_since = clock_.Now();
}

void JobIdentitySimulation::RemoveExpired(Owner* owner) {
  for (auto it = owner->jobs.begin(); it != owner->jobs.end();) {
    const JobId& id = it->first;
    if (clock_.Now() - it->second.final_since <= kRetention) {
      ++it;
      continue;
    }
    StoreTransaction transaction;
    transaction.removals = {cell_keys::Job(owner->part, id), cell_keys::Cancel(owner->part, id),
                            cell_keys::Finished(owner->part, id), cell_keys::JobIdEntry(id)};
    Capture([&] { return store_.Commit(transaction); });
    removed_[id] = clock_.Now();
    it = owner->jobs.erase(it);
  }
}

void JobIdentitySimulation::CheckStart(const JobId& id, const std::string& customer,
                                       const PartName& part) {
  if (++starts_[id] > 1) {
    Violation(absl::StrCat(id.value(), " is started again, in ", part.value()));
  }
  for (const std::unique_ptr<Client>& client : clients_) {
    if (client->id == id && client->customer == customer &&
        clock_.Now() > client->cancel_acknowledged + kCancelTime) {
      Violation(absl::StrCat(id.value(), " is started ",
                             absl::FormatDuration(clock_.Now() - client->cancel_acknowledged),
                             " after its cancellation was acknowledged"));
    }
  }
}

void JobIdentitySimulation::CheckAcceptedJobs() {
  for (const std::unique_ptr<Client>& client : clients_) {
    if (!client->accepted || removed_.count(client->id) > 0) {
      continue;
    }
    const Outcome<std::optional<JobIdRecord>> record =
        Capture([&] { return AnyInstance().registry->Find(client->id); });
    const bool found =
        record.ok() && record.value().has_value() && !record.value()->IsWithdrawn() &&
        Capture(
            [&] { return AnyInstance().registry->StatusInPart(record.value()->part, client->id); })
            .value()
            .has_value();
    if (!found) {
      Violation(absl::StrCat("the accepted job ", client->id.value(), " is not known"));
      client->accepted = false;
    }
  }
}

void JobIdentitySimulation::CheckNoEntryIsLeft() {
  for (const char* prefix :
       {"pomelotray/ids/", "pomelotray/withdrawn/", "pomelotray/intake/", "pomelotray/finished/"}) {
    const Outcome<StoreListing> left = Capture([&] { return store_.ListAll(prefix); });
    for (const StoreEntry& entry : left.value().entries) {
      Violation(absl::StrCat(entry.key, " is left"));
    }
  }
}

void JobIdentitySimulation::Violation(const std::string& text) {
  violations_.push_back(
      absl::StrCat("at ", absl::FormatDuration(clock_.Now() - begin_), ": ", text));
}

}  // namespace pomelotray
