#include "base/message_pack.h"

#include <string>

namespace pomelotray {
namespace {

// Checks the structure of a MessagePack value without building it.
class DepthChecker : public nlohmann::json::json_sax_t {
 public:
  explicit DepthChecker(int max_depth) : max_depth_(max_depth) {}

  bool null() override { return true; }
  bool boolean(bool) override { return true; }
  bool number_integer(number_integer_t) override { return true; }
  bool number_unsigned(number_unsigned_t) override { return true; }
  bool number_float(number_float_t, const string_t&) override { return true; }
  bool string(string_t&) override { return true; }
  bool binary(binary_t&) override { return true; }
  bool start_object(std::size_t) override { return ++depth_ <= max_depth_; }
  bool key(string_t&) override { return true; }
  bool end_object() override { return Leave(); }
  bool start_array(std::size_t) override { return ++depth_ <= max_depth_; }
  bool end_array() override { return Leave(); }
  bool parse_error(std::size_t, const std::string&, const nlohmann::detail::exception&) override {
    return false;
  }

 private:
  bool Leave() {
    --depth_;
    return true;
  }

  const int max_depth_;
  int depth_ = 0;
};

}  // namespace

std::optional<nlohmann::json> ParseMessagePack(std::string_view bytes, int max_depth) {
  DepthChecker checker(max_depth);
  if (!nlohmann::json::sax_parse(bytes.begin(), bytes.end(), &checker,
                                 nlohmann::json::input_format_t::msgpack)) {
    return std::nullopt;
  }
  nlohmann::json json = nlohmann::json::from_msgpack(bytes.begin(), bytes.end(), true, false);
  if (json.is_discarded()) {
    return std::nullopt;
  }
  return json;
}

}  // namespace pomelotray
