// Identifier types. Objects are kept in containers and referenced by id instead of by pointer.
#pragma once

#include <cstdint>

namespace teasel {

using TeamId = uint32_t; // assigned by the fleet state; 0 means no team
using SchemeId = uint32_t; // a naming scheme; 0 is the first scheme of the fleet
using SubjectId = uint64_t; // anything that has a name: a team, an instance or a label key
using InstanceOrdinal = uint32_t; // dense index of an instance, valid within one process
using Epoch = uint64_t; // leadership epoch of a data centre; a higher epoch fences all lower ones
using Revision = uint64_t; // version number of the configuration

} // namespace teasel
