#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <tuple>

namespace azureladder {

/// Name of a node, unique in a cluster and stable across restarts.
using node_id = std::string;

/// Random id of one incarnation of a node, chosen at process start and again when the node rejoins
/// as a new incarnation. Zero means "none".
using incarnation_id = std::uint64_t;

/// Fencing token of a slice, increased on every change of owner. Zero means "never owned".
using epoch_number = std::uint64_t;

/// Version of the configuration document. Zero means "no configuration".
using revision_number = std::uint64_t;

/// Slice space of the claims of non-idempotent requests; see the claims module of the core library.
inline constexpr const char* claim_space = "_claims";

/// Hash partition of the keys of one slice space; the number of partitions is fixed. A space is a
/// service divided by key, a key group of such a service ("service/group"), or `claim_space`.
struct slice_id
{
    std::string m_space;
    std::uint32_t m_index = 0;
};

inline bool operator==(const slice_id& a, const slice_id& b)
{
    return a.m_index == b.m_index && a.m_space == b.m_space;
}

inline bool operator!=(const slice_id& a, const slice_id& b)
{
    return !(a == b);
}

inline bool operator<(const slice_id& a, const slice_id& b)
{
    return std::tie(a.m_space, a.m_index) < std::tie(b.m_space, b.m_index);
}

/// One incarnation of a node.
struct member_id
{
    node_id m_node;
    incarnation_id m_incarnation = 0;
};

inline bool operator==(const member_id& a, const member_id& b)
{
    return a.m_incarnation == b.m_incarnation && a.m_node == b.m_node;
}

inline bool operator!=(const member_id& a, const member_id& b)
{
    return !(a == b);
}

inline bool operator<(const member_id& a, const member_id& b)
{
    return std::tie(a.m_node, a.m_incarnation) < std::tie(b.m_node, b.m_incarnation);
}

} // namespace azureladder
