-- Time without writes when the primary's process is killed, with the store up
-- (odd seeds) or down (even seeds). Each run kills one primary; repeat it with
-- other seeds.
local cluster = require("cluster")

cluster.start({ vms = 3, lag_ms = 20 })
local session = cluster.open("crew-1", 1)
check(cluster.write(session, 1, "r", "put r first").outcome == "done", "the first write is done")
local before = cluster.group(1)
sleep_ms(400)
local is_down = settings.seed % 2 == 0
if is_down then cluster.platform_fault({ out = true }) end
signal("endpoint-" .. before.number, "KILL")
local began = now_ms()
local written = cluster.write(session, 2, "r", "put r second", { deadline_ms = 8000, idempotent = true })
local gap = now_ms() - began
print(string.format("  store %s: %s after %d ms", is_down and "down" or "up", written.outcome, gap))
