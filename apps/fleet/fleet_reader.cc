#include "apps/fleet/fleet_reader.h"

#include <utility>

namespace magnoliareel {
namespace {

using Codec = platform::RowCodec;

constexpr Duration kResponseTimeout = std::chrono::seconds(2);

}  // namespace

FleetReader::FleetReader(EventLoop& loop, const SocketAddress& store)
    : loop_(loop), store_(loop, store), commands_(loop, "magnoliareel-fleet") {}

std::error_code FleetReader::Read(FleetReport& out) {
  report_ = &out;
  pending_calls_ = 4;  // the four reads that are started below
  ReadConfig();
  ReadDuties();
  ReadNodes();
  ReadEndpoints();
  loop_.Run();
  return error_;
}

void FleetReader::FinishCall(std::error_code ec) {
  if (ec) {
    error_ = ec;
  }
  if (--pending_calls_ == 0) {
    loop_.Stop();
  }
}

void FleetReader::ReadConfig() {
  store_.List(Codec::GetConfigTable(), {},
              [this](std::error_code ec, const StoredRows& rows) {
                for (const StoredRow& it : rows.rows) {
                  RouteTable table;
                  Findings findings;
                  if (it.key == Codec::GetConfigKey()) {
                    Codec::ParseRoutes(it.value, table, findings);
                    report_->config_version = table.version;
                  }
                }
                FinishCall(ec);
              });
}

void FleetReader::ReadDuties() {
  ListAllRows(store_, kDutyTable,
              [this](std::error_code ec, const StoredRows& rows) {
                for (const StoredRow& it : rows.rows) {
                  if (DutyRow row; TextDutyRowCodec::Decode(it.value, row)) {
                    report_->duties.push_back(
                        {ServiceId{it.key}, std::move(row.holder), it.version});
                  }
                }
                FinishCall(ec);
              });
}

void FleetReader::ReadNodes() {
  ListAllRows(store_, kVmTable,
              [this](std::error_code ec, const StoredRows& rows) {
                for (const StoredRow& it : rows.rows) {
                  FleetNode node;
                  node.vm.value = it.key;
                  if (ParseSocketAddress(it.value, node.address)) {
                    report_->nodes.push_back(std::move(node));
                  }
                }
                for (size_t it = 0; it < report_->nodes.size(); ++it) {
                  QueryNode(it);
                }
                FinishCall(ec);
              });
}

void FleetReader::ReadEndpoints() {
  ListAllRows(store_, Codec::GetEndpointTable(),
              [this](std::error_code ec, const StoredRows& rows) {
                for (const StoredRow& it : rows.rows) {
                  FleetEndpoint endpoint;
                  Findings findings;
                  Codec::ParseEndpoint(it.key, it.value, endpoint.entry,
                                       findings);
                  if (findings.IsEmpty()) {
                    report_->endpoints.push_back(std::move(endpoint));
                  }
                }
                for (size_t it = 0; it < report_->endpoints.size(); ++it) {
                  QueryEndpoint(it);
                }
                FinishCall(ec);
              });
}

void FleetReader::QueryNode(size_t index) {
  ++pending_calls_;
  connections_.push_back(std::make_unique<net::HttpConnection>(
      loop_, report_->nodes[index].address));
  connections_.back()->Call(
      {"GET", "/status", {}, {}}, kResponseTimeout,
      [this, index](std::error_code ec, const net::Reply& reply) {
        NodeStatus status;
        if (!ec && reply.status == 200 &&
            DecodeNodeStatus(reply.body, status)) {
          report_->nodes[index].status = std::move(status);
        }
        // A node that does not answer is shown in the report; it is not an
        // error.
        FinishCall({});
      });
}

void FleetReader::QueryEndpoint(size_t index) {
  ++pending_calls_;
  commands_.Send(
      report_->endpoints[index].entry, {EndpointCommandKind::kReport, {}},
      kResponseTimeout,
      [this, index](std::error_code ec, const ReplicationStatus& status) {
        if (!ec) {
          report_->endpoints[index].status = status;
        }
        FinishCall({});
      });
}

}  // namespace magnoliareel
