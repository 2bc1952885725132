//! Prefill and decode speed of each engine, relative to its service's.
//!
//! The load this answers: some engines turn 2.5 times slower for periods of about 600 ms, others
//! for seconds, and a few differ for good. One host sees few requests at each engine, so hosts tell
//! each other what they observed.
//!
//! - An observation is the logarithm of a time divided by the one that the service's model expects,
//!   less the service's own mean: what all engines share belongs to the latency model and to the
//!   bias, and only the rest to the engine.
//! - Two means of the observations, one over fractions of a second and one over tens of seconds,
//!   make up an estimate. The recent one decays towards the lasting one, the lasting one towards the
//!   service's speed.
//! - A host reports its own observations, in a few digests after each one. The summary of a data
//!   centre holds those of its own hosts only: with all that its leader knows, data centres would
//!   tell each other their own reports as news.

use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::{digest_scope::DIGESTS_PER_UPDATE, fast_map::FastMap, wire};

/// Time after which a recent observation counts half: a fraction of a slow period of 600 ms, so that
/// an estimate falls as fast as it rose. With 150 ms, engines that had recovered were avoided for
/// longer, and fewer simulated requests were in time.
const RECENT_HALF_LIFE: Duration = Duration::from_millis(100);
/// Time after which an observation counts half in the lasting difference: many times the distance
/// of slow periods, a fraction of the time for which an engine runs.
const LASTING_HALF_LIFE: Duration = Duration::from_secs(20);
/// Weight of the lasting difference among recent observations: one observation alone moves the
/// estimate by half of what it counts for.
const RECENT_PRIOR: f64 = 1.0;
/// Most by which an observation counts as slower than the estimate, so that one outlier alone makes no
/// engine slow ([`SLOW_DIFFERENCE`]), not even one that nothing else is known of; a second one counts
/// for as much again.
const MAX_STEP: f64 = 0.5;
/// Weight of the service's speed among the lasting observations.
const LASTING_PRIOR: f64 = 8.0;
/// Largest difference that one observation counts for, the logarithm of 3: beyond that the engine is
/// failing, which its health records.
const MAX_DIFFERENCE: f64 = 1.1;
/// Added to observed and expected times to a first event, in seconds: short times vary by as much
/// for other reasons than speed.
const TIME_NOISE: f64 = 0.02;
/// Weight of a new observation in the mean of a service.
const MEAN_SMOOTHING: f64 = 0.05;
/// Largest step towards an observation, as a difference from the mean, once the mean is known: a few
/// slow engines must not shift the mean of all.
const MAX_MEAN_STEP: f64 = 0.3;
/// Number of observations from which on the mean of a service counts as known.
const N_MEAN_KNOWN: f64 = 20.0;
/// Time between two updates of the decaying means: short against their half-lives, and long against
/// the time between two requests of a busy host, since an update goes through all engines.
const UPDATE_INTERVAL: Duration = Duration::from_millis(20);
/// Weight below which recent observations are no longer reported.
const MIN_REPORTED_WEIGHT: f64 = 0.1;
/// Weight below which the lasting observations of an engine are dropped.
const MIN_LASTING_WEIGHT: f64 = 0.01;
/// Time without a digest after which the reports of its sender are dropped.
const MAX_SILENCE: Duration = Duration::from_secs(10);
/// Difference above which an engine counts as slow: the logarithm of 1.35. At 0.22, variations of
/// sound engines were taken for slowness under high load.
const SLOW_DIFFERENCE: f64 = 0.3;
/// Time for which a slow engine is, or is not, placed on as if it had the service's speed.
const PROBE_PERIOD: Duration = Duration::from_millis(250);
/// One in this many of those times it is. An engine that gets some six requests a second from all
/// hosts while it has the service's speed then still gets one every three seconds.
const PROBE_EVERY: u64 = 16;

/// What an engine's speed applies to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Phase {
    /// Reading prompts.
    Prefill,
    /// Generating events.
    Decode,
}

/// Whether an engine is known as slow, and is tried nevertheless.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Pace {
    /// It has about the service's speed.
    Usual,
    /// It is slow.
    Slow,
    /// It is slow, and gets requests that show whether it has recovered.
    Probed,
}

/// Times at an engine as multiples of the service's.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct Slowness {
    pub prefill: f64,
    pub decode: f64,
    pub pace: Pace,
}

impl Slowness {
    /// That of an engine of the service's speed.
    pub(crate) const NONE: Self = Self { prefill: 1.0, decode: 1.0, pace: Pace::Usual };

