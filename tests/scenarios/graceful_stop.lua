-- A pooler and an entry are stopped while statements run: none is cut off.
local cluster = require("cluster")

cluster.start({ vms = 2 })
local owner = cluster.group(1).number
local session = cluster.open("crew-1", 1)
start("slow", { settings.bin_dir .. "/apps/load/magnoliareel-load", "--entries", cluster.entry(1),
  "--callers", "crew-1=key-crew-1", "--service", "groyne-logs", "--rate", "20",
  "--duration-ms", "1200", "--writes-permille", "500", "--short-ms", "400",
  "--report", settings.log_dir .. "/slow.json" })
sleep_ms(1250)
for n = 1, 2 do
  signal("pooler-" .. n, "TERM")
end
signal("entry-1", "TERM")
check(wait_exit("pooler-1", 20) == 0, "pooler 1 ends with 0")
check(wait_exit("pooler-2", 20) == 0, "pooler 2 ends with 0")
check(wait_exit("entry-1", 20) == 0, "the entry ends with 0")
check(wait_exit("slow", 20) == 0, "the load ends")
local report = decode(read_file(settings.log_dir .. "/slow.json"))
print("  done " .. report.done .. " of " .. report.finished)
check(report.finished > 10, "there was work in progress")
local errors = report.errors or {}
check(not errors.answer_lost and not errors.unreachable,
  "no request in progress was cut off: " .. encode(errors))
check(report.done == report.finished, "every request was done: " .. encode(errors))
