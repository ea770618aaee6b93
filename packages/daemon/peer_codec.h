#ifndef POMELOTRAY_DAEMON_PEER_CODEC_H_
#define POMELOTRAY_DAEMON_PEER_CODEC_H_

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "base/error.h"
#include "ports/admin_service.h"

namespace pomelotray {

// Bodies of the messages between instances that have no other JSON form. Each decoder answers
// kInvalidArgument for a body that it does not understand.
nlohmann::json EncodeRequest(const InteractiveRequest& request);
Result<InteractiveRequest> DecodeRequest(const nlohmann::json& json);
nlohmann::json EncodeAnswer(const InteractiveAnswer& answer);
Result<InteractiveAnswer> DecodeAnswer(const nlohmann::json& json);
nlohmann::json EncodeWorkers(const std::vector<WorkerStatus>& workers);
Result<std::vector<WorkerStatus>> DecodeWorkers(const nlohmann::json& json);

// The member `name` of an object, as a string.
Result<std::string> StringField(const nlohmann::json& json, const char* name);
Result<int64_t> IntegerField(const nlohmann::json& json, const char* name);

}  // namespace pomelotray

#endif  // POMELOTRAY_DAEMON_PEER_CODEC_H_
