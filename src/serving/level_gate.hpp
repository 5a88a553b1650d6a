// Refuses calls above the level of admission of their service.
//
// Index: count_offered_work, is_above_level, level_refusal, refused_return
#ifndef MARIGOLDCRANK_SERVING_LEVEL_GATE_HPP
#define MARIGOLDCRANK_SERVING_LEVEL_GATE_HPP

#include "serving/call_context.hpp"

namespace marigoldcrank
{

/// Counts the work of a new call, as placed, into what callers ask for, whether or not it
/// will be refused. Returns false if the level doesn't hold for the call there.
bool count_offered_work(call_context& context, engine_readiness const& engines,
                        placement const& placed);

/// Whether a call is above the level of its service now.
bool is_above_level(call_context& context, engine_readiness const& engines,
                    placement const& placed);

/// The refusal of a call that is above the level and can't wait any longer.
own_response level_refusal(call_context& context, engine_readiness const& engines,
                           double work_ms);

/// When the caller of a refused call should return, not before `earliest`.
millis refused_return(call_context& context, double servers, double work_ms,
                      millis earliest);

} // namespace marigoldcrank

#endif
