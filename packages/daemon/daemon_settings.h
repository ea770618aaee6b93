#ifndef POMELOTRAY_DAEMON_DAEMON_SETTINGS_H_
#define POMELOTRAY_DAEMON_DAEMON_SETTINGS_H_

#include <string>

#include "absl/time/time.h"
#include "base/setting_table.h"
#include "base/socket_address.h"
#include "base/strong_id.h"

namespace pomelotray {

// The validated settings of a pomelotrayd process.
struct DaemonSettings {
  InstanceId instance;
  RegionId region;
  FailureDomainId domain;
  SocketAddress api_address;
  SocketAddress peer_address;
  std::string store_address;
  std::string vm_list_address;
  std::string operator_token;
  std::string peer_key;
  // If empty, log events go to standard error.
  std::string log_file;
  absl::Duration task_lease;
  absl::Duration job_retention;
  // Time between the announcement of a graceful stop and the hand-over of the shards, in which the
  // load balancer notices that the instance is not ready.
  absl::Duration drain_delay;
};

// Returns all settings with their flags, defaults and help texts.
SettingTable DaemonSettingTable();
Result<DaemonSettings> ReadDaemonSettings(const SettingTable::Flags& flags,
                                          const SettingTable::Environment& environment);
// Returns the docopt usage text of pomelotrayd.
std::string DaemonUsage();

}  // namespace pomelotray

#endif  // POMELOTRAY_DAEMON_DAEMON_SETTINGS_H_
