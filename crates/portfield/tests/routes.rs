//! Look-up of routes by host name and path.

use std::{
    hint::black_box,
    time::{Duration, Instant},
};

use portfield::catalog::{Access, Catalog, Limits, Regions, Route, RouteKind, WeightedService};

fn route(name: String, prefix: &str) -> Route {
    Route {
        name,
        host: "x.example".to_owned(),
        prefix: prefix.to_owned(),
        kind: RouteKind::Safe,
        timeout: Duration::from_secs(1),
        latency_target: Duration::from_millis(100),
        max_gap: None,
        priority: 1,
        max_attempts: 2,
        access: Access::Public,
        regions: Regions::default(),
        services: vec![WeightedService { service: "s".to_owned(), weight: 1.0 }],
    }
}

fn catalog(prefixes: &[String]) -> Catalog {
    let limits = Limits {
        header_bytes: 1,
        body_bytes: 1,
        header_timeout: Duration::ZERO,
        idle_timeout: Duration::ZERO,
        token_rate: 0.0,
    };
    let named = prefixes.iter().enumerate();
    let routes = named.map(|(n, prefix)| route(format!("r{n}"), prefix)).collect();
    Catalog::new(1, routes, Vec::new(), Vec::new(), limits)
}

/// Returns the name of the route that a comparison with each prefix finds: the longest, and of equal
/// ones the first.
fn find_by_comparison(prefixes: &[String], path: &str) -> Option<String> {
    let matching = prefixes.iter().enumerate().filter(|it| path.starts_with(it.1.as_str()));
    let longest = matching.max_by_key(|(n, it)| (it.len(), std::cmp::Reverse(*n)));
    longest.map(|(n, _)| format!("r{n}"))
}

fn random_path(rng: &mut fastrand::Rng, n_segments: usize) -> String {
    // Few letters, including some that sort before and after the slash, so that paths often share
    // a beginning.
    let letters = ["a", "b", "-", "a-", "ab", "é", "%2F", ""];
    let segment = |rng: &mut fastrand::Rng| letters[rng.usize(0..letters.len())];
    (0..n_segments).fold("/".to_owned(), |path, _| path + segment(rng) + "/")
}

/// Guards against an index that finds another route than the longest prefix: one whose prefix only
/// sorts nearby, a shorter one, or the second of two equal ones.
#[test]
fn the_longest_prefix_is_found_as_by_comparison() {
    for seed in 1..=200 {
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut prefixes: Vec<String> = (0..rng.usize(0..60))
            .map(|_| {
                let n = rng.usize(0..5);
                random_path(&mut rng, n)
            })
            .collect();
        // The configuration requires a slash at the end, but the look-up does not rely on it.
        prefixes.extend((0..5).map(|_| random_path(&mut rng, 2).trim_end_matches('/').to_owned()));
        let catalog = catalog(&prefixes);
        for _ in 0..200 {
            let n = rng.usize(0..7);
            let path = random_path(&mut rng, n) + ["", "x", "a", "?"][rng.usize(0..4)];
            let found = catalog.find_route("X.example:80", &path).map(|it| it.name.clone());
            assert_eq!(found, find_by_comparison(&prefixes, &path), "{path}, seed {seed}");
            assert!(catalog.find_route("y.example", &path).is_none());
        }
    }
}

/// Guards against a look-up that compares the path with each route of its host name: with 10,000
/// routes, that took longer than placing the request.
///
/// Both catalogs are asked for as many different paths, so that the processor's caches hold what either needs, and in turn,
/// in batches that are short beside a time slice.
#[test]
fn the_time_of_a_look_up_does_not_grow_with_the_number_of_routes() {
    const N_PATHS: usize = 100;
    const N_BATCHES: usize = 200;
    let (few, many) = (Lookups::new(100, N_PATHS), Lookups::new(10_000, N_PATHS));
    let times = (0..N_BATCHES).map(|_| (few.time(), many.time()));
    let least = times.reduce(|least, it| (least.0.min(it.0), least.1.min(it.1)));
    let (few, many) = least.unwrap();
    assert!(many < few * 4, "{few:?} with 100 routes, {many:?} with 10,000");
}

/// A catalog of many routes, and paths that are spread evenly over them.
struct Lookups {
    catalog: Catalog,
    paths: Vec<String>,
}

impl Lookups {
    fn new(n_routes: usize, n_paths: usize) -> Self {
        let prefixes: Vec<String> =
            (0..n_routes).map(|it| format!("/group-{}/r{it}/", it % 50)).collect();
        let spread = (0..n_paths).map(|it| it * (n_routes / n_paths + 1) % n_routes);
        let paths = spread.map(|it| format!("{}one", prefixes[it])).collect();
        Self { catalog: catalog(&prefixes), paths }
    }

    /// Returns the time that a look-up of each path takes.
    fn time(&self) -> Duration {
        let start = Instant::now();
        for it in &self.paths {
            assert!(black_box(self.catalog.find_route("x.example", it)).is_some());
        }
        start.elapsed()
    }
}

/// Guards against an index that is slow to build where many prefixes extend each other.
#[test]
fn nested_prefixes_are_indexed_in_time() {
    let nested: Vec<String> = (1..=300).map(|it| "/a".repeat(it) + "/").collect();
    let wide: Vec<String> = (0..10_000).map(|it| format!("{}r{it}/", nested[it % 300])).collect();
    let prefixes: Vec<String> = nested.into_iter().chain(wide).collect();
    let start = Instant::now();
    let catalog = catalog(&prefixes);
    let time = start.elapsed();
    assert!(time < Duration::from_secs(1), "{time:?}");
    let deepest = format!("{}x", "/a".repeat(300) + "/");
    assert_eq!(catalog.find_route("x.example", &deepest).unwrap().prefix.len(), 601);
}
