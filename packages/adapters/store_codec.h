#ifndef POMELOTRAY_ADAPTERS_STORE_CODEC_H_
#define POMELOTRAY_ADAPTERS_STORE_CODEC_H_

#include <nlohmann/json.hpp>
#include <optional>
#include <vector>

#include "ports/store_port.h"

namespace pomelotray {

// Decoders of the store's answers. They return nullopt for anything but a whole, well-formed
// answer.

// {"entry": null or {"key", "value", "revision"}}.
std::optional<std::optional<StoreEntry>> DecodeStoreGet(const nlohmann::json& json);
std::optional<std::vector<StoreEntry>> DecodeStoreList(const nlohmann::json& json);
std::optional<WatchBatch> DecodeStoreWatch(const nlohmann::json& json);
std::optional<Revision> DecodeStoreRevision(const nlohmann::json& json);

}  // namespace pomelotray

#endif  // POMELOTRAY_ADAPTERS_STORE_CODEC_H_
