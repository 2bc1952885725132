//! When a refused caller is to come back.
//!
//! The load this answers: callers ask for several times the capacity and retry once. Without
//! bookings, a hundred hosts invite all of them for the same few moments: nearly all are refused
//! again, which costs the hosts as much as the first refusal, and counts as demand once more.
//!
//! Each host books retries into its part of the capacity that it expects to be free, one after the
//! other. The bookings of all hosts together thus stay within that capacity without a message. A
//! host that ends takes its bookings with it: their callers come all the same, so that at most its
//! part of the free capacity over [`MAX_AHEAD`] is promised twice, to them and by the other hosts,
//! which then divide by one host less.

use std::time::Duration;

use super::{
    Balancer,
    balancer::RETRY_BOUNDS,
    capacity::EngineRoom,
    placement::{Placement, PlacementRequest, Refusal},
    scoring::unit_interval,
};

/// Part of the objective within which a refusal must come for the retry to be worthwhile.
const EARLY_REFUSAL_RATIO: f64 = 0.25;
/// Longest time for which retries are booked: a third of the longest deadline, up to which callers
/// honour the time that they are told.
const MAX_AHEAD: Duration = Duration::from_secs(4);
/// Longest time that a caller is told.
const MAX_ESTIMATE: Duration = Duration::from_secs(30);
/// Time constant of the average room: a burst of some seconds and the calm after it count together.
const AVERAGING_TIME: Duration = Duration::from_secs(5);
/// Part of the capacity that retries of workspaces that ask for no more than their shares may book: engines serve
/// these before new requests of workspaces beyond theirs.
const RESERVED_RATIO: f64 = 0.25;
/// Time for which a larger number of hosts is remembered. A host whose digests are lost hears of
/// none, and would book what all of them share.
const HOSTS_MEMORY: Duration = Duration::from_secs(30);
/// Time after the first request within which a host that hears no other books nothing: after a
/// start it does not know yet how many there are.
const SETTLING_TIME: Duration = Duration::from_secs(1);

/// What a refused caller is told.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) enum RetryAdvice {
    /// There will be room at this time from now, which is booked.
    Invited(Duration),
    /// There will be no room while a retry is worthwhile; the estimated time.
    Estimated(Duration),
    /// The time after which the wait will be short enough if no others come: nothing is booked.
    Unbooked(Duration),
}

impl RetryAdvice {
    /// Returns the time after which the caller is to retry.
    pub(super) fn time(self) -> Duration {
        match self {
            Self::Invited(it) | Self::Estimated(it) | Self::Unbooked(it) => it,
        }
    }

    /// Returns the time for which the caller was invited.
    pub(super) fn invited(self) -> Option<Duration> {
        match self {
            Self::Invited(it) => Some(it),
            Self::Estimated(_) | Self::Unbooked(_) => None,
        }
    }
}

/// Whose retry is booked.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Claim {
    /// The workspace asks for no more than its share.
    WithinShare,
    /// It asks for more: it is invited into what is free.
    BeyondShare,
}

/// A retry to be booked.
#[derive(Debug, Clone, Copy)]
pub(super) struct Booking {
    pub claim: Claim,
    /// Tokens that an engine has to read for it.
    pub tokens: f64,
    /// Time from now after which the wait will be short enough if no others come.
    pub earliest: Duration,
    /// Time from now up to which a retry is worthwhile to the caller.
    pub latest: Duration,
    /// Uniform in 0..1.
    pub random: f64,
}

/// Exponentially decaying average of the spare part that requests find of a service's engines.
#[derive(Debug, Clone, Copy)]
struct RoomAverage {
    room: f64,
    updated: Duration,
}

/// Retries that this host has invited to one service, and the capacity into which it books them.
#[derive(Debug, Default)]
pub(super) struct Invitations {
    average: Option<RoomAverage>,
    /// Speed of all engines together, in tokens per second.
    speed: f64,
    started: Duration,
    n_hosts: usize,
    /// When that number of hosts was last heard.
    hosts_heard: Duration,
    /// Up to when the reserved capacity and the free capacity are booked.
    booked: [Duration; 2],
}

