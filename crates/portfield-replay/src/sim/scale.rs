//! Replay at the fleet's target scale: a part of a trace, with the control traffic of each host.

use std::time::Duration;

use super::{Event, Host, Simulation, WARM_UP};
use crate::{case::Case, metrics::Metrics, trace::Arrival};

/// Results of a replay at target scale.
#[derive(Debug, Clone, PartialEq)]
pub struct ScaleReport {
    /// Metrics of the replay.
    pub metrics: Metrics,
    /// Control bytes per second of a host: mean, maximum, and mean of the hosts that own no shard.
    pub control_rates: (f64, f64, f64),
    /// Number of hosts that own a shard.
    pub n_owners: usize,
    /// Time from a change of the configuration until every scheduler applied it; `None` if the
    /// replay ended before.
    pub config_delay: Option<Duration>,
    /// Number of control messages sent.
    pub control_messages: u64,
    /// Virtual time at the end, with the warm-up.
    pub time: Duration,
}

/// Replays a trace for the given virtual time only, and changes the configuration half-way.
///
/// Meant for a scale at which the whole trace would take too long.
pub fn replay_for(case: &Case, arrivals: &[Arrival], time: Duration) -> ScaleReport {
    let mut simulation = Simulation::new(case, arrivals);
    let change_at = WARM_UP + time / 2;
    let mut config_delay = None;
    // Time and bytes of each host when the last quarter starts. Control traffic is counted from
    // then on, without that of joining hosts.
    let mut measured_from = None;
    while let Some(((at, _), event)) = simulation.events.pop_first() {
        simulation.now = at;
        if WARM_UP + time < at {
            break;
        }
        if measured_from.is_none() && WARM_UP + time * 3 / 4 <= at {
            measured_from =
                Some((at, simulation.hosts.iter().map(|it| it.control_bytes).collect::<Vec<_>>()));
        }
        if simulation.fleet.revision == 1 && change_at <= at {
            simulation.mark_leaving(0);
        }
        let is_sample = matches!(event, Event::SampleSlots);
        simulation.handle(event);
        if is_sample
            && config_delay.is_none()
            && 1 < simulation.fleet.revision
            && simulation.is_config_in_force()
        {
            config_delay = Some(simulation.now - change_at);
        }
    }
    let (since, before) =
        measured_from.unwrap_or((Duration::ZERO, vec![0; simulation.hosts.len()]));
    simulation.scale_report(config_delay, since, &before)
}

impl Simulation<'_> {
    /// Returns whether every scheduler applies the latest revision of the configuration.
    pub(super) fn is_config_in_force(&self) -> bool {
        let mut all = self.hosts.iter().filter_map(|it| it.scheduler.as_ref());
        all.all(|it| it.fleet().revision == self.fleet.revision)
    }

    /// Builds the report, with control traffic counted since the time at which the hosts had sent
    /// and received the bytes in `before`.
    pub(super) fn scale_report(
        &self,
        config_delay: Option<Duration>,
        since: Duration,
        before: &[u64],
    ) -> ScaleReport {
        let secs = (self.now - since).as_secs_f64();
        let all = self.hosts.iter().zip(before);
        let rates: Vec<_> = all.map(|(it, old)| (it.control_bytes - old) as f64 / secs).collect();
        let owns_shard =
            |it: &Host| it.scheduler.as_ref().is_some_and(|it| !it.status().is_empty());
        let without_shard = self.hosts.iter().zip(&rates).filter(|(it, _)| !owns_shard(it));
        let without_shard: Vec<_> = without_shard.map(|(_, rate)| *rate).collect();
        let mean = |all: &[f64]| all.iter().sum::<f64>() / all.len().max(1) as f64;
        ScaleReport {
            metrics: self.metrics.summarize(self.now, self.hosts.len()),
            control_rates: (
                mean(&rates),
                rates.iter().copied().fold(0.0, f64::max),
                mean(&without_shard),
            ),
            n_owners: self.hosts.len() - without_shard.len(),
            config_delay,
            control_messages: self.metrics.control_messages,
            time: self.now,
        }
    }
}
