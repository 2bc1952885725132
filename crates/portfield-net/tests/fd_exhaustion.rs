//! A process whose descriptors run out. One test only: the limit is the whole process's.

use std::{process::Command, time::Duration};

use portfield_net::rt::Runtime;

/// The first wait on a connection of the ready port opened a second reactor: where descriptors had
/// run out by then, the process ended.
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
