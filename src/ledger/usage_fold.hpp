// Fold of usage: batches add up once, and a seal fixes a window's figures for ever.
//
// Index: 1 usage_figure, 2 sealed_window, 3 usage_fold
#ifndef MARIGOLDCRANK_LEDGER_USAGE_FOLD_HPP
#define MARIGOLDCRANK_LEDGER_USAGE_FOLD_HPP

#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <utility>

namespace marigoldcrank::wire
{
class usage_batch;
class usage_reported;
class usage_state_snapshot;
class window_seal;
} // namespace marigoldcrank::wire

namespace marigoldcrank
{

/// Usage of one workspace and model, in tokens and calls.
struct usage_figure
{
    std::uint64_t prompt_tokens = 0;
    std::uint64_t output_tokens = 0;
    std::uint64_t calls = 0;

    auto operator<=>(usage_figure const&) const = default;
};

/// By workspace and model.
using usage_table = std::map<std::pair<std::string, std::string>, usage_figure>;

/// A window whose figures can't change any more.
struct sealed_window
{
    std::uint64_t window = 0;
    std::uint64_t sealed_at = 0;        // offset of the seal
    std::uint64_t ended_at_unix_ms = 0; // as the sealing reporter saw it
    usage_table   figures;

    bool operator==(sealed_window const&) const = default;
};

/// Folds usage batches, seals and reporters' marks in offset order.
class usage_fold
{
public:
    /// Reported windows whose figures are kept for operators.
    static constexpr std::uint64_t kept_windows = 128;

    /// Incarnations whose counted sequences are kept; the first to appear goes first. An
    /// append that takes effect after so many newer incarnations would count twice.
    static constexpr std::size_t kept_incarnations = 4096;

    /// True if anything in the batch was counted; a delta that came before is not.
    bool apply(wire::usage_batch const& batch);

    /// True if the seal was effective: it names the last sealed window plus one.
    /// The caller has checked the reporter's lease.
    bool apply(std::uint64_t offset, wire::window_seal const& seal);

    /// True if the mark moved on. The caller has checked the reporter's lease.
    bool apply(wire::usage_reported const& mark);

    std::uint64_t last_sealed() const noexcept;
    std::uint64_t last_reported() const noexcept;

    /// All windows not yet reported and the last reported ones.
    std::map<std::uint64_t, sealed_window> const& sealed() const noexcept;
    usage_table const&                            open() const noexcept;

    /// True if the delta of this node, incarnation and sequence was counted.
    bool counted(std::string const& node, std::string const& incarnation,
                 std::uint64_t sequence) const;

    std::size_t incarnations() const noexcept;

    void              save(wire::usage_state_snapshot& state) const;
    static usage_fold restored(wire::usage_state_snapshot const& state);

    bool operator==(usage_fold const&) const = default;

private:
    using incarnation_name = std::pair<std::string, std::string>; // node, incarnation

    /// Sequences counted of one incarnation: all up to `through`, and those in `above`.
    struct counted_sequences
    {
        std::uint64_t           through = 0;
        std::set<std::uint64_t> above;

        bool contains(std::uint64_t sequence) const;
        void add(std::uint64_t sequence);
        bool operator==(counted_sequences const&) const = default;
    };

    counted_sequences& sequences_of(incarnation_name const& name);
    void               forget_reported();

    std::map<incarnation_name, counted_sequences> counted_;
    std::deque<incarnation_name>                  appeared_; // order of counted_
    usage_table                                   open_;
    std::map<std::uint64_t, sealed_window>        sealed_;
    std::uint64_t                                 last_sealed_ = 0;
    std::uint64_t                                 last_reported_ = 0;
};

} // namespace marigoldcrank

#endif
