#ifndef POMELOTRAY_BASE_START_THREAD_H_
#define POMELOTRAY_BASE_START_THREAD_H_

#include <functional>
#include <thread>

#include "base/error.h"

namespace pomelotray {

// Starts a thread where one too many must shed load instead of ending the process. Fails with
// kOverloaded when the system has none left.
Result<std::thread> StartThread(std::function<void()> body);

}  // namespace pomelotray

#endif  // POMELOTRAY_BASE_START_THREAD_H_
