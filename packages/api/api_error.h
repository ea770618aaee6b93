#ifndef POMELOTRAY_API_API_ERROR_H_
#define POMELOTRAY_API_API_ERROR_H_

#include <string>

#include "api/api_types.h"
#include "base/error.h"

namespace pomelotray {

// Maps an error kind to its HTTP status. docs/api.md lists the mapping.
int HttpStatusOf(ErrorKind kind);

// Builds an error response with the body {"error": {"kind", "message", "retry_after_ms"}}. Adds a
// Retry-After header, in seconds rounded up, when `error.retry_after` is set. A `status` other than
// 0 overrides the status of the error kind.
ApiReply ErrorReply(const Error& error, int status = 0);

// Formats a complete HTTP/1.1 response with "Connection: close". `status_line` is the status code
// and reason phrase, for example "414 URI Too Long".
std::string FormatHttpResponse(const std::string& status_line, const ApiReply& reply);

// Sends `reply` with status 503 on a connection beyond the connection limit, without parsing its
// request, and shuts down the sending side. Does not block and does not close `fd`.
void RefuseConnection(int fd, const ApiReply& reply);

}  // namespace pomelotray

#endif  // POMELOTRAY_API_API_ERROR_H_
