#include "tests/soak/link_proxy.h"

#include <CppUTest/TestHarness.h>

#include <memory>
#include <string>
#include <vector>

#include "net/net.h"

namespace magnoliareel {
namespace {

using std::chrono::milliseconds;

constexpr uint16_t kPort = 28960;

// One end of a connection; the server's answers with what it receives.
struct Peer {
  Stream stream;
  bool echoes = false;
  bool was_closed = false;
  std::string received;

  void HandleOpened() {}
  void HandleBytes(std::string_view bytes) {
    received.append(bytes);
    if (echoes) {
      stream.Append(bytes);
      stream.Flush();
    }
  }
  void HandleClosed(std::error_code) { was_closed = true; }
};

}  // namespace

TEST_GROUP(LinkProxy) {
  void setup() override {
    CHECK_FALSE(listener_.Listen({"127.0.0.1", kPort}));
    CHECK_FALSE(proxy_.Start());
  }

  // Opens a connection as a node and sends its first line.
  std::unique_ptr<Peer> Connect(const std::string& vm) {
    auto peer = std::make_unique<Peer>();
    peer->stream.Connect(loop_, {"127.0.0.1", kPort + 1}, *peer);
    RunFor(milliseconds(30));
    peer->stream.Append("STARTUP db " + vm + " db-1\r\n");
    peer->stream.Flush();
    RunFor(milliseconds(30));
    return peer;
  }

  void RunFor(Duration duration) {
    RunLater(loop_, duration, [this] { loop_.Stop(); });
    loop_.Run();
  }

  EventLoop loop_;
  std::vector<std::unique_ptr<Peer>> servers_;
  StreamListener listener_{loop_, [this](Stream stream) {
                             servers_.push_back(std::make_unique<Peer>());
                             Peer& it = *servers_.back();
                             it.echoes = true;
                             it.stream = std::move(stream);
                             it.stream.Serve(it);
                           }};
  LinkProxy proxy_{loop_, {"127.0.0.1", kPort + 1}, {"127.0.0.1", kPort}};
};

TEST(LinkProxy, ClosesTheConnectionsOfARefusedNode) {
  const auto open = Connect("node-1");
  const auto other = Connect("node-2");
  proxy_.RefuseVm("node-1");
  const auto later = Connect("node-1");
  CHECK_TRUE(open->was_closed);
  CHECK_TRUE(later->was_closed);
  CHECK_TRUE(later->received.empty());
  CHECK_FALSE(other->was_closed);
  CHECK_FALSE(other->received.empty());
}

TEST(LinkProxy, AcceptsARefusedNodeAgain) {
  proxy_.RefuseVm("node-1");
  proxy_.ReconnectVm("node-1");
  CHECK_FALSE(Connect("node-1")->received.empty());
  proxy_.RefuseVm("node-1");
  proxy_.ReconnectVms();
  CHECK_FALSE(Connect("node-1")->received.empty());
}

TEST(LinkProxy, SwallowsTheBytesOfACutNode) {
  proxy_.CutVm("node-1");
  const auto peer = Connect("node-1");
  CHECK_FALSE(peer->was_closed);
  CHECK_TRUE(peer->received.empty());
}

}  // namespace magnoliareel
