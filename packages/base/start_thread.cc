#include "base/start_thread.h"

#include <string>
#include <system_error>
#include <utility>

namespace pomelotray {

Result<std::thread> StartThread(std::function<void()> body) {
  try {
    return std::thread(std::move(body));
  } catch (const std::system_error& error) {
    return Fail(ErrorKind::kOverloaded,
                std::string("No thread could be started (") + error.what() +
                    "); raise the limit on threads, or run fewer processes on this VM.");
  }
}

}  // namespace pomelotray
