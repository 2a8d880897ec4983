#include <azureladder/core/directory.hpp>

#include <azureladder/base/hash.hpp>

#include <string>

namespace azureladder::core {

namespace {

std::string text_of(const member_id& member)
{
    return member.m_node + "/" + std::to_string(member.m_incarnation);
}

// A version number identifies the content of a plan, so the content is not hashed.
std::uint64_t plan_hash(const plan& value)
{
    return hash64("plan/" + text_of(value.m_member) + "/" + std::to_string(value.m_version));
}

std::uint64_t location_hash(const slice_id& slice, const slice_location& value)
{
    return hash64("slice/" + slice.m_space + "/" + std::to_string(slice.m_index) + "/" +
                  text_of(value.m_owner) + "/" + std::to_string(value.m_epoch));
}

std::uint64_t bucket_hash(const std::string& text)
{
    constexpr std::uint64_t bucket_seed = 1;
    return hash64(text, bucket_seed);
}

/// Adds `difference` to the digest of a bucket. Unsigned sums wrap around, so that adding a negated
/// hash removes an entry.
void add_to_digest(directory_state& state, std::size_t bucket, std::uint64_t difference)
{
    state.m_bucket_digests[bucket] += difference;
    state.m_digest += difference;
}

} // namespace

std::size_t bucket_of(const member_id& member)
{
    return bucket_hash("plan/" + text_of(member)) % directory_bucket_count;
}

std::size_t bucket_of(const slice_id& slice)
{
    return bucket_hash("slice/" + slice.m_space + "/" + std::to_string(slice.m_index)) %
           directory_bucket_count;
}

const plan* find_plan(const directory_state& state, const member_id& member)
{
    const auto found = state.m_plans.find(member);
    return found == state.m_plans.end() ? nullptr : &found->second;
}

const plan* find_newest_plan(const directory_state& state, const node_id& node)
{
    const plan* newest = nullptr;
    for (auto it = state.m_plans.lower_bound({node, 0});
         it != state.m_plans.end() && it->first.m_node == node; ++it) {
        if (newest == nullptr || it->second.m_generation > newest->m_generation)
            newest = &it->second;
    }
    return newest;
}

std::vector<const plan*> newest_plans(const directory_state& state)
{
    std::vector<const plan*> result;
    for (const auto& [member, value] : state.m_plans) {
        if (result.empty() || result.back()->m_member.m_node != member.m_node)
            result.push_back(&value);
        else if (value.m_generation > result.back()->m_generation)
            result.back() = &value;
    }
    return result;
}

std::optional<slice_location> find_location(const directory_state& state, const slice_id& slice)
{
    const auto found = state.m_locations.find(slice);
    if (found == state.m_locations.end())
        return std::nullopt;
    return found->second;
}

bool install_plan(directory_state& state, const plan& value)
{
    const auto found = state.m_plans.find(value.m_member);
    if (found == state.m_plans.end()) {
        state.m_plans[value.m_member] = value;
        add_to_digest(state, bucket_of(value.m_member), plan_hash(value));
        return true;
    }
    if (found->second.m_version >= value.m_version)
        return false;
    add_to_digest(state, bucket_of(value.m_member), plan_hash(value) - plan_hash(found->second));
    found->second = value;
    return true;
}

bool install_location(directory_state& state, const slice_id& slice, const slice_location& value)
{
    const auto found = state.m_locations.find(slice);
    if (found == state.m_locations.end()) {
        state.m_locations[slice] = value;
        add_to_digest(state, bucket_of(slice), location_hash(slice, value));
        return true;
    }
    if (found->second.m_epoch >= value.m_epoch)
        return false;
    add_to_digest(state, bucket_of(slice),
                  location_hash(slice, value) - location_hash(slice, found->second));
    found->second = value;
    return true;
}

void remove_plan(directory_state& state, const member_id& member)
{
    const auto found = state.m_plans.find(member);
    if (found == state.m_plans.end())
        return;
    add_to_digest(state, bucket_of(member), std::uint64_t(0) - plan_hash(found->second));
    state.m_plans.erase(found);
}

std::uint64_t digest(const directory_state& state)
{
    return state.m_digest;
}

} // namespace azureladder::core
