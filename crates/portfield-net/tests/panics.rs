//! Panics in the processing of one input.

use futures_lite::future;
use portfield_net::panics;

/// Guards against a request that ends one host after the other: callers send it again to the next.
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
