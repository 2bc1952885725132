//! Burn reports of a running fleet.

mod fleet;

use serde_json::Value;

use crate::fleet::{Fleet, FleetOptions, generation_body, run_program};

/// Runs `portfield-burn` and returns its JSON report.
fn burn_report(fleet: &Fleet) -> Value {
    let platform = fleet.platform.address.to_string();
    let page = fleet.dir.join("burn.html");
    let args = ["--platform", &platform, "--json", "--html", page.to_str().unwrap()];
    let (is_ok, text) = run_program("portfield-burn", &args);
    assert!(is_ok, "{text}");
    assert!(std::fs::read_to_string(page).unwrap().contains("</html>"));
    serde_json::from_str(&text).unwrap()
}

/// Failed requests count against the error budget, and a dead router is listed as silent.
#[test]
fn burn_report_shows_failed_requests_and_unreachable_routers() {
    let mut fleet = Fleet::start(FleetOptions::default());
    for idx in 0..4 {
        let res = fleet.send(idx % 2, "small", "/scribe/run", &generation_body("ok", 3), "");
        assert_eq!(res.status, 200);
    }
    let rows = burn_report(&fleet)["rows"].clone();
    assert_eq!((&rows[0]["workspace"], &rows[0]["alert"]), (&"small".into(), &"none".into()));
    assert_eq!(rows[0]["tallies"][0]["total"], 4);
    fleet.engines[0].kill();
    for _ in 0..4 {
        let wait = "x-portfield-wait-ms: 100\r\n";
        let res = fleet.send(0, "large", "/scribe/run", &generation_body("no", 3), wait);
        assert!(500 <= res.status, "{res:?}");
    }
    let rows = burn_report(&fleet)["rows"].clone();
    assert_eq!((&rows[0]["workspace"], &rows[0]["alert"]), (&"large".into(), &"fast".into()));
    assert_eq!(rows[0]["tallies"][0]["failed"], 4);
    fleet.hosts[1].router.kill();
    assert_eq!(burn_report(&fleet)["silent"][0], "127.0.1.2");
}
