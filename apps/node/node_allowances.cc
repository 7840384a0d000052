// Slots and permits of NodeProcess: messages between VMs, and what they need to
// know of each other.

#include <algorithm>
#include <optional>
#include <string_view>
#include <utility>
#include <vector>

#include "apps/node/node_process.h"

namespace magnoliareel {

void NodeProcess::ApplySlots(const SlotAssignment* assignment,
                             TimePoint valid_until) {
  traffic_.ApplySlots(
      assignment == nullptr ? std::nullopt : std::optional(*assignment),
      valid_until);
}

void NodeProcess::RequestSlot(const VmId& owner) {
  SendToVm(owner, EncodeSlotRequest({settings_.vm}));
}

void NodeProcess::SendPermitRequest(const VmId& to,
                                    const PermitRequest& request) {
  SendToVm(to, EncodePermitRequest({settings_.peer_address, request}));
}

void NodeProcess::SendToVm(const VmId& vm, std::string_view bytes) {
  for (const PeerGroup::Peer* it : peers_.GetPeers().ListLive()) {
    if (it->last.vm == vm) {
      peers_.SendDatagram(it->last.address, bytes);
      return;
    }
  }
}

void NodeProcess::ReviewAllowances() {
  if (!uses_allowances_) {
    return;
  }
  std::vector<VmId> live{settings_.vm};
  std::vector<PermitLender> lenders;
  for (const PeerGroup::Peer* it : peers_.GetPeers().ListLive()) {
    live.push_back(it->last.vm);
    lenders.push_back({it->last.vm, settings_.MeasureDistance(it->last.site)});
  }
  std::sort(live.begin(), live.end());
  slots_.SetLiveVms(live);
  traffic_.ApplyLenders(std::move(lenders));
}

bool NodeProcess::HandleAllowanceDatagram(std::string_view bytes) {
  if (PermitRequestDatagram datagram; DecodePermitRequest(bytes, datagram)) {
    traffic_.HandlePermitRequest(
        datagram.request,
        [this, to = datagram.reply_to](const PermitGrant& grant) {
          mailbox_.Post([this, to, grant] {
            peers_.SendDatagram(to, EncodePermitGrant({settings_.vm, grant}));
          });
        });
    return true;
  }
  if (PermitGrantDatagram datagram; DecodePermitGrant(bytes, datagram)) {
    traffic_.HandlePermitGrant(datagram.vm, datagram.grant);
    return true;
  }
  if (SlotRequestDatagram datagram; DecodeSlotRequest(bytes, datagram)) {
    slots_.HandleSlotRequest(datagram.vm);
    return true;
  }
  return false;
}

}  // namespace magnoliareel
