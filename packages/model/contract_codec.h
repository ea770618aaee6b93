#ifndef POMELOTRAY_MODEL_CONTRACT_CODEC_H_
#define POMELOTRAY_MODEL_CONTRACT_CODEC_H_

#include <nlohmann/json.hpp>

#include "base/error.h"
#include "model/contract.h"

namespace pomelotray {

// The JSON form that operators write, without the revision.
nlohmann::json ContractToJson(const Contract& contract);

// Lists all faults in one kInvalidArgument error. The revision of the result is 0.
Result<Contract> ContractFromJson(const nlohmann::json& json);

}  // namespace pomelotray

#endif  // POMELOTRAY_MODEL_CONTRACT_CODEC_H_