    /// Returns the factors by which the engine is compared with others.
    ///
    /// Engines of about the same speed count as equal. If they did not, all hosts would send their
    /// next requests to the one that seems the fastest by some percent, before they hear of each
    /// other: of some 4,800 simulated requests 3,140 were then in time, and 4,422 with the speeds unused.
    pub(crate) fn price(&self, is_in_time: impl FnOnce() -> bool) -> Self {
        match self.pace {
            Pace::Usual => Self::NONE,
            // A probe must not make a request late, or have it refused.
            Pace::Probed if is_in_time() => Self::NONE,
            Pace::Slow | Pace::Probed => *self,
        }
    }
}

/// Speeds of one engine, as multiples of the service's.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct EngineSpeed {
    /// Speed at which it reads prompts.
    pub prefill: f64,
    /// Speed at which it generates events.
    pub decode: f64,
}

/// Weighted mean of differences; all weights decay together.
#[derive(Debug, Clone, Copy, Default)]
struct DecayingMean {
    sum: f64,
    weight: f64,
}

impl DecayingMean {
    fn add(&mut self, difference: f64) {
        self.sum += difference;
        self.weight += 1.0;
    }

    fn decay(&mut self, factor: f64) {
        self.sum *= factor;
        self.weight *= factor;
    }

    /// Returns the mean together with a prior value of some weight.
    fn with_prior(&self, prior: f64, weight: f64) -> f64 {
        (self.sum + prior * weight) / (self.weight + weight)
    }
}

/// Observations that are reported to other hosts.
#[derive(Debug, Clone, Copy, Default)]
struct Report {
    recent: DecayingMean,
    /// Value for the next digests.
    value: u32,
    /// Number of digests in which it is still to be reported.
    n_left: u32,
}

impl Report {
    fn add(&mut self, difference: f64) {
        self.recent.add(difference);
        self.value = to_wire(self.recent.sum / self.recent.weight);
        self.n_left = DIGESTS_PER_UPDATE;
    }

    fn decay(&mut self, factor: f64) {
        self.recent.decay(factor);
        if self.recent.weight < MIN_REPORTED_WEIGHT {
            self.n_left = 0;
        }
    }

    /// Returns the value for a digest, zero if there is none.
    fn take(&mut self) -> u32 {
        let res = if 0 < self.n_left { self.value } else { 0 };
        self.n_left = self.n_left.saturating_sub(1);
        res
    }
}

/// Estimate of one speed of one engine.
#[derive(Debug, Clone, Copy, Default)]
struct Estimate {
    recent: DecayingMean,
    lasting: DecayingMean,
    /// Observations of this host.
    own: Report,
    /// Observations of this host and of the other hosts of its data centre.
    centre: Report,
    /// Logarithm of the time as a multiple of the service's.
    difference: f64,
}

impl Estimate {
    fn add(&mut self, difference: f64) {
        let difference = difference.min(self.difference + MAX_STEP);
        self.recent.add(difference);
        self.lasting.add(difference);
        self.update();
    }

    fn decay(&mut self, recent: f64, lasting: f64) {
        self.recent.decay(recent);
        self.own.decay(recent);
        self.centre.decay(recent);
        self.lasting.decay(lasting);
        self.update();
    }

    fn update(&mut self) {
        let lasting = self.lasting.with_prior(0.0, LASTING_PRIOR);
        self.difference = self.recent.with_prior(lasting, RECENT_PRIOR);
    }
}

/// What is known of one engine.
#[derive(Debug, Clone, Copy)]
struct Engine {
    prefill: Estimate,
    decode: Estimate,
    slowness: Slowness,
}

impl Default for Engine {
    fn default() -> Self {
        Self { prefill: Estimate::default(), decode: Estimate::default(), slowness: Slowness::NONE }
    }
}

impl Engine {
    fn estimate(&mut self, phase: Phase) -> &mut Estimate {
        match phase {
            Phase::Prefill => &mut self.prefill,
            Phase::Decode => &mut self.decode,
        }
    }

    fn is_slow(&self) -> bool {
        SLOW_DIFFERENCE < self.prefill.difference.max(self.decode.difference)
    }

    fn update_slowness(&mut self) {
        self.slowness.prefill = self.prefill.difference.exp();
        self.slowness.decode = self.decode.difference.exp();
        self.slowness.pace = match (self.is_slow(), self.slowness.pace) {
            (false, _) => Pace::Usual,
            (true, Pace::Probed) => Pace::Probed,
            (true, _) => Pace::Slow,
        };
    }

    fn is_known(&self) -> bool {
        MIN_LASTING_WEIGHT < self.prefill.lasting.weight + self.decode.lasting.weight
    }
}

