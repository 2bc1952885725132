//! A process that has run out of file descriptors. Only one test, as the limit applies to the whole
//! process.

use std::{process::Command, time::Duration};

use portfield_net::rt::Runtime;

/// Guards against the end of a process whose descriptors ran out before the reactor of `async-h1` was
/// created, which happened with the first wait on a connection of the readiness port.
#[test]
fn timers_work_after_descriptors_run_out() {
    Runtime::default().block_on(0, async {
        let pid = format!("--pid={}", std::process::id());
        assert!(
            Command::new("prlimit").args([&pid, "--nofile=1:4096"]).status().unwrap().success()
        );
        async_io_1::Timer::after(Duration::from_millis(1)).await;
    });
}
