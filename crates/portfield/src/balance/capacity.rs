//! What the engines of a service can still take, from this host's own requests and the digests of
//! the others.
//!
//! The load this answers: callers ask for several times what the engines do. What was granted is no
//! measure of capacity then: each refusal lowers it, which lowers the shares, which leads to more
//! refusals, while engines have free slots and little to read.

use std::time::Duration;

use super::scoring::ScoredUpstream;

/// Part of the objective for which an engine may be busy with unread prompts and still count as
/// having room: a request sent to it then has half of its objective left for itself.
const ROOM_QUEUE_RATIO: f64 = 0.5;
/// Room below which the engines are full.
///
/// Arrivals are random, so some engines always have nothing to read; engines that read all the time
/// but for a tenth of it are as full as they get without queues that make requests late.
const FULL_BELOW: f64 = 0.1;
/// Room at the engines that a request may be sent to.
///
/// # Examples
///
/// ```
/// use portfield::balance::EngineRoom;
///
/// let engines = EngineRoom { n_engines: 140, free_slots: 0.4, queue_ms: 90.0, room: 0.3 };
/// assert!(!engines.is_full());
/// assert!(EngineRoom::default().is_full());
/// ```
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct EngineRoom {
    /// Number of engines that may be used.
    pub n_engines: u32,
    /// Part of the slots that is free.
    pub free_slots: f64,
    /// Mean time that an engine needs for its unread prompts, in milliseconds, with what estimates
    /// fell short of lately.
    pub queue_ms: f64,
    /// Mean, over the engines, of the free part of the slots or of the free part of the time that
    /// the objective allows for a queue, whichever is less; zero without engines.
    pub room: f64,
}

impl EngineRoom {
    /// Returns whether the engines are full, so that shares bind.
    pub fn is_full(&self) -> bool {
        self.room < FULL_BELOW
    }

    /// Returns the part of the engines' capacity that is spare; zero if they are full.
    pub(super) fn spare(&self) -> f64 {
        ((self.room - FULL_BELOW) / (1.0 - FULL_BELOW)).max(0.0)
    }
}

/// Adds up the room at the engines that are scored for a request.
#[derive(Debug, Default)]
pub(super) struct RoomMeter {
    sum: EngineRoom,
}

impl RoomMeter {
    /// Adds an engine that a request with this objective may be sent to.
    pub(super) fn add(&mut self, objective: Duration, it: &ScoredUpstream) {
        let longest_ms = objective.as_secs_f64() * 1000.0 * ROOM_QUEUE_RATIO;
        // Late or lost digests show engines emptier than they are; the bias tells by how much.
        let queue_ms = it.queue_ms + it.times.bias;
        let free_time = (1.0 - queue_ms / longest_ms.max(1.0)).max(0.0);
        self.sum.free_slots += it.free_slots;
        self.sum.queue_ms += queue_ms;
        self.sum.room += it.free_slots.min(free_time);
        self.sum.n_engines += 1;
    }

    /// Returns the room at all engines added.
    pub(super) fn room(&self) -> EngineRoom {
        let EngineRoom { n_engines, free_slots, queue_ms, room } = self.sum;
        let n = f64::from(n_engines.max(1));
        EngineRoom { n_engines, free_slots: free_slots / n, queue_ms: queue_ms / n, room: room / n }
    }
}
