#include "tests/soak/link_proxy.h"

#include <utility>

namespace magnoliareel {
namespace {

bool IsSelected(uint64_t link, uint32_t connections) {
  return ((connections >> (link % 4)) & 1U) != 0;
}

}  // namespace

struct LinkProxy::Link {
  /** Handles the events of one side's stream. */
  struct Side {
    Link* link = nullptr;
    bool is_node = false;
    Stream stream;

    void HandleOpened() {}
    void HandleBytes(std::string_view bytes) {
      link->owner->Forward(link->id, is_node, bytes);
    }
    void HandleClosed(std::error_code) { link->owner->CloseLink(link->id); }
  };

  LinkProxy* owner = nullptr;
  uint64_t id = 0;
  /** The first bytes from the node, until they hold its name. */
  std::string opening;
  /** The name of the node, as its first line gives it; empty before. */
  std::string vm;
  Side node;
  Side server;
  /** Time at which the last delayed bytes arrive; later bytes are not sent
      before. */
  TimePoint arrives_at;
};

LinkProxy::LinkProxy(EventLoop& loop,
                     SocketAddress listen,
                     SocketAddress target)
    : loop_(loop),
      listen_(std::move(listen)),
      target_(std::move(target)),
      listener_(loop, [this](Stream stream) { Accept(std::move(stream)); }) {}

LinkProxy::~LinkProxy() = default;

std::error_code LinkProxy::Start() {
  listener_.Stop();
  return listener_.Listen(listen_);
}

void LinkProxy::Accept(Stream stream) {
  auto owned = std::make_unique<Link>();
  Link& it = *owned;
  it.owner = this;
  it.id = next_link_++;
  it.node.link = it.server.link = &it;
  it.node.is_node = true;
  it.node.stream = std::move(stream);
  links_.emplace(it.id, std::move(owned));
  it.node.stream.Serve(it.node);
  it.server.stream.Connect(loop_, target_, it.server);
}

void LinkProxy::Forward(uint64_t link, bool to_server, std::string_view bytes) {
  Link& it = *links_.at(link);
  if (to_server && it.vm.empty()) {
    ReadVm(it, bytes);
  }
  if (refused_vms_.contains(it.vm)) {
    CloseLink(link);
    return;
  }
  if (cut_vms_.contains(it.vm)) {
    return;
  }
  const bool is_affected = IsSelected(link, faults_.connections);
  if (is_affected &&
      (to_server ? faults_.drops_requests : faults_.drops_answers)) {
    return;
  }
  const TimePoint now = loop_.Now();
  const Duration delay = std::max(is_affected ? faults_.delay : Duration(0),
                                  to_server ? Duration(0) : answer_delay_);
  const TimePoint due = std::max(it.arrives_at, now + delay);
  if (due <= now) {
    Deliver(link, to_server, bytes);
    return;
  }
  it.arrives_at = due;
  RunLater(loop_, due - now,
           [this, link, to_server, bytes = std::string(bytes)] {
             Deliver(link, to_server, bytes);
           });
}

// The first line is STARTUP, the service, the node and the database's id.
void LinkProxy::ReadVm(Link& link, std::string_view bytes) {
  link.opening.append(bytes);
  if (!link.opening.starts_with("STARTUP ") ||
      link.opening.find("\r\n") == std::string::npos) {
    return;
  }
  const size_t service_end = link.opening.find(' ', sizeof("STARTUP"));
  if (service_end != std::string::npos) {
    const size_t begin = service_end + 1;
    link.vm = link.opening.substr(
        begin, link.opening.find_first_of(" \r", begin) - begin);
  }
  link.opening.clear();
}

void LinkProxy::Deliver(uint64_t link, bool to_server, std::string_view bytes) {
  const auto it = links_.find(link);
  if (it == links_.end()) {
    return;
  }
  Stream& stream =
      to_server ? it->second->server.stream : it->second->node.stream;
  if (!stream.IsOpen()) {
    return;
  }
  stream.Append(bytes);
  stream.Flush();
}

void LinkProxy::Reset(uint32_t connections) {
  std::vector<uint64_t> selected;
  for (const auto& [id, link] : links_) {
    if (IsSelected(id, connections)) {
      selected.push_back(id);
    }
  }
  for (const uint64_t it : selected) {
    CloseLink(it);
  }
}

void LinkProxy::RefuseVm(std::string_view vm) {
  refused_vms_.emplace(vm);
  CloseLinks(vm);
}

void LinkProxy::ReconnectVm(std::string_view vm) {
  refused_vms_.erase(std::string(vm));
  if (cut_vms_.erase(std::string(vm)) != 0) {
    CloseLinks(vm);
  }
}

void LinkProxy::CloseLinks(std::string_view vm) {
  std::vector<uint64_t> selected;
  for (const auto& [id, link] : links_) {
    if (link->vm == vm) {
      selected.push_back(id);
    }
  }
  for (const uint64_t it : selected) {
    CloseLink(it);
  }
}

void LinkProxy::ReconnectVms() {
  refused_vms_.clear();
  while (!cut_vms_.empty()) {
    ReconnectVm(std::string(*cut_vms_.begin()));
  }
}

void LinkProxy::CloseLink(uint64_t link) {
  const auto it = links_.find(link);
  if (it == links_.end()) {
    return;
  }
  it->second->node.stream.Close();
  it->second->server.stream.Close();
  // Deleted later, because a handler of one of its sides may be running.
  closed_links_.push_back(std::move(it->second));
  links_.erase(it);
  loop_.Defer([this] { closed_links_.clear(); });
}

}  // namespace magnoliareel
