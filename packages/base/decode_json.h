#ifndef POMELOTRAY_BASE_DECODE_JSON_H_
#define POMELOTRAY_BASE_DECODE_JSON_H_

#include <nlohmann/json.hpp>
#include <string>
#include <utility>

#include "absl/strings/str_cat.h"
#include "base/error.h"

namespace pomelotray {

// Names what is decoded and what to do when that fails, for the error's message.
struct DecodeSubject {
  ErrorKind error_kind = ErrorKind::kInvalidArgument;
  // Subject of the message, such as "stored roster".
  const char* what = "";
  const char* remedy = "";
};

// Parses `text` and returns what `decode` makes of it. Exceptions of the JSON library, which
// `decode` may throw by reading fields that are missing or of another type, become an Error.
template <typename F>
auto DecodeJson(const std::string& text, const DecodeSubject& subject, F decode)
    -> Result<decltype(decode(std::declval<const nlohmann::json&>()))> {
  try {
    return decode(nlohmann::json::parse(text));
  } catch (const nlohmann::json::exception& error) {
    return Fail(subject.error_kind, absl::StrCat("The ", subject.what, " cannot be read (",
                                                 error.what(), "); ", subject.remedy, "."));
  }
}

}  // namespace pomelotray

#endif  // POMELOTRAY_BASE_DECODE_JSON_H_
