//! Log line and metric of the engines that are slow.

use std::time::Duration;

use portfield_net::clock;

use crate::state::Host;

/// Shortest time between two log lines: slow periods are shorter, and at any time some of a hundred
/// engines are in one.
const LOG_PERIOD: Duration = Duration::from_secs(5);

/// Returns the number of engines that are slow, as far as this host knows.
pub(crate) fn n_slow(host: &Host) -> usize {
    host.balancer().slow_engines(clock::now()).len()
}

/// Logs the slow engines, if there are any and they were not logged recently.
pub(crate) fn log_slow(host: &Host, last_logged: &mut Duration) {
    let now = clock::now();
    if now < *last_logged + LOG_PERIOD {
        return;
    }
    *last_logged = now;
    let slowest = {
        let mut balancer = host.balancer();
        let slow = balancer.slow_engines(now);
        let n = slow.len();
        let speeds = slow.into_iter().map(|it| (it, balancer.engine_speed(now, it), n));
        speeds.min_by(|a, b| a.1.prefill.total_cmp(&b.1.prefill))
    };
    let Some((number, speed, n)) = slowest else { return };
    let slowest = host.with_list(|list| {
        list.directory.all().find(|it| it.wire_id() == number).map(|it| it.entry.id.clone())
    });
    log::info!(n, slowest, prefill = speed.prefill, decode = speed.decode; "engines slow");
}
