/** @file
    @brief Runs one scenario, a Lua script, against real processes. The
    functions that scripts can call are listed in tests/scenarios/README.md.
*/
#include <chrono>
#include <csignal>
#include <cstdio>
#include <fstream>
#include <future>
#include <iterator>
#include <lua.hpp>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "codec/codec.h"
#include "http/http.h"
#include "process/process.h"
#include "seal/seal.h"
#include "settings/settings.h"
#include "tests/scenarios/runner/child_processes.h"
#include "tests/scenarios/runner/lua_json.h"

namespace magnoliareel::scenario {
namespace {

constexpr Duration kCallTimeout = std::chrono::seconds(15);

/** Settings of scenario-runner. */
struct RunnerSettings {
  /** Folder of the built programs. */
  std::string bin_dir;
  /** Folder for log files and histories. */
  std::string log_dir;
  /** First port that the scenario may use. */
  int64_t base_port = 20000;
  /** Baseline policy to use, "pooler:NAME" or "entry:NAME", or empty. */
  std::string baseline;
  /** Seed passed to the script. */
  int64_t seed = 1;
};

/** State of the functions that scripts call. The extra space of the Lua state
    holds a pointer to it. */
struct ScriptContext {
  HttpClient client;
  std::unique_ptr<ChildProcesses> processes;
};

ScriptContext& GetScriptContext(lua_State* lua) {
  return **static_cast<ScriptContext**>(lua_getextraspace(lua));
}

int Start(lua_State* lua) {
  std::vector<std::string> arguments;
  const auto size = static_cast<lua_Integer>(lua_rawlen(lua, 2));
  for (lua_Integer n = 1; n <= size; ++n) {
    lua_rawgeti(lua, 2, n);
    arguments.emplace_back(lua_tostring(lua, -1));
    lua_pop(lua, 1);
  }
  if (!GetScriptContext(lua).processes->Start(luaL_checkstring(lua, 1),
                                              arguments)) {
    return luaL_error(lua, "cannot start the program %s",
                      arguments.front().c_str());
  }
  return 0;
}

int Signal(lua_State* lua) {
  const std::string name = luaL_checkstring(lua, 2);
  const int signal = name == "KILL"   ? SIGKILL
                     : name == "STOP" ? SIGSTOP
                     : name == "CONT" ? SIGCONT
                                      : SIGTERM;
  if (!GetScriptContext(lua).processes->Signal(luaL_checkstring(lua, 1),
                                               signal)) {
    return luaL_error(lua, "no process named %s runs", lua_tostring(lua, 1));
  }
  return 0;
}

int WaitExit(lua_State* lua) {
  const auto code = GetScriptContext(lua).processes->WaitExit(
      luaL_checkstring(lua, 1), luaL_checknumber(lua, 2));
  if (!code) {
    return luaL_error(lua, "the process %s has not ended in time",
                      lua_tostring(lua, 1));
  }
  lua_pushinteger(lua, *code);
  return 1;
}

/** http(address, path, body or nil, headers) sends a request and returns the
    status and body of the answer, or 0 and the name of the error. */
int Http(lua_State* lua) {
  HttpCall call;
  if (!ParseSocketAddress(luaL_checkstring(lua, 1), call.address)) {
    return luaL_error(lua, "malformed address: %s", lua_tostring(lua, 1));
  }
  call.path = luaL_checkstring(lua, 2);
  call.body = luaL_optstring(lua, 3, "");
  call.timeout = kCallTimeout;
  if (lua_istable(lua, 4)) {
    for (const Json::Value& it : ToJson(lua, 4)) {
      call.headers.push_back(it.asString());
    }
  }
  std::promise<HttpResult> promise;
  auto future = promise.get_future();
  GetScriptContext(lua).client.Send(std::move(call), [&promise](HttpResult it) {
    promise.set_value(std::move(it));
  });
  const HttpResult reply = future.get();
  lua_pushinteger(lua, reply.ec ? 0 : reply.status);
  const std::string text =
      reply.ec ? std::string(GetErrorName(reply.ec)) : reply.body;
  lua_pushlstring(lua, text.data(), text.size());
  return 2;
}

int Decode(lua_State* lua) {
  Findings findings;
  const Json::Value value = ParseJsonObject(luaL_checkstring(lua, 1), findings);
  if (!findings.IsEmpty()) {
    return luaL_error(lua, "not a JSON object: %s", lua_tostring(lua, 1));
  }
  PushJson(lua, value);
  return 1;
}

int Encode(lua_State* lua) {
  lua_pushstring(lua, FormatJson(ToJson(lua, 1)).c_str());
  return 1;
}

int Sha256(lua_State* lua) {
  lua_pushstring(lua, HashSha256(luaL_checkstring(lua, 1)).c_str());
  return 1;
}

int NowMs(lua_State* lua) {
  const auto now = std::chrono::steady_clock::now().time_since_epoch();
  lua_pushinteger(
      lua, std::chrono::duration_cast<std::chrono::milliseconds>(now).count());
  return 1;
}

int SleepMs(lua_State* lua) {
  std::this_thread::sleep_for(
      std::chrono::milliseconds(luaL_checkinteger(lua, 1)));
  return 0;
}

int ReadFile(lua_State* lua) {
  std::ifstream file(luaL_checkstring(lua, 1));
  const std::string text((std::istreambuf_iterator<char>(file)),
                         std::istreambuf_iterator<char>());
  lua_pushlstring(lua, text.data(), text.size());
  return 1;
}

void RegisterVerbs(lua_State* lua, const RunnerSettings& settings) {
  lua_register(lua, "start", &Start);
  lua_register(lua, "signal", &Signal);
  lua_register(lua, "wait_exit", &WaitExit);
  lua_register(lua, "http", &Http);
  lua_register(lua, "decode", &Decode);
  lua_register(lua, "encode", &Encode);
  lua_register(lua, "sha256", &Sha256);
  lua_register(lua, "now_ms", &NowMs);
  lua_register(lua, "sleep_ms", &SleepMs);
  lua_register(lua, "read_file", &ReadFile);
  Json::Value values(Json::objectValue);
  values["bin_dir"] = settings.bin_dir;
  values["log_dir"] = settings.log_dir;
  values["base_port"] = Json::Int64(settings.base_port);
  values["baseline"] = settings.baseline;
  values["seed"] = Json::Int64(settings.seed);
  PushJson(lua, values);
  lua_setglobal(lua, "settings");
}

int RunScript(const RunnerSettings& settings, const std::string& script) {
  ScriptContext context;
  context.processes = std::make_unique<ChildProcesses>(settings.log_dir);
  const std::unique_ptr<lua_State, void (*)(lua_State*)> lua(luaL_newstate(),
                                                             &lua_close);
  *static_cast<ScriptContext**>(lua_getextraspace(lua.get())) = &context;
  luaL_openlibs(lua.get());
  RegisterVerbs(lua.get(), settings);
  const std::string folder = script.substr(0, script.find_last_of('/') + 1);
  lua_getglobal(lua.get(), "package");
  lua_pushstring(lua.get(), (folder + "lib/?.lua").c_str());
  lua_setfield(lua.get(), -2, "path");
  lua_pop(lua.get(), 1);
  if (luaL_dofile(lua.get(), script.c_str()) != LUA_OK) {
    std::printf("FAILED %s: %s\n", script.c_str(), lua_tostring(lua.get(), -1));
    return kExitFailed;
  }
  std::printf("passed %s\n", script.c_str());
  return kExitOk;
}

int Run(std::span<char* const> args) {
  std::signal(SIGPIPE, SIG_IGN);
  RunnerSettings settings;
  Findings findings;
  FlagTable table("scenario-runner", "Runs a scenario against real processes.");
  table.AddText("bin-dir", "folder of the built programs", true,
                settings.bin_dir);
  table.AddText("log-dir", "folder for log files and histories", true,
                settings.log_dir);
  table.AddNumber("base-port", "first port that the scenario may use", 1024,
                  65000, settings.base_port);
  table.AddText(
      "baseline",
      "pooler:NAME or entry:NAME: policy that replaces the standard one", false,
      settings.baseline);
  table.AddNumber("seed", "seed passed to the script", 0, INT64_MAX,
                  settings.seed);
  if (const auto result = table.Parse(args, findings);
      result != FlagResult::kRun) {
    return ReportSettingsFindings(result, findings);
  }
  if (table.GetArguments().size() != 1) {
    std::fputs("exactly one script must be given\n", stderr);
    return kExitBadSettings;
  }
  return RunScript(settings, table.GetArguments().front());
}

}  // namespace
}  // namespace magnoliareel::scenario

int main(int argc, char** argv) {
  return magnoliareel::scenario::Run({argv, static_cast<size_t>(argc)});
}
