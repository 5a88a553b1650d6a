// Keys of the soak test that operators withdraw while callers use them.
//
// Index: soak_keys
#ifndef MARIGOLDCRANK_BENCH_SOAK_KEYS_HPP
#define MARIGOLDCRANK_BENCH_SOAK_KEYS_HPP

#include "domain/api_key.hpp"
#include "domain/boot_clock.hpp"

#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace marigoldcrank::soak
{

/// The keys exist before the fleet because the fleet's first rules contain them.
/// Thread-safe.
class soak_keys
{
public:
    explicit soak_keys(std::size_t count)
    {
        for (std::size_t index = 0; index < count; ++index)
        {
            keys_.push_back(make_api_key("spare-" + std::to_string(index)));
        }
        withdrawn_.resize(count);
    }

    /// The [keys] section of the rules file.
    std::string rules() const
    {
        std::string text = "[keys]\n";
        for (auto const& key : keys_)
        {
            auto const salt = make_salt();
            text += "; asked for by the soak test\n" + key.id +
                    " = workspace=north salt=" + salt +
                    " hash=" + salted_hash(salt, key.secret) + "\n";
        }
        return text;
    }

    std::size_t count() const noexcept
    {
        return keys_.size();
    }

    std::string bearer(std::size_t index) const
    {
        return format_api_key(keys_.at(index));
    }

    std::string const& id(std::size_t index) const
    {
        return keys_.at(index).id;
    }

    void note_withdrawn(std::size_t index)
    {
        std::lock_guard const lock(mutex_);
        withdrawn_.at(index) = boot_clock::now();
    }

    /// True if the key had been withdrawn for longer than `margin` when the call began.
    bool withdrawn_before(std::size_t index, boot_clock::time_point begun,
                          millis margin) const
    {
        std::lock_guard const lock(mutex_);
        auto const            at = withdrawn_.at(index);
        return at && begun > *at + margin;
    }

private:
    std::vector<api_key>                               keys_;
    mutable std::mutex                                 mutex_;
    std::vector<std::optional<boot_clock::time_point>> withdrawn_;
};

} // namespace marigoldcrank::soak

#endif
