#ifndef POMELOTRAY_PORTS_VM_LIST_PORT_H_
#define POMELOTRAY_PORTS_VM_LIST_PORT_H_

#include <vector>

#include "base/error.h"
#include "model/vm.h"

namespace pomelotray {

// The platform's lagging list of live and leaving VMs.
class VmListPort {
 public:
  virtual ~VmListPort() = default;

  virtual Result<std::vector<VmEntry>> List() = 0;
};

}  // namespace pomelotray

#endif  // POMELOTRAY_PORTS_VM_LIST_PORT_H_
