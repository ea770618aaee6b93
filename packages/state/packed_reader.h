#ifndef POMELOTRAY_STATE_PACKED_READER_H_
#define POMELOTRAY_STATE_PACKED_READER_H_

#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>

#include "absl/time/time.h"

namespace pomelotray {

// Reads the elements of a decoded MessagePack array in order. After a missing element or an element
// of the wrong type, ok() is false and all further reads return default values.
class PackedReader {
 public:
  explicit PackedReader(const nlohmann::json& array);

  int64_t Integer();
  // Returns `min` and fails if the integer is not between `min` and `max`.
  int64_t Integer(int64_t min, int64_t max);
  uint64_t Unsigned();
  bool Bool();
  std::string Text();
  // Accepts binary data or a string.
  std::string Bytes();
  const nlohmann::json& Array();
  // A time up to the year 10000.
  absl::Time Time();
  std::optional<absl::Time> OptionalTime();
  // A duration between zero and `max`.
  absl::Duration Duration(absl::Duration max);
  // Reads an integer from 0 to `last` as an enumerator.
  template <typename Enum>
  Enum Enumerator(Enum last) {
    const int64_t number = Integer();
    if (number < 0 || number > static_cast<int64_t>(last)) {
      ok_ = false;
      return Enum();
    }
    return static_cast<Enum>(number);
  }

  bool NextIsText() const;
  bool ok() const { return ok_; }
  // True if all elements were read and valid.
  bool Complete() const { return ok_ && next_ == size_; }

 private:
  // Returns the next element, or null if there is none.
  const nlohmann::json& Next();

  const nlohmann::json& array_;
  const size_t size_;
  size_t next_ = 0;
  bool ok_;
};

// Encoders for values that PackedReader reads.
nlohmann::json PackTime(absl::Time time);
nlohmann::json PackTime(const std::optional<absl::Time>& time);
// Encodes whole milliseconds, as in the API.
nlohmann::json PackDuration(absl::Duration duration);
nlohmann::json PackBytes(const std::string& bytes);

// Convert between a JSON value and its MessagePack encoding. Malformed input, and input that
// nests deeper than kMaxJsonDepth, yields a value for which is_discarded() is true.
std::string ToPackedBytes(const nlohmann::json& json);
nlohmann::json FromPackedBytes(const std::string& bytes);

}  // namespace pomelotray

#endif  // POMELOTRAY_STATE_PACKED_READER_H_
