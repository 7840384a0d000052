-- A request that is not safe to repeat is repeated by its caller, at another
-- entry and after a promotion, and its answers are lost: it runs once.
local cluster = require("cluster")

cluster.start({ vms = 2 })
local session = cluster.open("crew-1", 1)
local request = cluster.new_request()
cluster.fault(cluster.group(1).number, { lose_answers = 1 })
local first = cluster.write(session, 1, "bill", "append bill repair", { request_id = request })
check(first.outcome == "done", "the lost answer is settled by its record: " .. encode(first))
local again = cluster.write(session, 2, "bill", "append bill repair", { request_id = request })
check(again.outcome == "done", "the repeat is answered from the record")
check(cluster.read_primary("bill") == "repair", "it ran once")

local group = cluster.group(1)
signal("endpoint-" .. group.number, "KILL")
cluster.await_primary(group.term)
again = cluster.write(session, 2, "bill", "append bill repair", { request_id = request })
check(again.outcome == "done", "after a promotion the record is still there: " .. encode(again))
check(cluster.read_primary("bill") == "repair", "it still ran once")

local reused = cluster.write(session, 2, "bill", "append bill other", { request_id = request })
check(reused.error.code == "request_id_reused", "the id cannot be used for another statement")
