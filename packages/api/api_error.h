#ifndef POMELOTRAY_API_API_ERROR_H_
#define POMELOTRAY_API_API_ERROR_H_

#include <string>

#include "api/api_types.h"
#include "base/error.h"

namespace pomelotray {

// The HTTP status of an error kind, as docs/api.md lists them.
int HttpStatusOf(ErrorKind kind);

// {"error": {"kind", "message", "retry_after_ms"}}, with a Retry-After header in whole seconds when
// the error may be retried. `status` replaces the kind's status when it is not 0.
ApiReply ErrorReply(const Error& error, int status = 0);

// A whole HTTP answer that closes the connection; `status_line` is such as "414 URI Too Long".
std::string RawAnswer(const std::string& status_line, const ApiReply& reply);

// Answers a connection for which there is no room, before its request is read, and sends the end of
// the stream. Does not block; leaves `fd` open.
void RefuseConnection(int fd, const ApiReply& reply);

}  // namespace pomelotray

#endif  // POMELOTRAY_API_API_ERROR_H_
