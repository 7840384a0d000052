-- A key is withdrawn, but a pooler is cut off from the store and does not learn it
-- there. An entry that starts while the store is down, or beside it, must not
-- accept the key again because of what that pooler knows.
local cluster = require("cluster")

local nowhere = "127.0.0.1:" .. (settings.base_port + 99)
local withdrawn, kept = "crew-2", "crew-1"

local function pooler_version(n)
  local status = cluster.rpc(n, "status")
  return status and status.version
end

local function count_in_force(entry, version)
  local _, count = string.gsub(read_file(settings.log_dir .. "/" .. entry .. ".log"),
    "document.in_force version=" .. version .. " ", "")
  return count
end

cluster.start({ vms = 2 })
local first = cluster.document({})
signal("pooler-2", "KILL")
cluster.start_pooler(2, { "--platform", nowhere, "--peers", cluster.pooler(1) })
eventually(10, "the pooler that is cut off learns the document of its peer", function()
  return pooler_version(2) == 1
end)
signal("pooler-1", "KILL")

check(cluster.put_document(cluster.document({ without_caller = withdrawn }), 2) == 200,
  "the document without the key is accepted")
for n = 1, 2 do
  eventually(5, "entry " .. n .. " rejects the withdrawn key", function()
    return cluster.open(withdrawn, n) == nil and cluster.open(kept, n) ~= nil
  end)
end
check(pooler_version(2) == 2, "the pooler knows the document that the entry of its VM applies")

-- Another pooler has only the old document.
cluster.start_pooler(3, { "--platform", nowhere })
eventually(10, "pooler 3 takes the old document", function()
  local result = cluster.rpc(3, "offer_document", { version = 1, text = first })
  return result and result.version == 1
end)

local function restart_entry()
  signal("entry-1", "KILL")
  cluster.start_entry(1, { "--peers", cluster.pooler(3) .. "," .. cluster.pooler(2) })
  eventually(10, "the new entry serves the caller whose key holds", function()
    check(cluster.open(withdrawn, 1) == nil, "the withdrawn key is rejected after the restart")
    return cluster.open(kept, 1) ~= nil
  end)
end

for _ = 1, 3 do restart_entry() end
cluster.platform_fault({ out = true })
for _ = 1, 3 do restart_entry() end
check(count_in_force("entry-1", 1) == 1, "only the first entry applied the old document")
