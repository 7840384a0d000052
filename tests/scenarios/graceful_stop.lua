-- Both poolers and an entry get SIGTERM while statements run and others wait behind
-- them. Every statement that was accepted must be completed.
local cluster = require("cluster")

cluster.start({ vms = 2 })
start("slow", { settings.bin_dir .. "/apps/load/magnoliareel-load", "--entries", cluster.entry(1),
  "--callers", "crew-1=key-crew-1", "--service", "groyne-logs", "--rate", "20",
  "--duration-ms", "1200", "--writes-permille", "500", "--short-ms", "2000",
  "--deadline-ms", "15000", "--report", settings.log_dir .. "/slow.json" })
-- No statement ends before the last one is sent, so all of them are in progress
-- at the poolers at some time.
local sent = eventually(10, "all requests are in progress at the poolers", function()
  local total = string.match(read_file(settings.log_dir .. "/slow.log"), "sent all (%d+) requests")
  local in_progress = 0
  for n = 1, 2 do in_progress = in_progress + cluster.rpc(n, "status").in_progress end
  return in_progress == tonumber(total) and in_progress
end)
for n = 1, 2 do
  signal("pooler-" .. n, "TERM")
end
signal("entry-1", "TERM")
check(wait_exit("pooler-1", 20) == 0, "the exit code of pooler 1 is 0")
check(wait_exit("pooler-2", 20) == 0, "the exit code of pooler 2 is 0")
check(wait_exit("entry-1", 20) == 0, "the exit code of the entry is 0")
check(wait_exit("slow", 20) == 0, "the exit code of the load is 0")
local report = decode(read_file(settings.log_dir .. "/slow.json"))
print("  done " .. report.done .. " of " .. report.finished)
check(report.finished == sent and sent > 10, "every request was answered, and more than 10 were sent")
local errors = report.errors or {}
check(not errors.answer_lost and not errors.unreachable,
  "no request in progress lost its connection: " .. encode(errors))
check(report.done == report.finished, "every request was done: " .. encode(errors))
