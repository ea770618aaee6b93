#ifndef POMELOTRAY_STATE_JOURNAL_KEYS_H_
#define POMELOTRAY_STATE_JOURNAL_KEYS_H_

#include <cstddef>
#include <cstdint>
#include <string>

#include "base/shard_id.h"

namespace pomelotray {

// Number of slots in a journal's ring of batches.
inline constexpr int64_t kJournalSlots = 64;
// Number of batches after which a new snapshot is written.
inline constexpr int64_t kBatchesPerSnapshot = 32;
// Upper bound on the size of the MessagePack header of one record in a batch or snapshot part.
inline constexpr size_t kRecordFramingBytes = 5;

inline std::string JournalPrefix(const ShardId& shard) {
  return "journal/" + shard.ToString() + "/";
}

}  // namespace pomelotray

#endif  // POMELOTRAY_STATE_JOURNAL_KEYS_H_
