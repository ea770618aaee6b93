#include "base/event_catalog.h"

namespace pomelotray {

const std::vector<EventDescription>& EventCatalog() {
  using Code = EventCode;
  constexpr EventLevel kInfo = EventLevel::kInfo;
  constexpr EventLevel kNotice = EventLevel::kNotice;
  constexpr EventLevel kWarning = EventLevel::kWarning;
  constexpr EventLevel kError = EventLevel::kError;
  static const std::vector<EventDescription>* const kCatalog = new std::vector<EventDescription>{
      {Code::kProcessStarted, kInfo, "process_started", "The process started."},
      {Code::kProcessReady, kInfo, "process_ready", "The process is ready to serve."},
      {Code::kProcessDraining, kInfo, "process_draining", "A graceful stop began."},
      {Code::kProcessStopped, kInfo, "process_stopped", "The process stopped."},
      {Code::kOpenListenerWithoutToken, kWarning, "open_listener_without_token",
       "A listener other than loopback has no token; set --operator-token."},
      {Code::kInvalidInputRefused, kWarning, "invalid_input_refused", "Invalid input was refused."},
      {Code::kSettingsReloaded, kInfo, "settings_reloaded", "The settings file was read again."},
      {Code::kLogLinesDropped, kWarning, "log_lines_dropped",
       "Log lines were dropped because the reader of the log was too slow."},
      {Code::kReadinessChanged, kInfo, "readiness_changed",
       "The answer of the readiness check changed."},
      {Code::kPeerLive, kInfo, "peer_live", "Another instance is reachable."},
      {Code::kPeerSuspect, kWarning, "peer_suspect", "Another instance missed heartbeats."},
      {Code::kPeerDead, kWarning, "peer_dead", "Another instance is considered dead."},
      {Code::kPeerLeaving, kInfo, "peer_leaving", "Another instance announced its stop."},
      {Code::kPeerAuthenticationFailed, kWarning, "peer_authentication_failed",
       "A message did not prove the shared key; check --peer-key on both instances."},
      {Code::kPeerConnectionRefused, kWarning, "peer_connection_refused",
       "A connection of another instance was closed at once, since no thread could be started."},
      {Code::kInstanceLeaseGranted, kInfo, "instance_lease_granted",
       "The store granted the instance lease."},
      {Code::kInstanceLeaseLost, kWarning, "instance_lease_lost",
       "The instance lease lapsed or could not be renewed."},
      {Code::kShardClaimed, kInfo, "shard_claimed", "This instance became owner of a shard."},
      {Code::kShardReleased, kInfo, "shard_released", "This instance handed a shard over."},
      {Code::kShardDeposed, kWarning, "shard_deposed", "Another instance owns the shard now."},
      {Code::kLocalTakeover, kWarning, "local_takeover",
       "This instance took a shard over during a store outage."},
      {Code::kJournalCommitted, kInfo, "journal_committed", "A batch of records became durable."},
      {Code::kJournalSnapshotWritten, kInfo, "journal_snapshot_written",
       "A journal snapshot was written."},
      {Code::kJournalRecovered, kInfo, "journal_recovered", "A journal was read after a claim."},
      {Code::kStoreOutageBegan, kWarning, "store_outage_began", "The store stopped answering."},
      {Code::kStoreOutageEnded, kInfo, "store_outage_ended", "The store answers again."},
      {Code::kStoreAnswerLost, kWarning, "store_answer_lost",
       "The outcome of a store write was unknown and is read back."},
      {Code::kWriteRelayFailed, kWarning, "write_relay_failed",
       "Another instance did not store a job or a cancellation on behalf of this one."},
      {Code::kStoreCallFailed, kWarning, "store_call_failed",
       "A store call failed that is tried again later or that is not needed."},
      {Code::kOwnerNoticeLost, kInfo, "owner_notice_lost",
       "The owner of a pool was not told of a new entry; the store's watch brings it."},
      {Code::kPartOwners, kInfo, "part_owners",
       "Numbers of pool parts with and without an owner; how long the first has had none."},
      {Code::kPartWithoutOwner, kWarning, "part_without_owner",
       "A pool part has had no owner for long; the reason."},
      {Code::kHandoverListed, kInfo, "handover_listed",
       "What the owner that stops lists for the next one: workers, attempts, and how many of these "
       "are unconfirmed or being stopped."},
      {Code::kJobAccepted, kInfo, "job_accepted", "A job became durable."},
      {Code::kJobRefused, kInfo, "job_refused", "A job was refused and will not run."},
      {Code::kJobFinished, kInfo, "job_finished", "A job reached a final state."},
      {Code::kJobCancelled, kInfo, "job_cancelled", "A job was cancelled."},
      {Code::kTaskIntent, kInfo, "task_intent",
       "The intent to start a task that may not be repeated became durable."},
      {Code::kTaskStartSent, kInfo, "task_start_sent", "A start was sent to a worker."},
      {Code::kTaskStarted, kInfo, "task_started", "A worker confirmed the start of a task."},
      {Code::kTaskStartRefused, kWarning, "task_start_refused", "A worker refused a start."},
      {Code::kTaskEnded, kInfo, "task_ended", "A worker reported the end of a task."},
      {Code::kTaskOutcomeUnknown, kError, "task_outcome_unknown",
       "A task that may not be repeated may have run; it is not run again."},
      {Code::kTaskAdopted, kInfo, "task_adopted",
       "A new owner learned of an attempt from the roster or a report; whether it adopted or stops "
       "it."},
      {Code::kTaskRequeued, kInfo, "task_requeued", "A repeatable task was queued again."},
      {Code::kTaskPreempted, kInfo, "task_preempted",
       "A running task is stopped and queued again; the reason."},
      {Code::kGangReserved, kInfo, "gang_reserved", "Room is being reserved for a gang."},
      {Code::kAdviceReceived, kInfo, "advice_received",
       "The adviser named the workers that may run a step."},
      {Code::kAdviceFailed, kWarning, "advice_failed", "A question to the adviser failed."},
      {Code::kJobStateTold, kInfo, "job_state_told", "A caller was told the state of a job."},
      {Code::kTaskWorkerLost, kWarning, "task_worker_lost",
       "A task was on a worker that was lost."},
      {Code::kTaskWaiting, kInfo, "task_waiting",
       "A long-running task waits; the reason and the workers that it cannot use."},
      {Code::kUnexpectedEnd, kWarning, "unexpected_end",
       "A worker reported the end of an attempt that its earlier reports did not show."},
      {Code::kStartSummary, kNotice, "start_summary",
       "Starts and questions to the adviser of a pool part since the last summary, every second."},
      {Code::kTaskRestarted, kInfo, "task_restarted",
       "A long-running task runs again; the parts of the time without a run."},
      {Code::kCustomerAtCap, kNotice, "customer_at_cap",
       "The demand of a workspace exceeds its cap over all pools (`at_cap` 1), or does not any "
       "more (0)."},
      {Code::kCustomersOverShare, kNotice, "customers_over_share",
       "Customers of a pool part that use more than their shares or exceed their rates, every 5 "
       "s."},
      {Code::kJobIdWithdrawn, kInfo, "job_id_withdrawn",
       "A job was cancelled that is not stored; none of its id will be for the retention."},
      {Code::kRequestReceived, kInfo, "request_received", "A caller's request arrived."},
      {Code::kRequestSent, kInfo, "request_sent", "A request was sent to an executor."},
      {Code::kRequestAnswered, kInfo, "request_answered", "A request was answered."},
      {Code::kRequestRefused, kInfo, "request_refused", "A request was refused."},
      {Code::kRequestRetried, kWarning, "request_retried",
       "A request was sent to another executor."},
      {Code::kStaleAnswerDropped, kWarning, "stale_answer_dropped",
       "An answer to another attempt or a truncated answer was dropped."},
      {Code::kContractApplied, kInfo, "contract_applied", "An operator's contract was stored."},
      {Code::kContractInForce, kInfo, "contract_in_force",
       "A contract revision is in force on this instance."},
      {Code::kContractConflict, kInfo, "contract_conflict",
       "A contract change lost against another operator's change."},
      {Code::kSliceChanged, kInfo, "slice_changed", "A shard's slice of a contract changed."},
      {Code::kStaleConfigurationIgnored, kInfo, "stale_configuration_ignored",
       "An older configuration revision was ignored."},
      {Code::kUnreadableEntry, kWarning, "unreadable_entry",
       "An entry of the platform cannot be read and is ignored."},
      {Code::kConfigurationWatchSilent, kWarning, "configuration_watch_silent",
       "The store did not answer the watch of the configuration for 1 s; other instances are "
       "asked."},
      {Code::kConfigurationFromPeer, kInfo, "configuration_from_peer",
       "A newer configuration came from another instance."},
      {Code::kConfigurationPeerFailed, kInfo, "configuration_peer_failed",
       "Another instance did not answer a request for the configuration; the next one is asked."},
      {Code::kWorkerFenced, kInfo, "worker_fenced", "A worker accepted this owner's epoch."},
      {Code::kWorkerUnreachable, kWarning, "worker_unreachable", "A worker does not answer."},
      {Code::kWorkerGone, kWarning, "worker_gone", "A worker left the VM list or rebooted."},
      {Code::kWorkerLeaving, kInfo, "worker_leaving", "A worker is leaving; it gets no new work."},
      {Code::kWorkerQuarantined, kWarning, "worker_quarantined",
       "A worker failed several starts; it gets no work until a probe succeeds."},
      {Code::kWorkerProbed, kInfo, "worker_probed", "A quarantined worker is being probed."},
      {Code::kWorkerRestored, kInfo, "worker_restored", "A quarantined worker works again."},
      {Code::kWorkerReservation, kInfo, "worker_reservation",
       "The resources reserved on a worker changed."},
      {Code::kWorkerLost, kWarning, "worker_lost",
       "A worker was lost with all tasks on it; the cause says how it is known."},
      {Code::kWorkerCapacityChanged, kInfo, "worker_capacity_changed",
       "A worker announced another capacity."},
      {Code::kPoolState, kNotice, "pool_state",
       "A summary of a pool part's workers and waiting tasks, every 5 s."},
      {Code::kWorkerSpeedChanged, kNotice, "worker_speed_changed",
       "A worker has become slow, at least twice the usual run time, or has recovered."},
      {Code::kInterferingImages, kNotice, "interfering_images",
       "The pairs of images that slow each other down on one worker have changed."},
  };
  return *kCatalog;
}

const EventDescription& DescribeEvent(EventCode code) {
  for (const EventDescription& description : EventCatalog()) {
    if (description.code == code) {
      return description;
    }
  }
  return EventCatalog().front();
}

std::optional<EventCode> ParseEventCode(int number) {
  for (const EventDescription& description : EventCatalog()) {
    if (static_cast<int>(description.code) == number) {
      return description.code;
    }
  }
  return std::nullopt;
}

}  // namespace pomelotray