/// Mean of a service's observations, which its engines are compared with.
#[derive(Debug, Clone, Copy, Default)]
struct ServiceMean {
    mean: f64,
    n: f64,
}

impl ServiceMean {
    /// Records an observation and returns its difference from the mean.
    fn observe(&mut self, value: f64) -> f64 {
        self.n += 1.0;
        let is_known = N_MEAN_KNOWN < self.n;
        let max_step = if is_known { MAX_MEAN_STEP } else { f64::INFINITY };
        let smoothing = MEAN_SMOOTHING.max(1.0 / self.n);
        self.mean += smoothing * (value - self.mean).clamp(-max_step, max_step);
        value - self.mean
    }
}

/// A value that was counted, and the sequence number of its digest.
#[derive(Debug, Clone, Copy, Default)]
struct Counted {
    value: u32,
    sequence: u64,
}

impl Counted {
    /// Returns whether a value stands for an observation that was not counted yet.
    ///
    /// A value is repeated in [`DIGESTS_PER_UPDATE`] digests; beyond that, the same value is a new
    /// observation.
    fn is_new(&self, value: u32, sequence: u64) -> bool {
        self.value != value || self.repeated_until() <= sequence
    }

    fn repeated_until(&self) -> u64 {
        self.sequence + u64::from(DIGESTS_PER_UPDATE)
    }
}

/// Reports of one sender of digests.
#[derive(Debug, Default)]
struct Sender {
    incarnation: u64,
    sequence: u64,
    last_heard: Duration,
    /// Last counted values by upstream.
    counted: FastMap<u32, [Counted; 2]>,
}

/// Speeds of all engines.
#[derive(Debug, Default)]
pub(crate) struct EngineSpeeds {
    engines: FastMap<u32, Engine>,
    /// Means by service, of times to first events and of gaps.
    means: FastMap<u32, [ServiceMean; 2]>,
    senders: FastMap<u64, Sender>,
    /// This host's data centre, known once this host has written a summary.
    own_centre: Option<u32>,
    updated: Duration,
    probe_period: u128,
}

impl EngineSpeeds {
    /// Returns how slow an engine is; that of the service for an unknown one.
    pub(crate) fn slowness(&self, upstream: u32) -> Slowness {
        self.engines.get(&upstream).map_or(Slowness::NONE, |it| it.slowness)
    }

    /// Returns the speeds of an engine.
    pub(crate) fn speed(&self, upstream: u32) -> EngineSpeed {
        let slowness = self.slowness(upstream);
        EngineSpeed { prefill: 1.0 / slowness.prefill, decode: 1.0 / slowness.decode }
    }

    /// Iterates over the slow engines.
    pub(crate) fn slow_engines(&self) -> impl Iterator<Item = u32> {
        self.engines.iter().filter(|it| it.1.is_slow()).map(|it| *it.0)
    }

    /// Returns whether an update is due.
    pub(crate) fn is_due(&self, now: Duration) -> bool {
        self.updated + UPDATE_INTERVAL <= now
    }

    /// Decays all observations up to a time; `random` chooses the engines to probe.
    pub(crate) fn update(&mut self, now: Duration, random: u64) {
        let age = now.saturating_sub(self.updated);
        self.updated = now;
        let factor = |half_life: Duration| (-age.as_secs_f64() / half_life.as_secs_f64()).exp2();
        let (recent, lasting) = (factor(RECENT_HALF_LIFE), factor(LASTING_HALF_LIFE));
        for it in self.engines.values_mut() {
            it.prefill.decay(recent, lasting);
            it.decode.decay(recent, lasting);
            it.update_slowness();
        }
        self.engines.retain(|_, it| it.is_known());
        let period = now.as_nanos() / PROBE_PERIOD.as_nanos();
        if self.probe_period != period {
            self.probe_period = period;
            self.choose_probes(random);
        }
    }

    fn choose_probes(&mut self, random: u64) {
        for (upstream, it) in &mut self.engines {
            let hash = || xxh3_64_with_seed(&upstream.to_le_bytes(), random);
            it.slowness.pace = match it.is_slow() {
                true if hash().is_multiple_of(PROBE_EVERY) => Pace::Probed,
                true => Pace::Slow,
                false => Pace::Usual,
            };
        }
    }

    /// Records the time to a first event; the service's model expects one between the bounds of
    /// `expected`.
    ///
    /// Other hosts' requests that were ahead of it without this host knowing are no sign of the
    /// engine's speed: a time that they may explain counts as that of the service's speed.
    pub(crate) fn observe_first_event(
        &mut self,
        service: u32,
        upstream: u32,
        time: Duration,
        expected: (Duration, Duration),
    ) {
        let expected = time.clamp(expected.0, expected.1);
        let value = (time.as_secs_f64() + TIME_NOISE) / (expected.as_secs_f64() + TIME_NOISE);
        self.observe(service, upstream, Phase::Prefill, value);
    }

