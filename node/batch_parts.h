// Divides a batch into messages that a peer accepts.
#pragma once

#include "jobs.pb.h"

#include <utility>
#include <vector>

namespace teasel {

constexpr size_t maxBatchBytes = 1 << 20;

inline auto& entriesOf(schema::OrderBatch& it) { return *it.mutable_orders(); }
inline auto& entriesOf(schema::ResultBatch& it) { return *it.mutable_results(); }

// Parts with the fields of the batch and its entries in order. A part is larger than `maxBatchBytes` only with a single
// entry.
template <class Batch> std::vector<Batch> partsOf(Batch batch)
{
    auto entries = std::move(entriesOf(batch));
    entriesOf(batch).Clear();
    std::vector<Batch> out { batch };
    size_t bytes = 0;
    for (auto& it : entries) {
        const auto size = it.ByteSizeLong();
        if (bytes > 0 && bytes + size > maxBatchBytes) {
            out.push_back(batch);
            bytes = 0;
        }
        bytes += size;
        *entriesOf(out.back()).Add() = std::move(it);
    }
    return out;
}

} // namespace teasel
