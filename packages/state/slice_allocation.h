#ifndef POMELOTRAY_STATE_SLICE_BOOK_H_
#define POMELOTRAY_STATE_SLICE_BOOK_H_

#include <array>
#include <cstdint>
#include <map>
#include <string>

#include "base/error.h"
#include "base/shard_id.h"
#include "base/strong_number.h"

namespace pomelotray {

// The amounts that are divided between shards, in the order of SliceAmount.
enum SliceAmount : size_t {
  kSliceCpu,
  kSliceMemory,
  kSliceAccelerators,
  kSliceSlots,
  // In thousandths per second.
  kSliceRate,
  kSliceBurst,
  kSliceJobs,
  kSliceAmounts,
};
using SliceVector = std::array<int64_t, kSliceAmounts>;

// One shard's part of a customer's cap.
struct SliceEntry {
  // Term of the owner that wrote the entry last; only owners of this or a later term may use it.
  int64_t term = 0;
  SliceVector amount = {};
  // What the shard would use if the cap allowed it.
  SliceVector wanted = {};
};

// The value of `slices/<customer>`.
struct SliceBook {
  // Newest contract revision that a writer of the book knew, and the cap of that revision. Writers
  // that know only an older contract keep to this cap.
  Revision contract_revision;
  SliceVector cap = {};
  std::map<ShardId, SliceEntry> entries;
};

bool operator==(const SliceEntry& a, const SliceEntry& b);
bool operator==(const SliceBook& a, const SliceBook& b);

// Component-wise minimum and maximum.
SliceVector Min(const SliceVector& a, const SliceVector& b);
SliceVector Max(const SliceVector& a, const SliceVector& b);

// `nonce` marks the write.
std::string EncodeSliceBook(const SliceBook& book, const std::string& nonce);
Result<SliceBook> DecodeSliceBook(const std::string& value);

}  // namespace pomelotray

#endif  // POMELOTRAY_STATE_SLICE_BOOK_H_
