#ifndef POMELOTRAY_STATE_PACKED_READER_H_
#define POMELOTRAY_STATE_PACKED_READER_H_

#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>

#include "absl/time/time.h"

namespace pomelotray {

// Reads the elements of a MessagePack array one after the other. After a missing element or one of
// a wrong type, ok() is false and all further reads return defaults.
class PackedReader {
 public:
  explicit PackedReader(const nlohmann::json& array);

  int64_t Integer();
  uint64_t Unsigned();
  bool Bool();
  std::string Text();
  // Bytes, or a text.
  std::string Bytes();
  const nlohmann::json& Array();
  absl::Time Time();
  std::optional<absl::Time> OptionalTime();
  absl::Duration Duration();
  // An integer from 0 to `last`, as an enumerator.
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
  // True when all elements were read and were valid.
  bool Complete() const { return ok_ && next_ == size_; }

 private:
  // The next element, or null when there is none.
  const nlohmann::json& Next();

  const nlohmann::json& array_;
  const size_t size_;
  size_t next_ = 0;
  bool ok_;
};

// Encodings that PackedReader reads.
nlohmann::json PackTime(absl::Time time);
nlohmann::json PackTime(const std::optional<absl::Time>& time);
// Whole milliseconds, as in the API.
nlohmann::json PackDuration(absl::Duration duration);
nlohmann::json PackBytes(const std::string& bytes);

// Turns a MessagePack value into bytes and back; malformed bytes give a discarded value.
std::string ToPackedBytes(const nlohmann::json& json);
nlohmann::json FromPackedBytes(const std::string& bytes);

}  // namespace pomelotray

#endif  // POMELOTRAY_STATE_PACKED_READER_H_
