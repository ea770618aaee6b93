#ifndef POMELOTRAY_DAEMON_PEER_CODEC_H_
#define POMELOTRAY_DAEMON_PEER_CODEC_H_

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "base/error.h"
#include "ports/admin_service.h"

namespace pomelotray {

// Encoders and decoders for the bodies of messages between instances whose types have no other JSON
// encoding. Each decoder fails with kInvalidArgument if a field is missing or malformed.
nlohmann::json EncodeRequest(const InteractiveRequest& request);
Result<InteractiveRequest> DecodeRequest(const nlohmann::json& json);
nlohmann::json EncodeAnswer(const InteractiveAnswer& answer);
Result<InteractiveAnswer> DecodeAnswer(const nlohmann::json& json);
nlohmann::json EncodeWorkers(const std::vector<WorkerStatus>& workers);
Result<std::vector<WorkerStatus>> DecodeWorkers(const nlohmann::json& json);

// Return the field `name` of a JSON object; fail with kInvalidArgument if it is missing or has
// another type.
Result<std::string> StringField(const nlohmann::json& json, const char* name);
Result<int64_t> IntegerField(const nlohmann::json& json, const char* name);

}  // namespace pomelotray

#endif  // POMELOTRAY_DAEMON_PEER_CODEC_H_
