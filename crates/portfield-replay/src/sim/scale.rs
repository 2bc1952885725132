//! Replays at the size to design for: a part of a trace, and what it costs each host.

use std::time::Duration;

use super::{Event, Host, Simulation, WARM_UP};
use crate::{case::Case, metrics::Metrics, trace::Arrival};

/// What a replay at size measured beside its metrics.
#[derive(Debug, Clone, PartialEq)]
pub struct ScaleReport {
    /// The metrics.
    pub metrics: Metrics,
    /// Control bytes a second: mean over hosts, the most, and mean over hosts without a shard.
    pub control: (f64, f64, f64),
    /// Hosts that own a shard.
    pub n_owners: usize,
    /// From a change of configuration until it was in force at every scheduler.
    pub in_force: Option<Duration>,
    /// Control messages sent.
    pub messages: u64,
    /// Virtual time that was replayed.
    pub time: Duration,
}

/// Replays a part of a trace and stops, for figures at a size where the whole would be long.
pub fn replay_for(case: &Case, arrivals: &[Arrival], time: Duration) -> ScaleReport {
    let mut simulation = Simulation::new(case, arrivals);
    let change_at = WARM_UP + time / 2;
    let mut in_force = None;
    // What joining costs is not counted.
    let mut measured_from = None;
    while let Some(((at, _), event)) = simulation.events.pop_first() {
        simulation.now = at;
        if WARM_UP + time < at {
            break;
        }
        if measured_from.is_none() && WARM_UP + time * 3 / 4 <= at {
            measured_from =
                Some((at, simulation.hosts.iter().map(|it| it.bytes).collect::<Vec<_>>()));
        }
        if simulation.fleet.revision == 1 && change_at <= at {
            simulation.mark_leaving(0);
        }
        let is_sample = matches!(event, Event::SampleSlots);
        simulation.handle(event);
        if is_sample
            && in_force.is_none()
            && 1 < simulation.fleet.revision
            && simulation.is_config_in_force()
        {
            in_force = Some(simulation.now - change_at);
        }
    }
    let (since, before) =
        measured_from.unwrap_or((Duration::ZERO, vec![0; simulation.hosts.len()]));
    simulation.scale_report(in_force, since, &before)
}

impl Simulation<'_> {
    pub(super) fn is_config_in_force(&self) -> bool {
        let mut all = self.hosts.iter().filter_map(|it| it.scheduler.as_ref());
        all.all(|it| it.fleet().revision == self.fleet.revision)
    }

    pub(super) fn scale_report(
        &self,
        in_force: Option<Duration>,
        since: Duration,
        before: &[u64],
    ) -> ScaleReport {
        let secs = (self.now - since).as_secs_f64();
        let all = self.hosts.iter().zip(before);
        let rates: Vec<_> = all.map(|(it, old)| (it.bytes - old) as f64 / secs).collect();
        let owns = |it: &Host| it.scheduler.as_ref().is_some_and(|it| !it.status().is_empty());
        let idle = self.hosts.iter().zip(&rates).filter(|(it, _)| !owns(it));
        let idle: Vec<_> = idle.map(|(_, rate)| *rate).collect();
        let mean = |all: &[f64]| all.iter().sum::<f64>() / all.len().max(1) as f64;
        ScaleReport {
            metrics: self.metrics.summarize(self.now, self.hosts.len()),
            control: (mean(&rates), rates.iter().copied().fold(0.0, f64::max), mean(&idle)),
            n_owners: self.hosts.len() - idle.len(),
            in_force,
            messages: self.metrics.control_messages,
            time: self.now,
        }
    }
}
