#include "apps/fleet/fleet_reader.h"

#include <utility>

namespace magnoliareel {
namespace {

using Codec = platform::RowCodec;

// Longest wait for a node's or an endpoint's answer.
constexpr Duration kAnswerTimeout = std::chrono::seconds(2);

}  // namespace

FleetReader::FleetReader(EventLoop& loop, const SocketAddress& store)
    : loop_(loop), store_(loop, store), orders_(loop, "magnoliareel-fleet") {}

std::error_code FleetReader::Read(FleetReport& out) {
  report_ = &out;
  pending_ = 4;
  ReadConfig();
  ReadDuties();
  ReadNodes();
  ReadEndpoints();
  loop_.Run();
  return error_;
}

void FleetReader::End(std::error_code ec) {
  if (ec) {
    error_ = ec;
  }
  if (--pending_ == 0) {
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
                End(ec);
              });
}

void FleetReader::ReadDuties() {
  store_.List(kDutyTable, {},
              [this](std::error_code ec, const StoredRows& rows) {
                for (const StoredRow& it : rows.rows) {
                  report_->duties.push_back(
                      {ServiceId{it.key}, VmId{it.value}, it.version});
                }
                End(ec);
              });
}

void FleetReader::ReadNodes() {
  store_.List(kVmTable, {}, [this](std::error_code ec, const StoredRows& rows) {
    for (const StoredRow& it : rows.rows) {
      FleetNode node;
      node.vm.value = it.key;
      if (ParseSocketAddress(it.value, node.address)) {
        report_->nodes.push_back(std::move(node));
      }
    }
    for (size_t it = 0; it < report_->nodes.size(); ++it) {
      AskNode(it);
    }
    End(ec);
  });
}

void FleetReader::ReadEndpoints() {
  store_.List(Codec::GetEndpointTable(), {},
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
                  AskEndpoint(it);
                }
                End(ec);
              });
}

void FleetReader::AskNode(size_t index) {
  ++pending_;
  connections_.push_back(std::make_unique<net::HttpConnection>(
      loop_, report_->nodes[index].address));
  connections_.back()->Call(
      {"GET", "/status", {}, {}}, kAnswerTimeout,
      [this, index](std::error_code ec, const net::Reply& reply) {
        NodeStatus status;
        if (!ec && reply.status == 200 &&
            DecodeNodeStatus(reply.body, status)) {
          report_->nodes[index].status = std::move(status);
        }
        // A node that does not answer is part of the report, not an error.
        End({});
      });
}

void FleetReader::AskEndpoint(size_t index) {
  ++pending_;
  orders_.Send(
      report_->endpoints[index].entry, {EndpointCommandKind::kReport, {}},
      kAnswerTimeout,
      [this, index](std::error_code ec, const ReplicationStatus& standing) {
        if (!ec) {
          report_->endpoints[index].standing = standing;
        }
        End({});
      });
}

}  // namespace magnoliareel
