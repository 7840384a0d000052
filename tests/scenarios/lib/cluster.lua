-- A deployment of one service with groups of three endpoints, and the functions
-- that scenarios share. Endpoints are numbered across all groups. Ports are
-- offsets from settings.base_port.

local cluster = { groups = 1, callers = { "crew-1", "crew-2" }, sites = { "sava-krsko", "drava-ptuj", "mura-lendava" } }

local token_key = string.rep("0123456789abcdef", 4)
local environment = "scenario"

local function address(offset)
  return "127.0.0.1:" .. (settings.base_port + offset)
end

function cluster.platform() return address(0) end
function cluster.endpoint(n) return address(10 + n) end
function cluster.pooler(n) return address(30 + n) end
function cluster.entry(n) return address(60 + n) end

local function group_name(g) return "groyne-" .. string.char(string.byte("a") + g - 1) end

function cluster.endpoint_name(n)
  return group_name((n - 1) // 3 + 1) .. "-" .. ((n - 1) % 3 + 1)
end

-- Fails the scenario unless a condition holds; `what` says what was expected.
function check(condition, what)
  if not condition then error("check failed: " .. what, 2) end
end

-- Calls a function until it returns a true value, and returns that value. Fails
-- the scenario after `seconds`.
function eventually(seconds, what, attempt)
  local limit = now_ms() + seconds * 1000
  while now_ms() < limit do
    local result = attempt()
    if result then return result end
    sleep_ms(10)
  end
  error("timed out: " .. what, 2)
end

local function policy_of(program)
  local kind, name = string.match(settings.baseline, "^(%a+):(.+)$")
  return kind == program and name or "standard"
end

-- Baselines that are set by flags instead of by a policy of a program.
local flag_baselines = {
  ["no-drain"] = { policy = "standard", arguments = { "--drain-ms", "0" } },
  
}

local function add_policy(arguments, program, extra)
  local name = policy_of(program)
  local baseline = flag_baselines[name] or { policy = name, arguments = {} }
  for _, argument in ipairs(extra or {}) do table.insert(arguments, argument) end
  for _, argument in ipairs(baseline.arguments) do table.insert(arguments, argument) end
  table.insert(arguments, "--policy")
  table.insert(arguments, baseline.policy)
end

local function endpoint_flag()
  local list = {}
  for n = 1, 3 * cluster.groups do
    list[n] = cluster.endpoint_name(n) .. "=" .. cluster.endpoint(n)
  end
  return table.concat(list, ",")
end

function cluster.document(options)
  local groups = {}
  for g = 1, cluster.groups do
    local endpoints = {}
    for n = 1, 3 do
      endpoints[n] = { name = cluster.endpoint_name(3 * (g - 1) + n), site = cluster.sites[n],
        slots = options.slots or 5, connections = 32 }
    end
    groups[g] = { name = group_name(g), endpoints = endpoints }
  end
  local callers = {}
  for _, name in ipairs(cluster.callers) do
    if name ~= options.without_caller then
      callers[#callers + 1] = { name = name, key_hashes = { sha256("key-" .. name) },
        services = { "groyne-logs" } }
    end
  end
  return encode({ callers = callers, services = { { name = "groyne-logs",
    default_deadline_ms = 5000, max_deadline_ms = options.max_deadline_ms or 60000,
    transaction_idle_limit_ms = 5000,
    groups = groups } } })
end

-- Writes a document and its head to the store; returns the HTTP status of the
-- write of the head.
function cluster.put_document(text, version)
  local hash = sha256(text)
  check(http(cluster.platform(), "/objects/" .. hash, text) == 200, "the store accepts the document")
  local head = encode({ version = version, hash = hash, changed_by = "scenario",
    operation = "scenario-" .. version })
  return http(cluster.platform(), "/table", encode({ key = environment .. "/head",
    expected_version = version - 1, value = head }))
end

function cluster.start_platform()
  start("platform", { settings.bin_dir .. "/standins/platform/standin-platform",
    "--listen", cluster.platform() })
  eventually(10, "the platform answers", function() return http(cluster.platform(), "/vms") == 200 end)
end

function cluster.set_vms(numbers)
  local vms = {}
  for n, vm in ipairs(numbers) do
    vms[n] = { vm = "vm-" .. vm, site = cluster.sites[(vm - 1) % 3 + 1], entry = cluster.entry(vm),
      pooler = cluster.pooler(vm), state = "live" }
  end
  check(http(cluster.platform(), "/vms", encode({ vms = vms })) == 200, "the VMs are listed")
end

function cluster.start_endpoint(n, options)
  start("endpoint-" .. n, { settings.bin_dir .. "/standins/endpoint/standin-endpoint",
    "--listen", cluster.endpoint(n), "--slots", tostring(options.slots or 5),
    "--lag-ms", tostring(options.lag_ms or 20), "--run-us", tostring(options.run_us or 1000),
    "--connect-ms", tostring(options.connect_ms or 12) })
end

function cluster.start_pooler(n, extra)
  local arguments = { settings.bin_dir .. "/apps/pooler/magnoliareel-pooler", "--listen",
    cluster.pooler(n), "--platform", cluster.platform(), "--environment", environment,
    "--vm", "vm-" .. n, "--endpoints", endpoint_flag() }
  add_policy(arguments, "pooler", extra)
  start("pooler-" .. n, arguments)
end

function cluster.start_entry(n, extra)
  local arguments = { settings.bin_dir .. "/apps/entry/magnoliareel-entry", "--listen",
    cluster.entry(n), "--platform", cluster.platform(), "--environment", environment,
    "--vm", "vm-" .. n, "--site", cluster.sites[(n - 1) % 3 + 1], "--token-keys", token_key }
  add_policy(arguments, "entry", extra)
  start("entry-" .. n, arguments)
end

-- Starts all processes and waits until each entry serves and each group has a
-- primary.
function cluster.start(options)
  options = options or {}
  cluster.vms = options.vms or 2
  cluster.groups = options.groups or 1
  cluster.start_platform()
  local numbers = {}
  for n = 1, cluster.vms do numbers[n] = n end
  cluster.set_vms(numbers)
  check(cluster.put_document(cluster.document(options), 1) == 200,
    "the store accepts the head of the document")
  for n = 1, 3 * cluster.groups do cluster.start_endpoint(n, options) end
  for n = 1, cluster.vms do
    cluster.start_pooler(n)
    cluster.start_entry(n)
  end
  for n = 1, cluster.vms do cluster.await_entry(n) end
  cluster.await_all_primaries()
end

-- Waits until, for every group, one of the poolers reports a primary.
function cluster.await_all_primaries()
  eventually(20, "every group has a primary", function()
    local found = {}
    for n = 1, cluster.vms do
      local status = cluster.rpc(n, "status")
      for _, group in ipairs(status and status.groups or {}) do
        if group.primary ~= "" then found[group.group] = true end
      end
    end
    local count = 0
    for _ in pairs(found) do count = count + 1 end
    return count == cluster.groups
  end)
end

function cluster.await_entry(n)
  eventually(20, "entry " .. n .. " serves", function() return cluster.open(cluster.callers[1], n) end)
end

function cluster.rpc(pooler, method, parameters)
  local status, body = http(cluster.pooler(pooler), "/rpc",
    '{"jsonrpc":"2.0","id":1,"method":"' .. method .. '","params":' .. encode(parameters or {}) .. "}")
  return status == 200 and decode(body).result or nil
end

-- Returns the first group as a pooler reports it: primary, term and endpoints, and
-- the number of the primary as `number`.
function cluster.group(pooler)
  local status = cluster.rpc(pooler, "status")
  if not status or not status.groups then return nil end
  local group = status.groups[1]
  group.number = tonumber(string.match(group.primary, "(%d+)$"))
  return group
end

-- Waits until all given poolers (1 and 2 by default) report a primary of a term
-- higher than `term`; returns the group as the last of them reports it.
function cluster.await_primary(term, poolers)
  return eventually(20, "a primary of a later term", function()
    local found
    for _, n in ipairs(poolers or { 1, 2 }) do
      local group = cluster.group(n)
      if not group or not group.number or group.term <= term then return nil end
      found = group
    end
    return found
  end)
end

function cluster.fault(n, changes)
  check(http(cluster.endpoint(n), "/fault", encode(changes)) == 200, "the fault is set")
end

function cluster.platform_fault(changes)
  check(http(cluster.platform(), "/fault", encode(changes)) == 200, "the fault is set")
end

function cluster.count_statements(n)
  local _, body = http(cluster.endpoint(n), "/counts")
  return decode(body).statements
end

-- Sessions and requests. The token of each answer replaces the session's token.

local next_request = 0

function cluster.new_request()
  next_request = next_request + 1
  return "q" .. settings.seed .. "-" .. next_request
end

function cluster.ask(session, entry, path, body)
  body.request_id = body.request_id or cluster.new_request()
  if path ~= "/v1/session" then body.token = body.token or session.token end
  local status, text = http(cluster.entry(entry), path, encode(body),
    { "X-Magnoliareel-Caller: " .. session.caller, "X-Magnoliareel-Key: key-" .. session.caller })
  if status == 0 then return { outcome = "unknown", error = { code = text }, status = 0 } end
  local answer = decode(text)
  answer.status = status
  if answer.token then session.token = answer.token end
  return answer
end

function cluster.open(caller, entry)
  local session = { caller = caller }
  local answer = cluster.ask(session, entry, "/v1/session", { service = "groyne-logs" })
  return answer.outcome == "done" and session or nil
end

function cluster.write(session, entry, record, text, options)
  local body = { kind = "write", record = record, statement = text, idempotent = false }
  for name, value in pairs(options or {}) do body[name] = value end
  return cluster.ask(session, entry, "/v1/statement", body)
end

function cluster.read(session, entry, record, options)
  local body = { kind = "read", record = record, statement = "get " .. record }
  for name, value in pairs(options or {}) do body[name] = value end
  return cluster.ask(session, entry, "/v1/statement", body)
end

-- Reads a record's text from the primary.
function cluster.read_primary(record)
  return eventually(20, "a read from the primary is done", function()
    local session = cluster.open(cluster.callers[1], cluster.live_entry or 1)
    local answer = session and cluster.read(session, cluster.live_entry or 1, record, { max_age_ms = 0 })
    return answer and answer.outcome == "done" and answer
  end).answer
end

-- Load in the background that writes a history.

function cluster.start_load(flags)
  -- Each load has its own seed, because request ids are made from it.
  cluster.loads = (cluster.loads or 0) + 1
  local entries, callers = {}, {}
  for n = 1, cluster.vms do entries[n] = cluster.entry(n) end
  for n, name in ipairs(cluster.callers) do callers[n] = name .. "=key-" .. name end
  local arguments = { settings.bin_dir .. "/apps/load/magnoliareel-load",
    "--entries", table.concat(entries, ","), "--callers", table.concat(callers, ","),
    "--service", "groyne-logs", "--seed", tostring(settings.seed * 100 + cluster.loads),
    "--history", settings.log_dir .. "/history.jsonl", "--report", settings.log_dir .. "/report.json" }
  for _, flag in ipairs(flags) do table.insert(arguments, flag) end
  start("load", arguments)
end

-- Waits for the load, checks its history and returns its report.
function cluster.finish_load(seconds)
  check(wait_exit("load", seconds) == 0, "the exit code of the load is 0")
  start("check", { settings.bin_dir .. "/apps/check/magnoliareel-check",
    "--history", settings.log_dir .. "/history.jsonl" })
  local code = wait_exit("check", 30)
  local lines = read_file(settings.log_dir .. "/check.log")
  local last
  for line in string.gmatch(lines, "[^\n]+") do last = line end
  print("  history: " .. last)
  check(code == 0, "the history has no violations: " .. lines)
  return decode(read_file(settings.log_dir .. "/report.json"))
end

return cluster
