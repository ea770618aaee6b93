#include "state/packed_reader.h"

#include <cstdlib>
#include <limits>
#include <vector>

#include "base/json_text.h"
#include "base/message_pack.h"

namespace pomelotray {
namespace {

// Times further from the Unix epoch may not fit into 64 bits as nanoseconds, and are encoded as
// seconds and nanoseconds.
constexpr int64_t kMaxSecondsInNanoseconds = 9'000'000'000;
// Year 10000, as in the API.
constexpr int64_t kMaxSeconds = 253'402'300'800;
constexpr int64_t kNanosecondsPerSecond = 1'000'000'000;

const nlohmann::json& NullJson() {
  static const nlohmann::json* const kNull = new nlohmann::json();
  return *kNull;
}

const nlohmann::json& EmptyArray() {
  static const nlohmann::json* const kEmpty = new nlohmann::json(nlohmann::json::array());
  return *kEmpty;
}

}  // namespace

PackedReader::PackedReader(const nlohmann::json& array)
    : array_(array), size_(array.is_array() ? array.size() : 0), ok_(array.is_array()) {}

const nlohmann::json& PackedReader::Next() {
  if (!ok_ || next_ >= size_) {
    ok_ = false;
    return NullJson();
  }
  return array_[next_++];
}

bool PackedReader::NextIsText() const { return ok_ && next_ < size_ && array_[next_].is_string(); }

int64_t PackedReader::Integer() {
  const nlohmann::json& element = Next();
  if (!element.is_number_integer()) {
    ok_ = false;
    return 0;
  }
  // The conversion of a larger number would return a negative one.
  if (element.is_number_unsigned() &&
      element.get<uint64_t>() > static_cast<uint64_t>(std::numeric_limits<int64_t>::max())) {
    ok_ = false;
    return 0;
  }
  return element.get<int64_t>();
}

int64_t PackedReader::Integer(int64_t min, int64_t max) {
  const int64_t number = Integer();
  if (!ok_ || number < min || number > max) {
    ok_ = false;
    return min;
  }
  return number;
}

uint64_t PackedReader::Unsigned() {
  const nlohmann::json& element = Next();
  if (!element.is_number_integer()) {
    ok_ = false;
    return 0;
  }
  return element.get<uint64_t>();
}

bool PackedReader::Bool() {
  const nlohmann::json& element = Next();
  if (!element.is_boolean()) {
    ok_ = false;
    return false;
  }
  return element.get<bool>();
}

std::string PackedReader::Text() {
  const nlohmann::json& element = Next();
  if (!element.is_string()) {
    ok_ = false;
    return "";
  }
  return element.get<std::string>();
}

std::string PackedReader::Bytes() {
  const nlohmann::json& element = Next();
  if (element.is_string()) {
    return element.get<std::string>();
  }
  if (!element.is_binary()) {
    ok_ = false;
    return "";
  }
  const nlohmann::json::binary_t& bytes = element.get_binary();
  return std::string(bytes.begin(), bytes.end());
}

const nlohmann::json& PackedReader::Array() {
  const nlohmann::json& element = Next();
  if (!element.is_array()) {
    ok_ = false;
    return EmptyArray();
  }
  return element;
}

absl::Time PackedReader::Time() {
  if (ok_ && next_ < size_ && array_[next_].is_number_integer()) {
    return absl::FromUnixNanos(Integer());
  }
  PackedReader parts(Next());
  const int64_t seconds = parts.Integer(-kMaxSeconds, kMaxSeconds);
  const int64_t nanoseconds = parts.Integer(0, kNanosecondsPerSecond - 1);
  ok_ = ok_ && parts.Complete();
  return absl::FromUnixSeconds(seconds) + absl::Nanoseconds(nanoseconds);
}

std::optional<absl::Time> PackedReader::OptionalTime() {
  if (ok_ && next_ < size_ && array_[next_].is_null()) {
    ++next_;
    return std::nullopt;
  }
  return Time();
}

absl::Duration PackedReader::Duration(absl::Duration max) {
  return absl::Milliseconds(Integer(0, absl::ToInt64Milliseconds(max)));
}

nlohmann::json PackTime(absl::Time time) {
  const int64_t seconds = absl::ToUnixSeconds(time);
  if (std::abs(seconds) < kMaxSecondsInNanoseconds) {
    return absl::ToUnixNanos(time);
  }
  return nlohmann::json::array(
      {seconds, absl::ToInt64Nanoseconds(time - absl::FromUnixSeconds(seconds))});
}

nlohmann::json PackTime(const std::optional<absl::Time>& time) {
  return time.has_value() ? PackTime(*time) : nlohmann::json();
}

nlohmann::json PackDuration(absl::Duration duration) { return absl::ToInt64Milliseconds(duration); }

nlohmann::json PackBytes(const std::string& bytes) {
  return nlohmann::json::binary(std::vector<std::uint8_t>(bytes.begin(), bytes.end()));
}

std::string ToPackedBytes(const nlohmann::json& json) {
  std::string bytes;
  nlohmann::json::to_msgpack(json, bytes);
  return bytes;
}

nlohmann::json FromPackedBytes(const std::string& bytes) {
  return ParseMessagePack(bytes, kMaxJsonDepth)
      .value_or(nlohmann::json(nlohmann::json::value_t::discarded));
}

}  // namespace pomelotray
