// Refuses calls above the level of admission of their service.
//
// Index: is_above_level, level_refusal, refused_return
#ifndef MARIGOLDCRANK_SERVING_LEVEL_GATE_HPP
#define MARIGOLDCRANK_SERVING_LEVEL_GATE_HPP

#include "serving/call_context.hpp"

namespace marigoldcrank
{

/// Whether a call is above the level of its service now. The work of a new call,
/// `work_ms` of server time, counts into what callers ask for.
bool is_above_level(call_context& context, engine_readiness const& engines,
                    double work_ms, bool is_new);

/// The refusal of a call that is above the level and can't wait any longer.
own_response level_refusal(call_context& context, engine_readiness const& engines,
                           double work_ms);

/// When the caller of a refused call should return, not before `earliest`.
millis refused_return(call_context& context, double servers, double work_ms,
                      millis earliest);

} // namespace marigoldcrank

#endif
