#include "daemon/daemon_settings.h"

#include "absl/strings/str_cat.h"

namespace pomelotray {

SettingTable DaemonSettingTable() {
  SettingTable table;
  table.Text("instance-id", std::nullopt, "Id of this instance; unique in the deployment.")
      .Text("region", std::nullopt, "Region of this VM.")
      .Text("failure-domain", std::nullopt, "Failure domain of this VM.")
      .Address("api-address", "127.0.0.1:7070", "Listener for callers and operators.")
      .Address("peer-address", "127.0.0.1:7071", "Listener for other instances.")
      .Address("store-address", std::nullopt, "The platform's key-value store.")
      .Address("vm-list-address", std::nullopt, "The platform's list of VMs.")
      .Secret("operator-token", "Bearer token of operators.")
      .Secret("peer-key", "Key shared by all instances.")
      .Text("log-file", "", "File for log events instead of standard error.")
      .Duration("task-lease", absl::Seconds(2), absl::Minutes(5), "10s",
                "How long a task keeps running without contact to its owner.")
      .Duration("job-retention", absl::Seconds(1), absl::Hours(24 * 7), "1h",
                "How long a finished job and its idempotency key are retained.")
      .Duration("drain-delay", absl::ZeroDuration(), absl::Minutes(1), "1s",
                "Delay between reporting not ready and handing over, for the load balancer.");
  return table;
}

Result<DaemonSettings> ReadDaemonSettings(const SettingTable::Flags& flags,
                                          const SettingTable::Environment& environment) {
  BOOST_LEAF_AUTO(values, DaemonSettingTable().Read(flags, environment));
  DaemonSettings settings;
  settings.instance = InstanceId(values.Text("instance-id"));
  settings.region = RegionId(values.Text("region"));
  settings.domain = FailureDomainId(values.Text("failure-domain"));
  settings.api_address = values.Address("api-address");
  settings.peer_address = values.Address("peer-address");
  settings.store_address = values.Address("store-address").ToString();
  settings.vm_list_address = values.Address("vm-list-address").ToString();
  settings.operator_token = values.Secret("operator-token");
  settings.peer_key = values.Secret("peer-key");
  settings.log_file = values.Text("log-file");
  settings.task_lease = values.Duration("task-lease");
  settings.job_retention = values.Duration("job-retention");
  settings.drain_delay = values.Duration("drain-delay");
  return settings;
}

std::string DaemonUsage() {
  return absl::StrCat(
      "pomelotrayd serves callers, operators and other instances of pomelotray.\n\n"
      "Usage:\n"
      "  pomelotrayd [options]\n"
      "  pomelotrayd --check-settings [options]\n\n"
      "Options:\n"
      "  -h --help         Show this text.\n"
      "  --check-settings  Check the settings and exit.\n",
      DaemonSettingTable().OptionsText());
}

}  // namespace pomelotray
