-- Invalid requests to an entry and a pooler and invalid command lines: each
-- gets a typed error with its place, and the processes continue to serve.
local cluster = require("cluster")

cluster.start({ vms = 2 })
local session = cluster.open("crew-1", 1)
local good = { "X-Magnoliareel-Caller: crew-1", "X-Magnoliareel-Key: key-crew-1" }

local function expect(status, code, path, body, headers)
  local got, text = http(cluster.entry(1), path, body, headers or good)
  local answer = got ~= 0 and decode(text) or { error = { code = text } }
  check(got == status and answer.error.code == code,
    path .. ": expected " .. status .. " " .. code .. ", got " .. got .. " " .. text)
  check(answer.outcome == "not_run", "an invalid request is not run")
  return answer.error
end

local function statement(changes)
  local body = { request_id = cluster.new_request(), token = session.token, kind = "write",
    record = "r", statement = "put r bad" }
  for name, value in pairs(changes) do body[name] = value end
  return encode(body)
end

expect(400, "malformed_message", "/v1/statement", "{not json")
expect(400, "wrong_type", "/v1/statement", "[1, 2]")
local err = expect(400, "unknown_field", "/v1/statement", statement({ colour = "red" }))
check(err.findings[1].place == "/colour", "the finding names the field")
err = expect(400, "wrong_type", "/v1/statement", statement({ deadline_ms = "soon" }))
check(err.findings[1].place == "/deadline_ms", "the finding names the field")
expect(400, "out_of_range", "/v1/statement", statement({ deadline_ms = 999999 }))
expect(413, "body_too_large", "/v1/statement", string.rep("x", 300000))
expect(404, "unknown_path", "/v1/nothing", "{}")
expect(405, "unknown_method", "/v1/statement", nil)
expect(404, "unknown_service", "/v1/session", '{"request_id": "a", "service": "other"}')
expect(401, "bad_key", "/v1/session", '{"request_id": "a", "service": "groyne-logs"}',
  { "X-Magnoliareel-Caller: crew-1", "X-Magnoliareel-Key: wrong" })
expect(401, "unknown_caller", "/v1/session", '{"request_id": "a", "service": "groyne-logs"}',
  { "X-Magnoliareel-Caller: nobody", "X-Magnoliareel-Key: key-crew-1" })
expect(401, "forged_token", "/v1/statement", statement({ token = "A" .. session.token }))
expect(409, "no_transaction", "/v1/commit",
  encode({ request_id = cluster.new_request(), token = session.token }))
check(cluster.read_primary("r") == "", "no invalid request has taken effect")

local status = http(cluster.pooler(1), "/v1/run", '{"verb": "sing"}')
check(status == 400, "the pooler rejects an unknown verb")
local _, text = http(cluster.pooler(1), "/rpc", '{"jsonrpc":"2.0","id":1,"method":"none","params":{}}')
check(decode(text).error, "an unknown RPC method is an error")
check(cluster.write(session, 1, "r", "put r good").outcome == "done", "the entry still serves valid requests")

start("bad-flags", { settings.bin_dir .. "/apps/pooler/magnoliareel-pooler", "--listen", "nowhere",
  "--drain-ms", "-5", "--policy", "none" })
check(wait_exit("bad-flags", 5) == 2, "the exit code for invalid settings is 2")
local log = read_file(settings.log_dir .. "/bad-flags.log")
for _, flag in ipairs({ "--listen", "--drain-ms", "--platform", "--vm", "--policy" }) do
  check(string.find(log, flag .. ":", 1, true), "the finding for " .. flag .. " is reported: " .. log)
end
start("taken", { settings.bin_dir .. "/apps/pooler/magnoliareel-pooler", "--listen",
  cluster.pooler(1), "--platform", cluster.platform(), "--vm", "vm-1" })
check(wait_exit("taken", 10) == 3, "the exit code for an address in use is 3")
