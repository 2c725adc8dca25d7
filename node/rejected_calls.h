// Submissions that the leader has rejected in its present term. Copies of a rejected call get the same answer, also if
// the configuration or the load has changed meanwhile: the sender may have passed on the first one.
#pragma once

#include "jobs.pb.h"

#include <absl/container/btree_map.h>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <string>
#include <tuple>

namespace teasel {

class RejectedCalls {
public:
    // Beyond `maxCalls`, the oldest rejections are forgotten.
    explicit RejectedCalls(size_t maxCalls)
        : m_maxCalls(maxCalls)
    {
    }

    void add(const schema::CallOrigin&, schema::RoutedAnswer);

    // The answer to an earlier copy of the call; nullptr if none was rejected.
    const schema::RoutedAnswer* find(const schema::CallOrigin&) const;

    // Must be called when a term of this leader begins: another leader may have accepted the calls since.
    void onBecameLeader();

private:
    using Key = std::tuple<std::string, uint64_t, uint64_t>; // instance, incarnation, number

    static Key keyOf(const schema::CallOrigin& it) { return { it.instance(), it.incarnation(), it.number() }; }

    size_t m_maxCalls;
    absl::btree_map<Key, schema::RoutedAnswer> m_answers;
    std::deque<Key> m_order; // keys of m_answers, oldest first
};

} // namespace teasel
