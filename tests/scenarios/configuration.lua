-- A new document is in force on every VM within 5 s, a VM started during a store
-- outage gets it from its peers, an older document never replaces it, and of two
-- operators that write the same version only one succeeds.
local cluster = require("cluster")

local function versions(poolers)
  local list = {}
  for i, n in ipairs(poolers) do
    local status = cluster.rpc(n, "status")
    list[i] = status and status.version or 0
  end
  return list
end

local function all_at_least(poolers, version)
  for _, it in ipairs(versions(poolers)) do
    if it < version then return false end
  end
  return true
end

cluster.start({ vms = 2 })
local second = cluster.document({ max_deadline_ms = 50000 })
local third = cluster.document({ max_deadline_ms = 40000 })
local began = now_ms()
check(cluster.put_document(second, 2) == 200, "the write of the first operator is accepted")
check(cluster.put_document(third, 2) == 409, "the write of the second operator is rejected")
eventually(5, "version 2 is in force at both poolers", function() return all_at_least({ 1, 2 }, 2) end)
print("  in force after " .. (now_ms() - began) .. " ms")
local session = cluster.open("crew-1", 1)
eventually(5, "the entries apply the new maximum deadline", function()
  local answer = cluster.read(session, 1, "r", { deadline_ms = 55000 })
  return answer.error and answer.error.code == "out_of_range"
end)

-- A VM started during a store outage gets the document from its peers.
cluster.platform_fault({ out = true })
cluster.start_pooler(3, { "--peers", cluster.pooler(1) .. "," .. cluster.pooler(2) })
cluster.start_entry(3, { "--peers", cluster.pooler(1) })
eventually(5, "the new pooler has version 2", function() return all_at_least({ 3 }, 2) end)
cluster.await_entry(3)
local fresh = cluster.open("crew-1", 3)
check(cluster.write(fresh, 3, "r", "put r x").outcome == "done", "the new entry serves")
cluster.platform_fault({ out = false })

-- An older document that is written again does not come into force.
sleep_ms(1500)
check(cluster.put_document(third, 2) == 409, "the store rejects an old version")
check(all_at_least({ 1, 2, 3 }, 2), "no pooler has an older version")
