//! What one input does ends no process.

use futures_lite::future;
use portfield_net::panics;

/// A request that ended the host that read it went to the next one.
#[test]
fn a_panic_ends_what_is_done_with_one_input_and_no_more() {
    let broken = async {
        future::yield_now().await;
        let empty: [u8; 0] = [];
        empty.iter().copied().max().expect("something")
    };
    assert_eq!(future::block_on(panics::catch_async("request", broken)), None);
    assert_eq!(future::block_on(panics::catch_async("request", async { 7 })), Some(7));
}
