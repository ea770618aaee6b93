#ifndef POMELOTRAY_BASE_EVENT_CATALOG_H_
#define POMELOTRAY_BASE_EVENT_CATALOG_H_

#include <optional>
#include <string_view>
#include <vector>

namespace pomelotray {

enum class EventLevel {
  kInfo,
  // Informational and written at a fixed rate, so that it is never dropped to limit the rate.
  kNotice,
  kWarning,
  kError
};

// Numbers of all log and timeline events. A number is never reused; docs/events.md lists them all.
// 1xx process, 2xx membership, 3xx state and ownership, 4xx jobs and tasks, 5xx requests, 6xx
// configuration and limits, 7xx upstreams.
enum class EventCode {
  kProcessStarted = 100,
  kProcessReady = 101,
  kProcessDraining = 102,
  kProcessStopped = 103,
  kOpenListenerWithoutToken = 104,
  kInvalidInputRefused = 105,
  kSettingsReloaded = 106,
  kLogLinesDropped = 107,
  kReadinessChanged = 108,

  kPeerLive = 200,
  kPeerSuspect = 201,
  kPeerDead = 202,
  kPeerLeaving = 203,
  kPeerAuthenticationFailed = 204,
  kPeerConnectionRefused = 205,

  kInstanceLeaseGranted = 300,
  kInstanceLeaseLost = 301,
  kShardClaimed = 302,
  kShardReleased = 303,
  kShardDeposed = 304,
  kLocalTakeover = 305,
  kJournalCommitted = 306,
  kJournalSnapshotWritten = 307,
  kJournalRecovered = 308,
  kStoreOutageBegan = 309,
  kStoreOutageEnded = 310,
  kStoreAnswerLost = 311,
  kWriteRelayFailed = 312,
  kStoreCallFailed = 313,
  kOwnerNoticeLost = 314,
  kPartOwners = 315,
  kPartWithoutOwner = 316,
  kHandoverListed = 317,

  kJobAccepted = 400,
  kJobRefused = 401,
  kJobFinished = 402,
  kJobCancelled = 403,
  kTaskIntent = 404,
  kTaskStartSent = 405,
  kTaskStarted = 406,
  kTaskStartRefused = 407,
  kTaskEnded = 408,
  kTaskOutcomeUnknown = 409,
  kTaskAdopted = 410,
  kTaskRequeued = 411,
  kTaskPreempted = 412,
  kGangReserved = 413,
  kAdviceReceived = 414,
  kAdviceFailed = 415,
  kJobStateTold = 416,
  kTaskWorkerLost = 417,
  kTaskWaiting = 418,
  kUnexpectedEnd = 419,
  kStartSummary = 420,
  kTaskRestarted = 421,
  kCustomerAtCap = 422,
  kCustomersOverShare = 423,
  kJobIdWithdrawn = 424,

  kRequestReceived = 500,
  kRequestSent = 501,
  kRequestAnswered = 502,
  kRequestRefused = 503,
  kRequestRetried = 504,
  kStaleAnswerDropped = 505,

  kContractApplied = 600,
  kContractInForce = 601,
  kContractConflict = 602,
  kSliceChanged = 603,
  kStaleConfigurationIgnored = 604,
  kUnreadableEntry = 605,
  kConfigurationWatchSilent = 606,
  kConfigurationFromPeer = 607,
  kConfigurationPeerFailed = 608,

  kWorkerFenced = 700,
  kWorkerUnreachable = 701,
  kWorkerGone = 702,
  kWorkerLeaving = 703,
  kWorkerQuarantined = 704,
  kWorkerProbed = 705,
  kWorkerRestored = 706,
  kWorkerReservation = 707,
  kWorkerLost = 708,
  kWorkerCapacityChanged = 709,
  kPoolState = 710,
  kWorkerSpeedChanged = 711,
  kInterferingImages = 713,
};

// One row of the event catalogue.
struct EventDescription {
  EventCode code;
  EventLevel level;
  std::string_view name;
  std::string_view text;
};

const std::vector<EventDescription>& EventCatalog();
const EventDescription& DescribeEvent(EventCode code);
// Looks an event up by its number, as read from a log line.
std::optional<EventCode> ParseEventCode(int number);

}  // namespace pomelotray

#endif  // POMELOTRAY_BASE_EVENT_CATALOG_H_
