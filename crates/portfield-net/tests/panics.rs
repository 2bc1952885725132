//! What one input does ends no process.

use futures_lite::future;
use portfield_net::panics;

/// A request that ended the host that read it went to the next one.
#[test]
fn panic_ends_only_the_future_that_panicked() {
    let panicking = async {
        future::yield_now().await;
        let empty: [u8; 0] = [];
        empty.iter().copied().max().expect("something")
    };
    assert_eq!(future::block_on(panics::catch_async("request", panicking)), None);
    assert_eq!(future::block_on(panics::catch_async("request", async { 7 })), Some(7));
}
