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
};

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
                                                 error.what(), "); ", subject.remedy, "."));
  }
}

}  // namespace pomelotray

#endif  // POMELOTRAY_BASE_DECODE_JSON_H_
