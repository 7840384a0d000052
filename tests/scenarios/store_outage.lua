-- The primary is killed while the platform's store is down. A prefetched grant of
-- a term must still allow a promotion, within 2 s.
local cluster = require("cluster")

cluster.start({ vms = 2 })
local session = cluster.open("crew-1", 1)
check(cluster.write(session, 1, "r", "put r one").outcome == "done", "the first write is done")
local before = cluster.group(1)
sleep_ms(500)
cluster.platform_fault({ out = true })
signal("endpoint-" .. before.number, "KILL")
local began = now_ms()
local written = cluster.write(session, 2, "r", "put r two", { deadline_ms = 6000, idempotent = true })
local took = now_ms() - began
check(written.outcome == "done", "a write is done without the store: " .. encode(written))
print("  write done " .. took .. " ms after the kill")
check(took < 2000, "the write is done under 2 s after the kill, it took " .. took .. " ms")
local read = cluster.read(session, 1, "r")
check(read.answer == "two", "a read returns the write")
cluster.platform_fault({ out = false })
