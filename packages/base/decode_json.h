#ifndef POMELOTRAY_BASE_DECODE_JSON_H_
#define POMELOTRAY_BASE_DECODE_JSON_H_

#include <nlohmann/json.hpp>
#include <string>
#include <utility>

#include "absl/strings/str_cat.h"
#include "base/error.h"
#include "base/json_text.h"

namespace pomelotray {

// Names what is decoded and what to do when that fails, for the error's message.
struct DecodeSubject {
  ErrorKind error_kind = ErrorKind::kInvalidArgument;
  // Subject of the message, such as "stored roster".
  const char* what = "";
  const char* remedy = "";
  // The text may contain secrets, so that errors must not quote it.
  bool has_secrets = false;
};

// Describes an exception of the JSON library. If `has_secrets` is true, descriptions that may quote
// the parsed text are replaced.
inline std::string DescribeJsonError(const nlohmann::json::exception& error, bool has_secrets) {
  constexpr int kFirstTypeError = 200;
  constexpr int kNumberOverflow = 406;
  const bool quotes_text = error.id < kFirstTypeError || error.id == kNumberOverflow;
  return has_secrets && quotes_text ? absl::StrCat("JSON syntax error ", error.id) : error.what();
}

// Parses `text` and returns what `decode` makes of it. Exceptions of the JSON library, which
// `decode` may throw by reading fields that are missing, of another type or out of range, become an
// Error, and so does a text that nests too deep.
template <typename F>
auto DecodeJson(const std::string& text, const DecodeSubject& subject, F decode)
    -> Result<decltype(decode(std::declval<const nlohmann::json&>()))> {
  if (NestsTooDeep(text)) {
    return Fail(subject.error_kind, absl::StrCat("The ", subject.what, " nests JSON deeper than ",
                                                 kMaxJsonDepth, " levels; ", subject.remedy, "."));
  }
  try {
    return decode(nlohmann::json::parse(text));
  } catch (const nlohmann::json::exception& error) {
    return Fail(subject.error_kind, absl::StrCat("The ", subject.what, " cannot be read (",
                                                 DescribeJsonError(error, subject.has_secrets),
                                                 "); ", subject.remedy, "."));
  }
}

}  // namespace pomelotray

#endif  // POMELOTRAY_BASE_DECODE_JSON_H_
