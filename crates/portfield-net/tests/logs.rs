//! Rate limit of the logs: logging does not block, and omitted lines are reported.

use std::{
    sync::mpsc::sync_channel,
    time::{Duration, Instant},
};

use logforth::{
    Append,
    kv::{Key, Value},
    record::Record,
};
use portfield_net::logs::RateLimitedAppender;

fn append(appender: &RateLimitedAppender, n: usize) {
    for _ in 0..n {
        appender.append(&Record::builder().payload(format_args!("placed")).build(), &[]).unwrap();
    }
}

#[test]
fn stopped_reader_does_not_block_logging() {
    let (sender, receiver) = sync_channel(4);
    let appender = RateLimitedAppender::new(1_000_000, sender);
    let start = Instant::now();
    append(&appender, 10_000);
    assert!(start.elapsed() < Duration::from_secs(5));
    assert_eq!(receiver.try_iter().count(), 4);
}

/// Guards against a rare decision whose only line is crowded out by frequent ones.
#[test]
fn line_of_a_rare_message_is_written_above_the_rate() {
    let (sender, receiver) = sync_channel(100_000);
    let appender = RateLimitedAppender::new(10, sender);
    append(&appender, 5_000);
    let values = [(Key::new("request"), Value::str("r1"))];
    for _ in 0..3 {
        let record = Record::builder().payload(format_args!("not resumed"));
        let record = record.key_values(values.as_slice()).build();
        appender.append(&record, &[]).unwrap();
    }
    let lines: Vec<String> = receiver.try_iter().map(|it| String::from_utf8(it).unwrap()).collect();
    let n_rare = lines.iter().filter(|it| it.contains("not resumed")).count();
    assert_eq!(n_rare, 1, "one line a second of each message");
}

#[test]
fn lines_above_the_rate_are_omitted_and_counted_by_message() {
    let (sender, receiver) = sync_channel(100_000);
    let appender = RateLimitedAppender::new(10, sender);
    append(&appender, 5_000);
    let n_burst = receiver.try_iter().count();
    assert!((10..=60).contains(&n_burst), "{n_burst} lines of a burst of 5,000 at 10 per second");
    // The counts are reported with a later line, at most once per second.
    let deadline = Instant::now() + Duration::from_secs(10);
    let line = loop {
        append(&appender, 1);
        let lines: Vec<String> =
            receiver.try_iter().map(|it| String::from_utf8(it).unwrap()).collect();
        if let Some(it) = lines.into_iter().find(|it| it.contains("lines left out")) {
            break it;
        }
        assert!(Instant::now() < deadline, "the omitted lines were not reported");
        std::thread::sleep(Duration::from_millis(20));
    };
    let value: serde_json::Value = serde_json::from_str(&line).unwrap();
    assert!(4_000 < value["kvs"]["placed"].as_u64().unwrap(), "{line}");
}
