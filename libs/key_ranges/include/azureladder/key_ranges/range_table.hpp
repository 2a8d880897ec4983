#pragma once

#include <azureladder/key_ranges/range_entry.hpp>

#include <cstdint>
#include <set>
#include <string>
#include <vector>

namespace azureladder::key_ranges {

/// Node that owns ranges, with the incarnation of its backend server and process.
struct range_owner
{
    std::string m_node;
    std::string m_server_incarnation;
};

/// All key ranges of one service, in ascending order and without gaps.
struct range_table
{
    /// Next fencing token; greater than every token that was ever used.
    std::uint64_t m_next_fencing_token = 1;

    std::vector<range_entry> m_entries;
};

/// Creates a table that divides the keys evenly among `owners`, which must not be empty.
range_table make_range_table(const std::vector<range_owner>& owners);

/// Whether the entries cover each key exactly once, each entry has an owner, and all fencing
/// tokens are below the next one.
bool is_consistent(const range_table& table);

/// Returns the entry that contains `key`, or null if the table is empty.
const range_entry* find_range(const range_table& table, std::uint32_t key);

/// Transfers keys to another node after their owner has released them. The keys have to lie within
/// one entry; otherwise the table is left unchanged.
void transfer_keys(range_table& table, std::uint32_t from, std::uint32_t to,
                   const range_owner& owner, const std::string& handover);

/// Starts the takeover of all ranges of a lost owner by `owner`. Ranges that the lost owner was
/// taking over itself keep their previous owner.
void take_over_ranges(range_table& table, const std::string& lost_owner, const range_owner& owner);

/// Reassigns the unfinished takeovers of node `from` to `owner`, whose waiting time starts over.
void reassign_takeovers(range_table& table, const std::string& from, const range_owner& owner);

/// Returns to `owner` the ranges whose takeover from it by other nodes is not finished yet.
void revert_takeovers(range_table& table, const range_owner& owner);

/// Finishes the takeovers by `owner` whose fencing tokens are in `fences`.
void finish_takeovers(range_table& table, const std::string& owner,
                      const std::set<std::uint64_t>& fences);

/// Binds the active ranges of `owner` to its current incarnation. Ranges that belong to an earlier
/// incarnation get new fencing tokens.
void bind_incarnation(range_table& table, const range_owner& owner);

/// Merges adjacent active ranges of `owner` that belong to the same incarnation if the table has
/// more than `max_entries` entries. Each merged range gets a new fencing token.
void merge_adjacent_ranges(range_table& table, const std::string& owner, std::size_t max_entries);

} // namespace azureladder::key_ranges
