#pragma once

#include <azureladder/key_ranges/range_entry.hpp>

#include <cstdint>
#include <set>
#include <string>
#include <vector>

namespace azureladder::key_ranges {

/// A node and the life of its backend server.
struct range_owner
{
    std::string m_node;
    std::string m_life;
};

/// All ranges of one service, in the order of their keys and without gaps.
struct range_table
{
    /// Above all fencing tokens that were ever used.
    std::uint64_t m_next_fence = 1;

    std::vector<range_entry> m_entries;
};

/// Divides all keys evenly. `owners` must not be empty.
range_table make_table(const std::vector<range_owner>& owners);

/// Whether the entries cover all keys once and fencing tokens are below the next one.
bool is_consistent(const range_table& table);

/// The entry of a key, or null in an empty table.
const range_entry* find_entry(const range_table& table, std::uint32_t key);

/// Gives keys to another node after their owner has released them. The keys lie in one entry.
void transfer(range_table& table, std::uint32_t from, std::uint32_t to, const range_owner& owner,
              const std::string& handover);

/// Claims all ranges of a lost owner for another node. Ranges that the lost owner had only
/// claimed keep their former owner.
void claim(range_table& table, const std::string& lost_owner, const range_owner& owner);

/// Passes claims that `from` has not settled on to another node, which has to wait anew.
void pass_claims(range_table& table, const std::string& from, const range_owner& owner);

/// Takes back the ranges that others have claimed from `owner` and not settled yet.
void reclaim(range_table& table, const range_owner& owner);

/// Marks the claimed ranges of `owner` with these fencing tokens as settled.
void settle(range_table& table, const std::string& owner, const std::set<std::uint64_t>& fences);

/// Takes new fencing tokens for the settled ranges of `owner` that belong to another life.
void bind_life(range_table& table, const range_owner& owner);

/// Joins neighbouring settled ranges of `owner` and `life` under one new fencing token when the
/// table has more than `max_entries` entries.
void merge_neighbours(range_table& table, const std::string& owner, std::size_t max_entries);

} // namespace azureladder::key_ranges
