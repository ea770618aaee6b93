#ifndef POMELOTRAY_PEER_MEMBER_TABLE_H_
#define POMELOTRAY_PEER_MEMBER_TABLE_H_

#include <map>
#include <optional>
#include <set>
#include <vector>

#include "base/event_log.h"
#include "peer/heartbeat_codec.h"
#include "peer/member.h"

namespace pomelotray {

// What this instance knows about itself and the others. Not thread-safe; Membership guards it.
//
// Every instance judges silence by its own exchanges: another's suspicion is only a hint to look
// for oneself, so an instance that is cut off cannot make the rest of the cluster drop members that
// it alone cannot reach. Descriptions, leaving and higher incarnations are adopted from news.
class MemberTable {
 public:
  // State of a silent instance, since its last heartbeat.
  static constexpr absl::Duration kSuspectAfter = absl::Seconds(3);
  static constexpr absl::Duration kDeadAfter = absl::Seconds(10);
  // A dead instance is remembered this long, so that late news does not bring it back.
  static constexpr absl::Duration kForgetAfter = absl::Minutes(10);
  // Many times the two-year size of 57 instances.
  static constexpr size_t kMaxMembers = 1024;

  MemberTable(Member self, EventLog* events);

  const Member& self() const { return self_; }
  uint32_t self_hash() const { return self_hash_; }
  // Updates the own revision and shards; a change of the shards is news.
  void UpdateSelf(Revision revision, std::vector<ShardId> shards);
  void SetLeaving();

  // Builds the next message for `receiver` (empty when not known yet).
  Heartbeat Compose(const InstanceId& receiver);
  // Takes in a message. Returns the sender when the message was not stale.
  std::optional<Member> Apply(const Heartbeat& heartbeat, absl::Time now);

  // A call to the member at `address` failed.
  void RecordFailure(const std::string& address, absl::Time now);
  // `sender` answered at `address`; any other member there has been replaced.
  void RecordAnswer(const std::string& address, const InstanceId& sender, absl::Time now);
  // Moves silent members on to suspect and dead, and forgets those that have been dead for long.
  void Sweep(absl::Time now);
  // Ignores silence while this process itself did not run.
  void ForgivePause(absl::Duration pause);

  // All members but this instance itself.
  std::vector<Member> Others() const;
  std::optional<InstanceId> IdAt(const std::string& address) const;
  // Members that others suspect and this instance has not asked since; cleared by the call.
  std::set<std::string> TakeAddressesToVerify();

 private:
  struct Record {
    Member member;
    uint32_t hash = 0;
    int64_t sequence = -1;
    // Hash of this instance's description as the member last told.
    uint32_t knows_us = 0;
    // The member's table differed from ours at the last exchange.
    bool differs = false;
    // First call since the last exchange that failed.
    absl::Time failing_since = absl::InfiniteFuture();
    absl::Time dead_since;
    int sends_left = 0;
    uint64_t changed = 0;
  };

  void MarkNews(Record* record);
  void SetState(Record* record, MemberState state, EventCode code);
  void Rehash(Record* record);
  void ChangeSelf();
  void ApplyNews(const News& news, absl::Time now);
  void ApplyNewsOfSelf(const Member& claim);
  void AddMember(const Member& member, absl::Time now);
  void AdoptDescription(Record* record, const News& news, absl::Time now);
  // Logs once that the sender's heartbeats have malformed items of news.
  void ReportMalformedNews(const InstanceId& sender);
  bool ApplySender(Record* record, const Heartbeat& heartbeat, absl::Time now);
  void ChooseNews(const InstanceId& receiver, const Record* record, Heartbeat* heartbeat);
  int SendsPerChange() const;
  uint32_t Digest() const;

  Member self_;
  uint32_t self_hash_ = 0;
  int64_t sequence_ = 0;
  EventLog* const events_;
  std::map<InstanceId, Record> records_;
  std::set<InstanceId> to_verify_;
  std::set<InstanceId> faulty_senders_;
  uint64_t changes_ = 0;
  // The last member that was repeated; the next message goes on behind it.
  InstanceId rotation_;
};

}  // namespace pomelotray

#endif  // POMELOTRAY_PEER_MEMBER_TABLE_H_
