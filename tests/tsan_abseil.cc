// Reports the lock operations of the packaged Abseil library to ThreadSanitizer. The package is
// built without ThreadSanitizer, which would otherwise report every access that is ordered only by
// an absl::Mutex as a data race. The functions below interpose the library's functions by their
// mangled names and forward to them. Linked only into test programs that are built with
// POMELOTRAY_SANITIZER=thread.
#include <dlfcn.h>

#include "absl/synchronization/mutex.h"

extern "C" {
void __tsan_acquire(void* address);  // NOLINT
void __tsan_release(void* address);  // NOLINT
void AnnotateIgnoreReadsBegin(const char* file, int line);
void AnnotateIgnoreReadsEnd(const char* file, int line);
void AnnotateIgnoreWritesBegin(const char* file, int line);
void AnnotateIgnoreWritesEnd(const char* file, int line);
}

namespace {

// Returns the library's definition of `symbol`.
template <typename Function>
Function Original(Function /*replacement*/, const char* symbol) {
  return reinterpret_cast<Function>(dlsym(RTLD_NEXT, symbol));
}

// Makes ThreadSanitizer ignore the memory accesses of this thread while in scope. Needed because
// Abseil evaluates the conditions of waiting threads inside Unlock(), after the release was already
// reported to ThreadSanitizer.
class ScopedIgnoreAccesses {
 public:
  ScopedIgnoreAccesses() {
    AnnotateIgnoreReadsBegin(__FILE__, __LINE__);
    AnnotateIgnoreWritesBegin(__FILE__, __LINE__);
  }
  ~ScopedIgnoreAccesses() {
    AnnotateIgnoreWritesEnd(__FILE__, __LINE__);
    AnnotateIgnoreReadsEnd(__FILE__, __LINE__);
  }
  ScopedIgnoreAccesses(const ScopedIgnoreAccesses&) = delete;
  ScopedIgnoreAccesses& operator=(const ScopedIgnoreAccesses&) = delete;
};

// Calls `original` while ThreadSanitizer ignores its memory accesses.
template <typename Function, typename... Arguments>
auto Forward(Function original, Arguments... arguments) -> decltype(original(arguments...)) {
  const ScopedIgnoreAccesses ignore;
  return original(arguments...);
}

}  // namespace

