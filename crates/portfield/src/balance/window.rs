//! Which of a service's upstreams are scored for a request.
//!
//! The load this answers: thousands of upstreams, most of them idle, and a host with an eighth of a
//! core and few requests. Scoring every upstream for every request would take longer than the
//! request itself. So a request looks at a window of the upstreams, in the order of their ids: all
//! hosts look at the same window for a shared prompt part, which thus stays at few engines, and at a
//! random one for all other requests. The window widens if nothing in it may take the request.

use std::borrow::Cow;

use super::{placement::Candidate, scoring::TieBreak};

/// Numbers of upstreams scored, one after the other until one takes the request. A service with no
/// more than the last number is scored whole.
const WINDOW_SIZES: [usize; 2] = [64, 512];

/// Returns the windows to try in turn, each containing the one before; `candidates` are sorted by
/// upstream if they are more than the largest window.
pub(super) fn windows(
    candidates: &[Candidate],
    tie_break: TieBreak,
) -> impl Iterator<Item = Cow<'_, [Candidate]>> {
    let [_, max_size] = WINDOW_SIZES;
    let is_whole = candidates.len() <= max_size;
    let sizes = if is_whole { &WINDOW_SIZES[1..] } else { &WINDOW_SIZES[..] };
    let start =
        candidates.partition_point(|it| !is_whole && it.upstream < tie_break.window_start());
    let ring = move || candidates[start..].iter().chain(&candidates[..start]);
    sizes.iter().map(move |size| {
        if is_whole { candidates.into() } else { ring().take(*size).copied().collect() }
    })
}
