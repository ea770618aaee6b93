#ifndef POMELOTRAY_BASE_ERROR_H_
#define POMELOTRAY_BASE_ERROR_H_

#include <boost/leaf.hpp>
#include <exception>
#include <optional>
#include <ostream>
#include <string>
#include <string_view>
#include <utility>
#include <variant>

#include "absl/time/time.h"

namespace pomelotray {

// Kinds of failure that callers can act on. The names returned by ErrorKindName are part of the
// HTTP API.
enum class ErrorKind {
  kInvalidArgument,
  kUnauthenticated,
  kPermissionDenied,
  kNotFound,
  kConflict,
  kIdempotencyMismatch,
  kOverLimit,
  kUnplaceable,
  kDeadlineUnmeetable,
  kOwnerUnavailable,
  kStoreUnavailable,
  kOutcomeUnknown,
  kOverloaded,
  kDeadlineExceeded,
  kNotReady,
  kUnavailable,
  kFenced,
  kInternal,
};

std::string_view ErrorKindName(ErrorKind kind);
std::optional<ErrorKind> ParseErrorKind(std::string_view name);

// A typed failure. `message` is a full sentence with context that names the remedy. `retry_after`
// is set when the same call may succeed later.
struct Error {
  ErrorKind kind = ErrorKind::kInternal;
  std::string message;
  std::optional<absl::Duration> retry_after;
};

std::ostream& operator<<(std::ostream& out, const Error& error);

// Return type of every operation that can fail. The Error itself travels through Boost.LEAF and is
// read with Capture().
template <typename T>
using Result = boost::leaf::result<T>;

// Creates a failure: `return Fail(ErrorKind::kNotFound, "Job x does not exist; check the id.");`
inline boost::leaf::error_id Fail(Error error) { return boost::leaf::new_error(std::move(error)); }
inline boost::leaf::error_id Fail(ErrorKind kind, std::string message,
                                  std::optional<absl::Duration> retry_after = std::nullopt) {
  return Fail(Error{kind, std::move(message), retry_after});
}

// A value or an Error, detached from LEAF's handler scopes: it can be stored and passed between
// threads.
template <typename T>
class Outcome {
 public:
  Outcome(T value) : state_(std::move(value)) {}      // NOLINT(google-explicit-constructor)
  Outcome(Error error) : state_(std::move(error)) {}  // NOLINT(google-explicit-constructor)

  bool ok() const { return std::holds_alternative<T>(state_); }
  const T& value() const { return std::get<T>(state_); }
  T& value() { return std::get<T>(state_); }
  const Error& error() const { return std::get<Error>(state_); }

  // Turns the outcome back into a Result inside a handler scope.
  Result<T> ToResult() const {
    if (ok()) {
      return value();
    }
    return Fail(error());
  }

 private:
  std::variant<T, Error> state_;
};

// An operation without a value either succeeds or has an error.
template <>
class Outcome<void> {
 public:
  Outcome() = default;
  Outcome(Error error) : error_(std::move(error)) {}  // NOLINT(google-explicit-constructor)

  bool ok() const { return !error_.has_value(); }
  const Error& error() const { return *error_; }
  Result<void> ToResult() const {
    if (ok()) {
      return {};
    }
    return Fail(*error_);
  }

 private:
  std::optional<Error> error_;
};

namespace error_internal {
template <typename R>
struct ResultValue;
template <typename T>
struct ResultValue<boost::leaf::result<T>> {
  using Type = T;
};
}  // namespace error_internal

// Runs `operation`, which returns a Result, and keeps its value or Error. An Error is lost if a
// failing Result is read outside of any handler scope, so every thread's outermost code calls
// operations through Capture(). An exception, for example of a library that met malformed input or
// of an allocation that failed, becomes an Error too: it would otherwise end the process.
template <typename F>
Outcome<typename error_internal::ResultValue<decltype(std::declval<F>()())>::Type> Capture(
    F&& operation) {
  using T = typename error_internal::ResultValue<decltype(operation())>::Type;
  return boost::leaf::try_handle_all(
      [&]() -> boost::leaf::result<Outcome<T>> {
        try {
          if constexpr (std::is_void_v<T>) {
            BOOST_LEAF_CHECK(operation());
            return Outcome<T>();
          } else {
            BOOST_LEAF_AUTO(value, operation());
            return Outcome<T>(std::move(value));
          }
        } catch (const std::exception& exception) {
          return Fail(ErrorKind::kInternal,
                      std::string("An operation ended with an exception (") + exception.what() +
                          "); check the input that it worked on, or report this as a defect.");
        }
      },
      [](const Error& error) { return Outcome<T>(error); },
      []() {
        return Outcome<T>(Error{ErrorKind::kInternal,
                                "An operation failed without details; report this as a defect.",
                                std::nullopt});
      });
}

}  // namespace pomelotray

#endif  // POMELOTRAY_BASE_ERROR_H_