impl Invitations {
    /// Records the room that a request found at the engines, and their speed together in tokens per
    /// second.
    pub(super) fn observe(&mut self, now: Duration, room: &EngineRoom, speed: f64) {
        let room = room.spare();
        self.speed = speed;
        let Some(it) = &mut self.average else {
            self.started = now;
            self.average = Some(RoomAverage { room, updated: now });
            return;
        };
        let age = now.saturating_sub(it.updated).as_secs_f64();
        it.room += (1.0 - (-age / AVERAGING_TIME.as_secs_f64()).exp()) * (room - it.room);
        it.updated = now;
    }

    /// Records the number of hosts heard, including this one.
    pub(super) fn observe_hosts(&mut self, now: Duration, n_hosts: usize) {
        if self.n_hosts <= n_hosts || self.hosts_heard + HOSTS_MEMORY < now {
            self.n_hosts = n_hosts;
            self.hosts_heard = now;
        }
    }

    /// Books a retry and returns what to tell its caller.
    pub(super) fn book(&mut self, now: Duration, booking: &Booking) -> RetryAdvice {
        let Booking { claim, tokens, earliest, latest, random } = *booking;
        let Some(average) = self.average else { return RetryAdvice::Unbooked(earliest) };
        if self.n_hosts <= 1 && now < self.started + SETTLING_TIME {
            return RetryAdvice::Unbooked(earliest);
        }
        let part = match claim {
            Claim::WithinShare => average.room.max(RESERVED_RATIO),
            Claim::BeyondShare => average.room,
        };
        let speed = self.speed * part / self.n_hosts.max(1) as f64;
        let longest = MAX_ESTIMATE.as_secs_f64();
        let time = Duration::from_secs_f64((tokens / speed.max(1.0)).min(longest));
        let booked = self.booked[claim as usize];
        let booked = if booked < now { now + earliest } else { booked };
        let at = (booked - now).max(earliest) + time.mul_f64(random);
        let latest = latest.min(MAX_AHEAD);
        if latest < at {
            let estimate = at.max(latest + latest / 2).min(MAX_ESTIMATE);
            return RetryAdvice::Estimated(estimate);
        }
        self.booked[claim as usize] = booked + time;
        RetryAdvice::Invited(at)
    }
}

impl Balancer {
    /// Tells a refused caller when there will be room for its retry, where shares follow what
    /// engines can do.
    pub(super) fn advise_retry(
        &mut self,
        now: Duration,
        request: &PlacementRequest,
        placement: Placement,
    ) -> Placement {
        let Placement::Refuse { reason, retry_after, estimate, share_ratio, room, .. } = placement
        else {
            return placement;
        };
        // Callers retry once, and earn nothing by it if the refusal came late.
        if !matches!(reason, Refusal::Busy | Refusal::Share)
            || !self.options.capacity_shares.is_on()
            || request.engine.is_none()
            || request.is_returning()
            || request.objective.mul_f64(EARLY_REFUSAL_RATIO) < request.waited
        {
            return placement;
        }
        let left = request.patience.saturating_sub(request.waited) / 3;
        let shares = self.shares.snapshot(now, request.workspace);
        let is_within = 0.0 < shares.asked && shares.asked <= shares.fair_share;
        let booking = Booking {
            claim: if is_within { Claim::WithinShare } else { Claim::BeyondShare },
            tokens: f64::from(request.own_tokens()),
            earliest: retry_after,
            latest: if request.patience.is_zero() { RETRY_BOUNDS.1 } else { left },
            random: unit_interval(self.next_random()),
        };
        let n_hosts = self.n_hosts(now);
        let invitations = self.invitations.entry(request.service).or_default();
        invitations.observe_hosts(now, n_hosts);
        let advice = invitations.book(now, &booking);
        let (retry_after, invited) = (advice.time(), advice.invited());
        Placement::Refuse { reason, retry_after, estimate, share_ratio, room, invited }
    }

    /// Records the room that a request found at a service's engines, of which there are
    /// `n_per_scored` for each one that was scored.
    pub(super) fn observe_room(
        &mut self,
        now: Duration,
        request: &PlacementRequest,
        room: &EngineRoom,
        n_per_scored: f64,
    ) {
        if !self.options.capacity_shares.is_on() || request.engine.is_none() {
            return;
        }
        let model = self.latency_models.get(&request.service);
        let speed = model.cloned().unwrap_or_default().tokens_per_ms() * 1000.0;
        let invitations = self.invitations.entry(request.service).or_default();
        invitations.observe(now, room, speed * f64::from(room.n_engines) * n_per_scored);
    }
}
