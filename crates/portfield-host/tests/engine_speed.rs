//! Engine speeds in real hosts: what the relay measures reaches the balancer and the other hosts.

mod fleet;

use std::{net::SocketAddr, sync::mpsc, thread, time::Duration};

use fleet::{Fleet, request, send_request, wait_until};
use futures_lite::future;
use portfield_platform_standins::FakeUpstream;

/// Time between two events of the slow engine, that of the others being 10 ms.
const SLOW_LATENCY: Duration = Duration::from_millis(60);
/// Streams at a time, enough that all engines get some.
const N_STREAMS: usize = 12;

/// Sends streams of 30 events, none of which has a prompt part in common with another.
fn send_streams(listen: SocketAddr, round: usize) {
    let send = |n: usize| {
        let text = request("draft", &format!("r{round}-{n}")).replace("30,24", "30,90");
        let parts = format!("{:x}:20,{:x}:10", 4096 + round * 64 + n, 1 << 20 | (round * 64 + n));
        let text =
            text.replace("aa:20,bb:10", &parts).replace("deadline-ms: 1200", "deadline-ms: 5000");
        thread::spawn(move || send_request(listen, text.as_bytes()))
    };
    let streams: Vec<_> = (0..N_STREAMS).map(send).collect();
    streams.into_iter().for_each(|it| drop(it.join().unwrap()));
}

/// The balancer learned nothing of a stream's gaps, or a host without callers nothing of an engine
/// that others knew to be slow.
#[test]
fn a_slow_engine_is_known_to_all_hosts() {
    let mut fleet = Fleet::new(0, 3);
    let slow = future::block_on(FakeUpstream::start(&fleet.rt, "slow", SLOW_LATENCY)).unwrap();
    fleet.store.put("servers", &slow.id, &slow.entry("model", "ready"));
    let one = fleet.spawn_host("engine_speed = 'on'");
    let two = fleet.spawn_host(&format!("engine_speed = 'on'\nseeds = ['{}']", one.peers));
    wait_until("both hosts are ready", || one.is_ready() && two.is_ready());
    wait_until("the hosts know each other", || two.metric("portfield_hosts") == 2.0);
    let listen = one.listen;
    let (stop, stopped) = mpsc::channel::<()>();
    let callers = thread::spawn(move || {
        for round in 0.. {
            if stopped.try_recv().is_ok() {
                return;
            }
            send_streams(listen, round);
        }
    });
    let knows_slow = |host: &fleet::Host| 0.0 < host.metric("portfield_engines_slow");
    wait_until("the host that sends knows that an engine is slow", || knows_slow(&one));
    wait_until("the other one knows it too", || knows_slow(&two));
    wait_until("its decode speed is logged", || {
        let lines = one.log_entries("engines slow");
        lines.iter().any(|it| it["slowest"] == "slow" && it["decode"].as_f64().unwrap() < 0.9)
    });
    stop.send(()).unwrap();
    callers.join().unwrap();
}

/// The switch is off by default.
#[test]
fn nothing_is_learned_with_the_switch_off() {
    let mut fleet = Fleet::new(0, 3);
    let slow = future::block_on(FakeUpstream::start(&fleet.rt, "slow", SLOW_LATENCY)).unwrap();
    fleet.store.put("servers", &slow.id, &slow.entry("model", "ready"));
    let host = fleet.start_host();
    for round in 0..2 {
        send_streams(host.listen, round);
    }
    assert!(0 < slow.n_executed());
    assert_eq!(host.metric("portfield_engines_slow"), 0.0);
}