// Defines `original` as the library's definition of `function`; it is looked up only once.
// NOLINTBEGIN(bugprone-macro-parentheses)
#define POMELOTRAY_ORIGINAL(function) \
  static const decltype(&function) original = Original(&function, #function)
// NOLINTEND(bugprone-macro-parentheses)

// NOLINTBEGIN(bugprone-reserved-identifier,readability-identifier-naming)
extern "C" {

// absl::Mutex::Lock()
void _ZN4absl7debian35Mutex4LockEv(void* mutex) {
  POMELOTRAY_ORIGINAL(_ZN4absl7debian35Mutex4LockEv);
  Forward(original, mutex);
  __tsan_acquire(mutex);
}

// absl::Mutex::Unlock()
void _ZN4absl7debian35Mutex6UnlockEv(void* mutex) {
  POMELOTRAY_ORIGINAL(_ZN4absl7debian35Mutex6UnlockEv);
  __tsan_release(mutex);
  Forward(original, mutex);
}

// absl::Mutex::ReaderLock()
void _ZN4absl7debian35Mutex10ReaderLockEv(void* mutex) {
  POMELOTRAY_ORIGINAL(_ZN4absl7debian35Mutex10ReaderLockEv);
  Forward(original, mutex);
  __tsan_acquire(mutex);
}

// absl::Mutex::ReaderUnlock()
void _ZN4absl7debian35Mutex12ReaderUnlockEv(void* mutex) {
  POMELOTRAY_ORIGINAL(_ZN4absl7debian35Mutex12ReaderUnlockEv);
  __tsan_release(mutex);
  Forward(original, mutex);
}

// absl::Mutex::TryLock()
bool _ZN4absl7debian35Mutex7TryLockEv(void* mutex) {
  POMELOTRAY_ORIGINAL(_ZN4absl7debian35Mutex7TryLockEv);
  const bool locked = Forward(original, mutex);
  if (locked) {
    __tsan_acquire(mutex);
  }
  return locked;
}

// absl::Mutex::LockWhen(const Condition&)
void _ZN4absl7debian35Mutex8LockWhenERKNS0_9ConditionE(void* mutex, const void* condition) {
  POMELOTRAY_ORIGINAL(_ZN4absl7debian35Mutex8LockWhenERKNS0_9ConditionE);
  __tsan_release(mutex);
  Forward(original, mutex, condition);
  __tsan_acquire(mutex);
}

// absl::Mutex::Await(const Condition&)
void _ZN4absl7debian35Mutex5AwaitERKNS0_9ConditionE(void* mutex, const void* condition) {
  POMELOTRAY_ORIGINAL(_ZN4absl7debian35Mutex5AwaitERKNS0_9ConditionE);
  __tsan_release(mutex);
  Forward(original, mutex, condition);
  __tsan_acquire(mutex);
}

// absl::Mutex::AwaitWithTimeout(const Condition&, Duration)
bool _ZN4absl7debian35Mutex16AwaitWithTimeoutERKNS0_9ConditionENS0_8DurationE(
    void* mutex, const void* condition, absl::Duration timeout) {
  POMELOTRAY_ORIGINAL(_ZN4absl7debian35Mutex16AwaitWithTimeoutERKNS0_9ConditionENS0_8DurationE);
  __tsan_release(mutex);
  const bool satisfied = Forward(original, mutex, condition, timeout);
  __tsan_acquire(mutex);
  return satisfied;
}

// absl::Mutex::LockWhenWithTimeout(const Condition&, Duration)
bool _ZN4absl7debian35Mutex19LockWhenWithTimeoutERKNS0_9ConditionENS0_8DurationE(
    void* mutex, const void* condition, absl::Duration timeout) {
  POMELOTRAY_ORIGINAL(_ZN4absl7debian35Mutex19LockWhenWithTimeoutERKNS0_9ConditionENS0_8DurationE);
  __tsan_release(mutex);
  const bool satisfied = Forward(original, mutex, condition, timeout);
  __tsan_acquire(mutex);
  return satisfied;
}

// absl::Mutex::ReaderLockWhenWithTimeout(const Condition&, Duration)
bool _ZN4absl7debian35Mutex25ReaderLockWhenWithTimeoutERKNS0_9ConditionENS0_8DurationE(
    void* mutex, const void* condition, absl::Duration timeout) {
  POMELOTRAY_ORIGINAL(
      _ZN4absl7debian35Mutex25ReaderLockWhenWithTimeoutERKNS0_9ConditionENS0_8DurationE);
  __tsan_release(mutex);
  const bool satisfied = Forward(original, mutex, condition, timeout);
  __tsan_acquire(mutex);
  return satisfied;
}

// absl::CondVar::Wait(Mutex*)
void _ZN4absl7debian37CondVar4WaitEPNS0_5MutexE(void* condition, void* mutex) {
  POMELOTRAY_ORIGINAL(_ZN4absl7debian37CondVar4WaitEPNS0_5MutexE);
  __tsan_release(mutex);
  Forward(original, condition, mutex);
  __tsan_acquire(mutex);
}

// absl::CondVar::WaitWithTimeout(Mutex*, Duration)
bool _ZN4absl7debian37CondVar15WaitWithTimeoutEPNS0_5MutexENS0_8DurationE(void* condition,
                                                                          void* mutex,
                                                                          absl::Duration timeout) {
  POMELOTRAY_ORIGINAL(_ZN4absl7debian37CondVar15WaitWithTimeoutEPNS0_5MutexENS0_8DurationE);
  __tsan_release(mutex);
  const bool timed_out = Forward(original, condition, mutex, timeout);
  __tsan_acquire(mutex);
  return timed_out;
}

// absl::CondVar::WaitWithDeadline(Mutex*, Time)
bool _ZN4absl7debian37CondVar16WaitWithDeadlineEPNS0_5MutexENS0_4TimeE(void* condition, void* mutex,
                                                                       absl::Time deadline) {
  POMELOTRAY_ORIGINAL(_ZN4absl7debian37CondVar16WaitWithDeadlineEPNS0_5MutexENS0_4TimeE);
  __tsan_release(mutex);
  const bool timed_out = Forward(original, condition, mutex, deadline);
  __tsan_acquire(mutex);
  return timed_out;
}

}  // extern "C"
// NOLINTEND(bugprone-reserved-identifier,readability-identifier-naming)
