#include <functional>
#include <future>
#include <string>

#include "store/store.h"

#include <CppUTest/TestHarness.h>

namespace magnoliareel {
namespace {

/** Runs each task at once. */
struct InlineExecutor {
  TimePoint Now() const { return {}; }
  void Post(const std::function<void()>& task) { task(); }
  bool TryPost(const std::function<void()>& task) {
    task();
    return true;
  }
  void After(Duration, const std::function<void()>& task) { task(); }
};

}  // namespace

TEST_GROUP(PlatformClient){};

TEST(PlatformClient, ReadsTheRowOfAGroupWhateverItsName) {
  // The grants of group "a?b" were read from the row of group "a".
  HttpServerOptions options;
  options.listen = {"127.0.0.1", 0};
  std::string path;
  HttpServer server(options, [&path](const HttpRequest& request,
                                     const HttpResponder& responder) {
    path = request.path;
    responder.Send({404, ""});
  });
  CHECK(!server.Start());
  InlineExecutor executor;
  HttpClient client;
  PlatformClient<InlineExecutor> platform(
      executor, client, {"127.0.0.1", server.GetPort()}, {"prod"});
  for (const char* it : {"a", "a?b", "a b", "a#b", "a%41", "a/b", "\xc5\xbe"}) {
    std::promise<void> is_done;
    const std::string key = platform.GetKeys().GetGrants(GroupId{it});
    platform.GetRow(key, [&is_done](const RowReply&) { is_done.set_value(); });
    is_done.get_future().wait();
    STRCMP_EQUAL(("/table/" + key).c_str(), path.c_str());
  }
}

}  // namespace magnoliareel
