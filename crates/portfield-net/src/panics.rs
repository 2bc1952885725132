//! Keeps what one input does from ending the process.
//!
//! A host that ends on an input leaves it to the next one, which ends too: a caller sends its request again, a
//! configuration and a list are read by all, a datagram comes to all. So what is done with such an input is
//! given up, with a log line, and the process goes on. Tasks of the host's own are not contained: without them it
//! does not do its work, and has to start anew.

use std::panic::{AssertUnwindSafe, catch_unwind};

use futures_lite::FutureExt;

/// Does something with an input; `None` if that panicked.
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

/// The same for a future.
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
