//! Logs never wait for their reader, and tell what they left out.

use std::{
    sync::mpsc::sync_channel,
    time::{Duration, Instant},
};

use logforth::{Append, record::Record};
use portfield_net::logs::RateLimitedAppender;

fn append(it: &RateLimitedAppender, n: usize) {
    for _ in 0..n {
        it.append(&Record::builder().payload(format_args!("placed")).build(), &[]).unwrap();
    }
}

#[test]
fn a_reader_that_stops_holds_nobody_up() {
    let (sender, receiver) = sync_channel(4);
    let it = RateLimitedAppender::new(1_000_000, sender);
    let began = Instant::now();
    append(&it, 10_000);
    assert!(began.elapsed() < Duration::from_secs(5));
    assert_eq!(receiver.try_iter().count(), 4);
}

#[test]
fn lines_above_the_rate_are_left_out_and_counted_by_event() {
    let (sender, receiver) = sync_channel(100_000);
    let it = RateLimitedAppender::new(10, sender);
    append(&it, 5_000);
    let before = receiver.try_iter().count();
    assert!((10..=60).contains(&before), "{before} lines of a burst of 5,000 at 10 a second");
    // The count follows with a later line, at most one a second.
    let end = Instant::now() + Duration::from_secs(10);
    let line = loop {
        append(&it, 1);
        let lines: Vec<String> =
            receiver.try_iter().map(|it| String::from_utf8(it).unwrap()).collect();
        if let Some(it) = lines.into_iter().find(|it| it.contains("lines left out")) {
            break it;
        }
        assert!(Instant::now() < end, "nothing told what was left out");
        std::thread::sleep(Duration::from_millis(20));
    };
    let value: serde_json::Value = serde_json::from_str(&line).unwrap();
    assert!(4_000 < value["kvs"]["placed"].as_u64().unwrap(), "{line}");
}
