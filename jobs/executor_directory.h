// Finds the registered incarnations of executors by id and by address.
#pragma once

#include <absl/container/flat_hash_map.h>
#include <absl/container/inlined_vector.h>

#include <algorithm>
#include <cstdint>
#include <string>
#include <string_view>

namespace teasel {

class ExecutorDirectory {
public:
    // More than one while an incarnation that was replaced is being removed.
    using Numbers = absl::InlinedVector<uint32_t, 2>;

    void add(uint32_t number, std::string_view id, std::string_view address)
    {
        remove(number);
        const auto& names = m_names[number] = { std::string(id), std::string(address) };
        m_byId[names.id].push_back(number);
        m_byAddress[names.address].push_back(number);
    }

    void remove(uint32_t number)
    {
        const auto it = m_names.find(number);
        if (it == m_names.end())
            return;
        removeFrom(m_byId, it->second.id, number);
        removeFrom(m_byAddress, it->second.address, number);
        m_names.erase(it);
    }

    void clear()
    {
        m_names.clear();
        m_byId.clear();
        m_byAddress.clear();
    }

    Numbers withId(std::string_view id) const { return find(m_byId, id); }

    // Those with this id, this address, or both; in ascending order.
    Numbers withIdOrAddress(std::string_view id, std::string_view address) const
    {
        auto out = find(m_byId, id);
        const auto others = find(m_byAddress, address);
        out.insert(out.end(), others.begin(), others.end());
        std::sort(out.begin(), out.end());
        out.erase(std::unique(out.begin(), out.end()), out.end());
        return out;
    }

private:
    struct Names {
        std::string id;
        std::string address;
    };
    using Index = absl::flat_hash_map<std::string, Numbers>;

    static Numbers find(const Index& index, std::string_view name)
    {
        const auto it = index.find(std::string(name));
        return it == index.end() ? Numbers() : it->second;
    }

    static void removeFrom(Index& index, const std::string& name, uint32_t number)
    {
        const auto it = index.find(name);
        if (it == index.end())
            return;
        it->second.erase(std::remove(it->second.begin(), it->second.end(), number), it->second.end());
        if (it->second.empty())
            index.erase(it);
    }

    absl::flat_hash_map<uint32_t, Names> m_names;
    Index m_byId;
    Index m_byAddress;
};

} // namespace teasel
