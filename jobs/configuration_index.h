// Finds queues, teams and keys of the configuration in force. A configuration may have more than a thousand queues,
// and every call needs a look-up.
#pragma once

#include "jobs.pb.h"

#include <absl/container/btree_map.h>

#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace teasel {

class ConfigurationIndex {
public:
    // The configuration must outlive the index or the next call.
    void rebuild(const schema::JobConfiguration&);

    // The queue of this host with the longest prefix that the path begins with; nullptr if there is none.
    const schema::JobQueue* findQueue(std::string_view host, std::string_view path) const;

    const schema::JobTeam* findTeam(std::string_view name) const;

    // The team that owns the key; nullptr if none does.
    const schema::JobTeam* teamOfKey(std::string_view key) const;

private:
    absl::btree_map<std::string, std::vector<const schema::JobQueue*>, std::less<>> m_queues; // by host
    absl::btree_map<std::string, const schema::JobTeam*, std::less<>> m_teams; // by name
    absl::btree_map<std::string, const schema::JobTeam*, std::less<>> m_keys;
};

} // namespace teasel
