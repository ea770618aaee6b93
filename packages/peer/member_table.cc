#include "peer/member_table.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "peer/message_codec.h"

namespace pomelotray {
namespace {

// Known entries that a message repeats to a member whose table differs. Two entries keep a cluster
// that is just changing near the budget; a newcomer gets as many as fit.
constexpr int kRepeatsToMember = 2;
constexpr int kRepeatsToNewcomer = 64;
// The MessagePack header of an array of up to 65535 items.
constexpr size_t kArrayHeaderSize = 3;

bool FitsIntoNews(const Member& member) {
  return member.owned_shards.size() <= kMaxShards &&
         EncodeBody(EncodeNews(News{member, true})).size() + kArrayHeaderSize <= kMaxNewsBytes;
}

bool IsGone(MemberState state) { return state == MemberState::kDead; }

// Adds items to a heartbeat while they fit into its bound.
class NewsWriter {
 public:
  explicit NewsWriter(Heartbeat* heartbeat) : heartbeat_(heartbeat) {}

  bool Add(News news) {
    const size_t size = EncodeBody(EncodeNews(news)).size();
    if (used_ + size > kMaxNewsBytes) {
      return false;
    }
    used_ += size;
    heartbeat_->news.push_back(std::move(news));
    return true;
  }

 private:
  Heartbeat* const heartbeat_;
  size_t used_ = kArrayHeaderSize;
};

News NewsOf(const Member& member) {
  const bool opinion = member.state == MemberState::kSuspect || member.state == MemberState::kDead;
  return News{member, !opinion};
}

}  // namespace

MemberTable::MemberTable(Member self, EventLog* events) : self_(std::move(self)), events_(events) {
  // Version 0 marks a description that is not known yet.
  self_.version = 1;
  self_hash_ = HashMember(self_);
}

void MemberTable::UpdateSelf(Revision revision, std::vector<ShardId> shards) {
  self_.configuration_revision = revision;
  std::sort(shards.begin(), shards.end());
  Member described = self_;
  described.owned_shards = shards;
  while (!shards.empty() && !FitsIntoNews(described)) {
    shards.pop_back();
    described.owned_shards = shards;
  }
  if (shards != self_.owned_shards) {
    self_.owned_shards = std::move(shards);
    ChangeSelf();
  }
}

void MemberTable::SetLeaving() {
  if (self_.state != MemberState::kLeaving) {
    self_.state = MemberState::kLeaving;
    ChangeSelf();
  }
}

void MemberTable::ChangeSelf() {
  ++self_.version;
  self_hash_ = HashMember(self_);
}

Heartbeat MemberTable::Compose(const InstanceId& receiver) {
  const auto it = records_.find(receiver);
  const Record* const record = it == records_.end() ? nullptr : &it->second;
  Heartbeat heartbeat;
  heartbeat.sender = self_.id;
  heartbeat.incarnation = self_.incarnation;
  heartbeat.sequence = ++sequence_;
  heartbeat.leaving = self_.state == MemberState::kLeaving;
  heartbeat.revision = self_.configuration_revision;
  heartbeat.own_hash = self_hash_;
  heartbeat.known_hash = record == nullptr ? 0 : record->hash;
  heartbeat.table_digest = Digest();
  ChooseNews(receiver, record, &heartbeat);
  return heartbeat;
}

void MemberTable::ChooseNews(const InstanceId& receiver, const Record* record,
                             Heartbeat* heartbeat) {
  NewsWriter writer(heartbeat);
  if (record == nullptr || record->knows_us != self_hash_) {
    writer.Add(News{self_, true});
  }
  // The receiver learns what is thought of it, so that it can refute.
  if (record != nullptr && IsGone(record->member.state)) {
    writer.Add(NewsOf(record->member));
  }
  std::vector<Record*> fresh;
  for (auto& [id, candidate] : records_) {
    if (candidate.sends_left > 0 && id != receiver) {
      fresh.push_back(&candidate);
    }
  }
  std::sort(fresh.begin(), fresh.end(),
            [](const Record* a, const Record* b) { return a->changed > b->changed; });
  std::set<InstanceId> sent;
  for (Record* const candidate : fresh) {
    if (!writer.Add(NewsOf(candidate->member))) {
      break;
    }
    --candidate->sends_left;
    sent.insert(candidate->member.id);
  }
  const bool newcomer = record == nullptr || record->knows_us == 0;
  int repeats = newcomer ? kRepeatsToNewcomer : (record->differs ? kRepeatsToMember : 0);
  auto next = records_.upper_bound(rotation_);
  for (size_t looked = 0; looked < records_.size() && repeats > 0; ++looked) {
    if (next == records_.end()) {
      next = records_.begin();
    }
    const Member& member = next->second.member;
    if (member.id != receiver && !IsGone(member.state) && sent.count(member.id) == 0) {
      // A member that is suspected here is still described, as live, to those who do not know it.
      News news{member, true};
      news.member.state =
          member.state == MemberState::kLeaving ? MemberState::kLeaving : MemberState::kLive;
      if (!writer.Add(std::move(news))) {
        break;
      }
      --repeats;
    }
    rotation_ = next->first;
    ++next;
  }
}

std::optional<Member> MemberTable::Apply(const Heartbeat& heartbeat, absl::Time now) {
  if (heartbeat.sender == self_.id) {
    return std::nullopt;
  }
  if (heartbeat.malformed_news > 0) {
    ReportMalformedNews(heartbeat.sender);
  }
  for (const News& news : heartbeat.news) {
    ApplyNews(news, now);
  }
  const auto it = records_.find(heartbeat.sender);
  if (it == records_.end() || !ApplySender(&it->second, heartbeat, now)) {
    return std::nullopt;
  }
  return it->second.member;
}

void MemberTable::ReportMalformedNews(const InstanceId& sender) {
  if (faulty_senders_.size() < kMaxMembers && faulty_senders_.insert(sender).second) {
    events_->Record(EventCode::kInvalidInputRefused)
        .Peer(sender)
        .With(event_field::kReason,
              "A heartbeat has malformed items of news, which were left out; check that both "
              "instances run compatible versions.")
        .Emit();
  }
}

bool MemberTable::ApplySender(Record* record, const Heartbeat& heartbeat, absl::Time now) {
  Member& member = record->member;
  if (heartbeat.incarnation < member.incarnation) {
    return false;
  }
  if (heartbeat.incarnation == member.incarnation) {
    // A dead member returns with a higher incarnation only: this message may have been delayed.
    if (heartbeat.sequence <= record->sequence || IsGone(member.state)) {
      return false;
    }
  }
  const bool newer = heartbeat.incarnation > member.incarnation;
  record->sequence = heartbeat.sequence;
  record->knows_us = heartbeat.known_hash;
  record->failing_since = absl::InfiniteFuture();
  member.last_heard = now;
  member.configuration_revision = heartbeat.revision;
  to_verify_.erase(member.id);
  if (newer) {
    member.incarnation = heartbeat.incarnation;
    // The description of the last incarnation stays until the member sends the present one.
    member.version = 0;
    Rehash(record);
    MarkNews(record);
  }
  if (heartbeat.leaving) {
    SetState(record, MemberState::kLeaving, EventCode::kPeerLeaving);
  } else if (newer || member.state != MemberState::kLeaving) {
    SetState(record, MemberState::kLive, EventCode::kPeerLive);
  }
  record->differs = heartbeat.table_digest != Digest();
  return true;
}

void MemberTable::ApplyNews(const News& news, absl::Time now) {
  const Member& claim = news.member;
  if (claim.id == self_.id) {
    ApplyNewsOfSelf(claim);
    return;
  }
  const auto it = records_.find(claim.id);
  if (it == records_.end()) {
    if (news.has_description && !IsGone(claim.state)) {
      AddMember(claim, now);
    }
    return;
  }
  Record* const record = &it->second;
  Member& member = record->member;
  if (claim.incarnation < member.incarnation ||
      (claim.incarnation == member.incarnation && IsGone(member.state))) {
    // The sender is behind: tell it, unless it agrees.
    if (claim.state != member.state) {
      record->sends_left = std::max(record->sends_left, 1);
    }
    return;
  }
  if (claim.state == MemberState::kSuspect || claim.state == MemberState::kDead) {
    if (!IsGone(member.state) && now - member.last_heard > kSuspectAfter) {
      to_verify_.insert(claim.id);
    }
    return;
  }
  AdoptDescription(record, news, now);
}

void MemberTable::AdoptDescription(Record* record, const News& news, absl::Time now) {
  const Member& claim = news.member;
  Member& member = record->member;
  const bool newer = claim.incarnation > member.incarnation;
  if (!news.has_description || (!newer && claim.version <= member.version)) {
    return;
  }
  member.domain = claim.domain;
  member.region = claim.region;
  member.peer_address = claim.peer_address;
  member.api_address = claim.api_address;
  member.owned_shards = claim.owned_shards;
  member.version = claim.version;
  member.incarnation = claim.incarnation;
  if (newer) {
    // Sequences start anew, and the member has refuted what was thought of its last incarnation.
    record->sequence = -1;
    member.last_heard = now;
    record->failing_since = absl::InfiniteFuture();
    to_verify_.erase(member.id);
  }
  if (claim.state == MemberState::kLeaving) {
    SetState(record, MemberState::kLeaving, EventCode::kPeerLeaving);
  } else if (newer) {
    SetState(record, MemberState::kLive, EventCode::kPeerLive);
  }
  Rehash(record);
  MarkNews(record);
}

void MemberTable::ApplyNewsOfSelf(const Member& claim) {
  const bool doubted = claim.state == MemberState::kSuspect || claim.state == MemberState::kDead;
  if (claim.incarnation >= kMaxIncarnation) {
    // No instance has such an incarnation, and the next one could not be sent.
    return;
  }
  if (claim.incarnation > self_.incarnation ||
      (claim.incarnation == self_.incarnation && doubted)) {
    self_.incarnation = claim.incarnation + 1;
    ChangeSelf();
  }
}

void MemberTable::AddMember(const Member& member, absl::Time now) {
  if (records_.size() >= kMaxMembers) {
    return;
  }
  Record& record = records_[member.id];
  record.member = member;
  record.member.last_heard = now;
  Rehash(&record);
  MarkNews(&record);
  const EventCode code =
      member.state == MemberState::kLeaving ? EventCode::kPeerLeaving : EventCode::kPeerLive;
  events_->Record(code).Peer(member.id).Emit();
}

void MemberTable::RecordFailure(const std::string& address, absl::Time now) {
  for (auto& [id, record] : records_) {
    if (record.member.peer_address == address) {
      record.failing_since = std::min(record.failing_since, now);
    }
  }
}

void MemberTable::RecordAnswer(const std::string& address, const InstanceId& sender,
                               absl::Time now) {
  for (auto& [id, record] : records_) {
    if (record.member.peer_address == address && id != sender) {
      record.failing_since = std::min(record.failing_since, now);
    }
  }
}

void MemberTable::Sweep(absl::Time now) {
  for (auto it = records_.begin(); it != records_.end();) {
    Record& record = it->second;
    const MemberState state = record.member.state;
    if (IsGone(state)) {
      it = now >= record.dead_since + kForgetAfter ? records_.erase(it) : std::next(it);
      continue;
    }
    // Members of the own domain are asked every second. Others are asked seldom, so their silence
    // counts from the first call that failed.
    const bool own_domain = record.member.domain == self_.domain;
    const absl::Time silent_since = own_domain
                                        ? record.member.last_heard
                                        : std::max(record.member.last_heard, record.failing_since);
    if (now >= silent_since + kDeadAfter) {
      record.dead_since = now;
      SetState(&record, MemberState::kDead, EventCode::kPeerDead);
    } else if (now >= silent_since + kSuspectAfter && state == MemberState::kLive) {
      SetState(&record, MemberState::kSuspect, EventCode::kPeerSuspect);
    }
    ++it;
  }
}

void MemberTable::ForgivePause(absl::Duration pause) {
  for (auto& [id, record] : records_) {
    record.member.last_heard += pause;
    record.failing_since += pause;
  }
}

std::vector<Member> MemberTable::Others() const {
  std::vector<Member> members;
  members.reserve(records_.size());
  for (const auto& [id, record] : records_) {
    members.push_back(record.member);
  }
  return members;
}

std::optional<InstanceId> MemberTable::IdAt(const std::string& address) const {
  const Member* found = nullptr;
  for (const auto& [id, record] : records_) {
    const Member& member = record.member;
    if (member.peer_address == address &&
        (found == nullptr || found->last_heard < member.last_heard)) {
      found = &member;
    }
  }
  return found == nullptr ? std::nullopt : std::make_optional(found->id);
}

std::set<std::string> MemberTable::TakeAddressesToVerify() {
  std::set<std::string> addresses;
  for (const InstanceId& id : to_verify_) {
    const auto it = records_.find(id);
    if (it != records_.end()) {
      addresses.insert(it->second.member.peer_address);
    }
  }
  to_verify_.clear();
  return addresses;
}

void MemberTable::SetState(Record* record, MemberState state, EventCode code) {
  if (record->member.state == state) {
    return;
  }
  // Others have not adopted the suspicion that ends here, so its end is no news to them.
  const bool news = record->member.state != MemberState::kSuspect || state != MemberState::kLive;
  record->member.state = state;
  Rehash(record);
  if (news) {
    MarkNews(record);
  }
  events_->Record(code).Peer(record->member.id).Emit();
}

void MemberTable::MarkNews(Record* record) {
  record->sends_left = SendsPerChange();
  record->changed = ++changes_;
}

void MemberTable::Rehash(Record* record) { record->hash = HashMember(record->member); }

int MemberTable::SendsPerChange() const {
  // A rumour that each instance repeats 3 log2(n) times reaches all of n with high probability.
  return static_cast<int>(std::ceil(3 * std::log2(static_cast<double>(records_.size()) + 2)));
}

uint32_t MemberTable::Digest() const {
  uint32_t digest = self_hash_;
  for (const auto& [id, record] : records_) {
    if (!IsGone(record.member.state)) {
      digest ^= record.hash;
    }
  }
  return digest;
}

}  // namespace pomelotray
