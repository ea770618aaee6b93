#include "base/settings.h"

#include <cstdlib>
#include <iostream>

namespace pomelotray {

const SocketAddress& Settings::Address(const std::string& flag) const {
  const Addresses& addresses = Get<Addresses>(flag);
  if (addresses.size() != 1) {
    AbortUndefined(flag);
  }
  return addresses.front();
}

void Settings::AbortUndefined(const std::string& flag) {
  std::cerr << "Setting --" << flag << " is not defined with this type; report this as a defect."
            << std::endl;
  std::abort();
}

}  // namespace pomelotray
