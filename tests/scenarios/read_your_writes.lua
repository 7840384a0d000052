-- A session writes at one entry and reads at another while replicas lag. Then the
-- entry and the pooler that served a write are killed. Every read must return the
-- session's own write.
local cluster = require("cluster")

cluster.start({ vms = 3, lag_ms = 50 })
-- Two of three endpoints receive each write soon; one replica lags far behind.
cluster.fault(cluster.group(1).number % 3 + 1, { lag_ms = 1500 })
local session = cluster.open("crew-1", 1)
for n = 1, 15 do
  local record = "inspection-" .. n
  local written = cluster.write(session, 1 + n % 3, record, "put " .. record .. " state-" .. n)
  check(written.outcome == "done", "write " .. n .. " is done")
  local read = cluster.read(session, 1 + (n + 1) % 3, record)
  check(read.outcome == "done" and read.answer == "state-" .. n,
    "read " .. n .. " returns the session's write, not '" .. tostring(read.answer) .. "'")
end

local owner = cluster.group(1).number
local written = cluster.write(session, 1, "last", "put last state")
check(written.outcome == "done", "the write before the kills is done")
signal("entry-1", "KILL")
signal("pooler-" .. owner, "KILL")
cluster.live_entry = 2
local read = cluster.read(session, 2, "last", { deadline_ms = 10000 })
check(read.outcome == "done" and read.answer == "state",
  "a read after the kills returns the session's write")
