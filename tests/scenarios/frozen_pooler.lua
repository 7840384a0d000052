-- The pooler that owns the primary is stopped with SIGSTOP, so that its
-- connections stay open. Requests must be served by the next owner long before
-- their deadline, the pooler must run nothing twice when it continues, and a
-- statement that only runs long must not be abandoned.
local cluster = require("cluster")

cluster.start({ vms = 3 })
local session = cluster.open("crew-1", 1)
check(cluster.write(session, 1, "r", "put r zero").outcome == "done", "the first write is done")
local owner = eventually(5, "the owner is known", function()
  for n = 1, 3 do
    local status = cluster.rpc(n, "status")
    for _, runner in ipairs(status.runners or {}) do
      if runner.endpoint == cluster.endpoint_name(cluster.group(1).number) then return n end
    end
  end
end)

cluster.start_load({ "--rate", "100", "--duration-ms", "5000", "--writes-permille", "500",
  "--records", "40", "--deadline-ms", "8000" })
sleep_ms(800)
signal("pooler-" .. owner, "STOP")
local entry = owner % 3 + 1
local began = now_ms()
local written = cluster.write(session, entry, "r", "put r one", { deadline_ms = 9000, idempotent = true })
local took = now_ms() - began
check(written.outcome == "done", "an idempotent write is done during the freeze: " .. encode(written))
check(took < 2000, "the idempotent write takes under 2 s, it took " .. took .. " ms")
local unsafe = cluster.write(session, entry, "r", "append r two", { deadline_ms = 9000 })
check(unsafe.outcome == "done", "a non-idempotent write is done by the next owner: " .. encode(unsafe))
print("  first write " .. took .. " ms after the freeze")
signal("pooler-" .. owner, "CONT")
sleep_ms(500)
check(cluster.read_primary("r") == "one,two", "each write ran once")
local long = cluster.write(session, entry, "r", "work 2500 append r three", { deadline_ms = 9000 })
check(long.outcome == "done", "a long statement is not abandoned: " .. encode(long))
check(cluster.read_primary("r") == "one,two,three", "the long statement ran once")
cluster.finish_load(120)
