-- Operators use the command line to check and apply documents, also at the same
-- time and with a lost answer, to promote and compare them, to show the history
-- and the status, and to order a failover.
local cluster = require("cluster")

cluster.start({ vms = 2 })
local run = 0
local function ctl(...)
  run = run + 1
  local name = "ctl-" .. run
  local arguments = { settings.bin_dir .. "/apps/ctl/magnoliareelctl", "--platform", cluster.platform(),
    "--environment", "scenario", "--trial", "trial" }
  for _, argument in ipairs({ ... }) do table.insert(arguments, argument) end
  start(name, arguments)
  return name
end
local function finish(name)
  local code = wait_exit(name, 20)
  return code, read_file(settings.log_dir .. "/" .. name .. ".log")
end
local function write_file(name, text)
  local path = settings.log_dir .. "/" .. name
  local file = io.open(path, "w")
  file:write(text)
  file:close()
  return path
end

local good = write_file("good.json", cluster.document({ max_deadline_ms = 50000 }))
local other = write_file("other.json", cluster.document({ max_deadline_ms = 45000 }))
local bad = write_file("bad.json", '{"services": [], "callers": [{"name": "x"}], "colour": 1}')

local code, text = finish(ctl("check", bad))
check(code == 4 and string.find(text, "/callers/0/key_hashes: missing_field", 1, true)
  and string.find(text, "/colour: unknown_field", 1, true), "all findings are printed: " .. text)
check(finish(ctl("check", good)) == 0, "a valid document has no findings")
check(finish(ctl("apply", bad, "--operator", "ana")) == 4, "an invalid document is not applied")

-- Two operators replace version 1 at the same time.
local one = ctl("apply", good, "--operator", "ana", "--expected-version", "1")
local two = ctl("apply", other, "--operator", "ben", "--expected-version", "1")
local code_one, text_one = finish(one)
local code_two, text_two = finish(two)
check((code_one == 0 and code_two == 5) or (code_one == 5 and code_two == 0),
  "one of two concurrent writes is accepted: " .. text_one .. text_two)
local loser = code_one == 5 and text_one or text_two
check(string.find(loser, "came first") and string.find(loser, "max_deadline_ms"),
  "the rejected operator gets the other author and the differences: " .. loser)

-- The answer to the write of the document's head is lost.
cluster.platform_fault({ lose_answers = 2 })
code, text = finish(ctl("apply", other, "--operator", "ana", "--environment", "trial"))

check(code == 0, "a lost answer is resolved by reading back: " .. text)
cluster.platform_fault({ lose_answers = 0 })

code, text = finish(ctl("promote", "--operator", "ana"))
check(code == 0 and string.find(text, "version 3"), "the trial document is promoted to version 3: " .. text)
code, text = finish(ctl("diff", other))
check(code == 0 and string.find(text, "no difference"),
  "the promoted document is identical: " .. text)
code, text = finish(ctl("history"))
check(code == 0 and string.find(text, "3 %x+ ana %(in force%)"),
  "the history shows version 3 in force: " .. text)

local before = cluster.group(1)
code, text = finish(ctl("failover", "groyne-a"))
check(code == 0, "a failover is accepted: " .. text)
local after = cluster.await_primary(before.term)
check(after.number ~= before.number, "another endpoint is primary")
eventually(5, "the status shows the new primary", function()
  code, text = finish(ctl("status"))
  return code == 0 and string.find(text, "primary groyne%-a%-" .. after.number)
end)
check(finish(ctl("status", "--json", "1")) == 0, "the status is available as JSON")
check(finish(ctl("sing")) == 2, "the exit code for an unknown command is 2")