    /// Returns the mean gap between events of a service, if any was observed.
    pub(crate) fn expected_gap(&self, service: u32) -> Option<Duration> {
        let [_, gaps] = self.means.get(&service)?;
        (0.0 < gaps.n).then(|| Duration::from_secs_f64(gaps.mean.exp()))
    }

    /// Records a mean gap between events.
    pub(crate) fn observe_gap(&mut self, service: u32, upstream: u32, gap: Duration) {
        // Zero has no logarithm.
        self.observe(service, upstream, Phase::Decode, gap.as_secs_f64().max(1e-6));
    }

    fn observe(&mut self, service: u32, upstream: u32, phase: Phase, value: f64) {
        let mean = &mut self.means.entry(service).or_default()[phase as usize];
        let difference = mean.observe(value.ln()).clamp(-MAX_DIFFERENCE, MAX_DIFFERENCE);
        let engine = self.engines.entry(upstream).or_default();
        let estimate = engine.estimate(phase);
        estimate.own.add(difference);
        estimate.centre.add(difference);
        estimate.add(difference);
        engine.update_slowness();
    }

    /// Adds the observations of this host to its entries in a digest.
    pub(crate) fn fill_digest(&mut self, loads: &mut [wire::UpstreamLoad]) {
        for it in loads {
            let Some(engine) = self.engines.get_mut(&it.upstream) else { continue };
            it.read_speed = engine.prefill.own.take();
            it.decode_speed = engine.decode.own.take();
        }
    }

    /// Adds the observations of a data centre's hosts to its summary.
    pub(crate) fn fill_summary(&mut self, digest: &mut wire::Digest) {
        self.own_centre = Some(digest.data_centre);
        for it in &mut digest.loads {
            let Some(engine) = self.engines.get_mut(&it.upstream) else { continue };
            it.read_speed = engine.prefill.centre.take();
            it.decode_speed = engine.decode.centre.take();
        }
    }

    /// Merges the observations in another host's digest, each once; returns the upstreams that this
    /// data centre's summary has to report.
    pub(crate) fn merge_digest(&mut self, now: Duration, digest: &wire::Digest) -> Vec<u32> {
        let sender = self.senders.entry(digest.host).or_default();
        if sender.incarnation != digest.incarnation {
            *sender = Sender { incarnation: digest.incarnation, ..Sender::default() };
        } else if digest.sequence <= sender.sequence {
            return Vec::new();
        }
        sender.sequence = digest.sequence;
        sender.last_heard = now;
        sender.counted.retain(|_, it| it.iter().any(|it| digest.sequence < it.repeated_until()));
        let is_of_centre = digest.n_summed == 0 && self.own_centre == Some(digest.data_centre);
        let mut res = Vec::new();
        for it in &digest.loads {
            for (phase, value) in
                [(Phase::Prefill, it.read_speed), (Phase::Decode, it.decode_speed)]
            {
                if value == 0 {
                    continue;
                }
                let counted = &mut sender.counted.entry(it.upstream).or_default()[phase as usize];
                if !counted.is_new(value, digest.sequence) {
                    continue;
                }
                *counted = Counted { value, sequence: digest.sequence };
                let engine = self.engines.entry(it.upstream).or_default();
                let estimate = engine.estimate(phase);
                estimate.add(from_wire(value));
                if is_of_centre {
                    estimate.centre.add(from_wire(value));
                    res.push(it.upstream);
                }
                engine.update_slowness();
            }
        }
        res
    }

    /// Drops the reports of senders that have been silent, which bounds what is kept of them.
    pub(crate) fn expire(&mut self, now: Duration) {
        self.senders.retain(|_, it| now < it.last_heard + MAX_SILENCE);
    }

    /// Removes engines that are no longer known.
    pub(crate) fn retain(&mut self, is_known: impl Fn(u32) -> bool) {
        self.engines.retain(|id, _| is_known(*id));
    }
}

/// Returns the speed that a difference stands for, in thousandths of the service's.
fn to_wire(difference: f64) -> u32 {
    // Zero stands for an unknown speed.
    ((1000.0 * (-difference).exp()).round() as u32).max(1)
}

/// Returns the difference that a speed in thousandths of the service's stands for.
fn from_wire(speed: u32) -> f64 {
    (-(f64::from(speed) / 1000.0).ln()).clamp(-MAX_DIFFERENCE, MAX_DIFFERENCE)
}
