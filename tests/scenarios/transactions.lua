-- Transactions of two callers run at the same time through both entries, and a
-- pooler is killed during a transaction. Each transaction must take effect as a
-- whole or not at all.
local cluster = require("cluster")

cluster.start({ vms = 2 })
local function begin(caller, record)
  local session = cluster.open(caller, 1)
  local answer = cluster.ask(session, 1, "/v1/begin", { record = record })
  check(answer.outcome == "done", "the transaction begins")
  return session
end

local one = begin("crew-1", "a")
local two = begin("crew-2", "a")
for n = 1, 6 do
  check(cluster.write(one, 1 + n % 2, "a", "append a one" .. n).outcome == "done",
    "the write of the first transaction is done")
  check(cluster.write(two, 2 - n % 2, "a", "append a two" .. n).outcome == "done",
    "the write of the second transaction is done")
  local read = cluster.read(one, 1 + n % 2, "a")
  check(not string.find(read.answer, "two"), "a transaction does not read uncommitted writes of another")
end
check(cluster.read_primary("a") == "", "uncommitted writes are not visible")
check(cluster.ask(one, 2, "/v1/commit", {}).outcome == "done", "a commit through another entry is done")
check(cluster.ask(two, 1, "/v1/rollback", {}).outcome == "done", "the rollback is done")
check(cluster.read_primary("a") == "one1,one2,one3,one4,one5,one6",
  "only the committed transaction took effect")

-- A token cannot be used by another caller.
local victim = begin("crew-1", "b")
local thief = { caller = "crew-2", token = victim.token }
local stolen = cluster.write(thief, 1, "b", "append b stolen")
check(stolen.error.code == "forged_token", "a token of another caller is rejected")

-- The pooler is killed before the commit.
check(cluster.write(victim, 1, "b", "append b lost").outcome == "done",
  "the write before the kill is done")
local owner = eventually(5, "the pooler that holds the transaction is known", function()
  for n = 1, 2 do
    local status = cluster.rpc(n, "status")
    if status.transactions > 0 then return n end
  end
end)
signal("pooler-" .. owner, "KILL")
wait_exit("pooler-" .. owner, 5)
local request = cluster.new_request()
local commit = cluster.ask(victim, 2, "/v1/commit", { request_id = request, deadline_ms = 8000 })
check(commit.outcome == "not_run" and commit.error.code == "transaction_lost",
  "the commit is answered with not_run: " .. encode(commit))
check(cluster.read_primary("b") == "", "the lost transaction took no effect")

-- The answer to a commit is lost; the recorded outcome answers the caller.
cluster.start_pooler(owner)
local third = begin("crew-1", "c")
check(cluster.write(third, 1, "c", "append c kept").outcome == "done",
  "the write before the commit is done")
cluster.fault(cluster.group(3 - owner).number, { lose_answers = 1 })
commit = cluster.ask(third, 1, "/v1/commit", { deadline_ms = 6000 })
check(commit.outcome == "done", "the commit is done though the endpoint's answer is lost: " .. encode(commit))
check(cluster.read_primary("c") == "kept", "the transaction took effect once")
