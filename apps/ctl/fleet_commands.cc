#include "apps/ctl/fleet_commands.h"

#include <algorithm>
#include <cstdio>

#include "codec/codec.h"

namespace magnoliareel {

int FleetCommands::ShowStatus() {
  const auto vms = client_.ListVms();
  if (vms.ec) {
    std::fprintf(stderr, "the list of VMs cannot be read: %s\n",
                 vms.ec.message().c_str());
    return kExitUnreachable;
  }
  int code = kExitOk;
  Json::Value statuses(Json::arrayValue);
  for (const VmEntry& vm : vms.value) {
    const RpcReply reply = client_.CallRpc(vm.pooler_address, "status",
                                           Json::Value(Json::objectValue));
    Findings findings;
    const PoolerStatus status =
        reply.ec ? PoolerStatus{} : DecodePoolerStatus(reply.result, findings);
    if (reply.ec || !findings.IsEmpty()) {
      std::fprintf(stderr, "%s (%s): %s\n", vm.vm.value.c_str(),
                   vm.pooler_address.c_str(), reply.ec.message().c_str());
      code = kExitUnreachable;
      continue;
    }
    if (settings_.print_json != 0) {
      statuses.append(reply.result);
    } else {
      PrintStatus(vm, status);
    }
  }
  if (settings_.print_json != 0) {
    std::printf("%s\n", FormatJson(statuses).c_str());
  }
  return code;
}

void FleetCommands::PrintStatus(const VmEntry& vm,
                                const PoolerStatus& status) const {
  std::printf("%s site %s%s: document %lu, %lu requests, %lu transactions\n",
              vm.vm.value.c_str(), vm.site.value.c_str(),
              vm.is_leaving ? " (leaving)" : "", status.version,
              status.in_progress, status.transactions);
  for (const GroupStatus& group : status.groups) {
    std::printf("  group %s: primary %s, term %lu\n", group.group.value.c_str(),
                group.primary.IsEmpty() ? "none" : group.primary.value.c_str(),
                group.term.value);
    LogPosition newest;
    for (const EndpointStatus& it : group.endpoints) {
      newest = it.report ? std::max(newest, it.report->last.position) : newest;
    }
    for (const EndpointStatus& it : group.endpoints) {
      const auto runner = std::find_if(
          status.runners.begin(), status.runners.end(),
          [&it](const RunnerStatus& r) { return r.endpoint == it.endpoint; });
      std::printf("    %-20s %s", it.endpoint.value.c_str(),
                  it.is_reachable ? "reachable" : "unreachable");
      if (it.report) {
        std::printf(", position %lu, %lu behind%s",
                    it.report->last.position.value,
                    newest.value - it.report->last.position.value,
                    it.report->is_leaving ? ", leaving" : "");
      }
      if (runner != status.runners.end()) {
        std::printf(", owned: %lu waiting, %lu connections", runner->waiting,
                    runner->connections);
      }
      std::puts("");
    }
  }
}

int FleetCommands::Failover(const std::string& group) {
  const auto vms = client_.ListVms();
  if (vms.ec) {
    std::fprintf(stderr, "the list of VMs cannot be read: %s\n",
                 vms.ec.message().c_str());
    return kExitUnreachable;
  }
  for (const VmEntry& vm : vms.value) {
    const RpcReply reply = client_.CallRpc(vm.pooler_address, "promote",
                                           EncodePromoteRequest({{group}}));
    if (!reply.ec && reply.result["accepted"].isBool() &&
        reply.result["accepted"].asBool()) {
      std::printf("%s will promote a new primary of %s\n", vm.vm.value.c_str(),
                  group.c_str());
      return kExitOk;
    }
  }
  std::fprintf(stderr,
               "no reachable pooler drives the failover of group '%s'\n",
               group.c_str());
  return kExitFailed;
}

}  // namespace magnoliareel
