//! Catches panics in the processing of a single input.
//!
//! Without this, one input could end all hosts in turn: a caller sends its request again to the next host, and every
//! host reads the same configuration, upstream list and datagrams. So a panic only ends the processing of the input
//! and is logged. Panics in the host's own tasks are not caught: the host cannot work without them and must restart.

use std::panic::{AssertUnwindSafe, catch_unwind};

use futures_lite::FutureExt;

/// Calls a function and returns its result, or `None` if it panicked. `what` names the input in the log.
///
/// # Examples
///
/// ```
/// use portfield_net::panics;
///
/// assert_eq!(panics::catch("sum", || 1 + 1), Some(2));
/// assert_eq!(panics::catch("list", || Vec::<u8>::new()[1]), None);
/// ```
pub fn catch<T>(what: &str, f: impl FnOnce() -> T) -> Option<T> {
    let res = catch_unwind(AssertUnwindSafe(f)).ok();
    log_panic(what, res)
}

/// Runs a future and returns its output, or `None` if it panicked. `what` names the input in the log.
pub async fn catch_async<T>(what: &str, f: impl Future<Output = T>) -> Option<T> {
    let res = AssertUnwindSafe(f).catch_unwind().await.ok();
    log_panic(what, res)
}

fn log_panic<T>(what: &str, res: Option<T>) -> Option<T> {
    if res.is_none() {
        log::error!(what; "panic contained");
    }
    res
}
