//! Routes, services and workspaces of one version of the configuration.

use std::{collections::HashMap, sync::Arc, time::Duration};

/// How a route's requests may be repeated, and whether they are answered by a stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RouteKind {
    /// May run more than once.
    Safe,
    /// May run at most once.
    Unsafe,
    /// Answered by a stream of events; may run at most once.
    Stream,
    /// Answered by a stream of events, which another upstream may resume after the last event.
    ResumableStream,
}

impl RouteKind {
    /// Returns whether a request may be sent again after it may have run.
    pub fn is_retryable(self) -> bool {
        matches!(self, Self::Safe | Self::ResumableStream)
    }

    /// Returns whether the answer is a stream of events.
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Stream | Self::ResumableStream)
    }
}

/// Who may use a route.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Access {
    /// Anyone.
    Public,
    /// Callers with an API key of a workspace.
    ApiKey,
}

/// A service that a route sends requests to, with its share of them.
#[derive(Debug, Clone, PartialEq)]
pub struct WeightedService {
    /// Name of the service.
    pub service: String,
    /// Weight relative to the other services of the route.
    pub weight: f64,
}

/// Regions in which requests may be served; all regions if none is named.
///
/// # Examples
///
/// ```
/// use portfield::catalog::Regions;
///
/// let some = Regions::from(vec!["riga".to_owned()]);
/// assert!(some.allows("riga") && !some.allows("aberdeen"));
/// assert!(Regions::default().allows("aberdeen"), "no region is named: all are allowed");
/// ```
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Regions {
    names: Vec<String>,
}

impl Regions {
    /// Returns whether a region is allowed.
    pub fn allows(&self, region: &str) -> bool {
        self.is_any() || self.names.iter().any(|it| it == region)
    }

    /// Returns whether all regions are allowed.
    pub fn is_any(&self) -> bool {
        self.names.is_empty()
    }
}

impl From<Vec<String>> for Regions {
    fn from(names: Vec<String>) -> Self {
        Self { names }
    }
}

/// A route of the configuration.
#[derive(Debug, Clone, PartialEq)]
pub struct Route {
    /// Name of the route.
    pub name: String,
    /// Host name of the requests that it matches.
    pub host: String,
    /// Path prefix of the requests that it matches; starts and ends with a slash.
    pub prefix: String,
    /// How its requests may be repeated.
    pub kind: RouteKind,
    /// Time limit until a request is answered completely.
    pub timeout: Duration,
    /// Target time to the first event, or to the answer if there are no events.
    pub latency_target: Duration,
    /// Longest pause between two events.
    pub max_gap: Option<Duration>,
    /// Priority of its requests; zero comes first.
    pub priority: i64,
    /// Services that its requests are divided among.
    pub services: Vec<WeightedService>,
    /// Upstreams that one request may be sent to, at most.
    pub max_attempts: u32,
    /// Who may use it.
    pub access: Access,
    /// Regions where its requests may be served.
    pub regions: Regions,
}

impl Route {
    /// Picks a service by weight; `draw` is a uniform random number from 0 to 1.
    pub fn pick_service(&self, draw: f64) -> Option<&str> {
        let total: f64 = self.services.iter().map(|it| it.weight).sum();
        let mut left = draw * total;
        let found = self.services.iter().find(|it| {
            left -= it.weight;
            left < 0.0
        });
        found.or(self.services.last()).map(|it| it.service.as_str())
    }
}

/// Capacity of the upstreams of a service that run a model.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct EngineSpec {
    /// Requests that an upstream runs concurrently.
    pub slots: u32,
    /// Tokens that fit into its KV cache.
    pub kv_capacity: u64,
    /// Tokens in one event.
    pub event_tokens: u32,
    /// Set if engines fetch cached prompt parts from each other.
    pub transfer: Option<TransferSpec>,
}

/// Cost of moving KV cache between engines.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct TransferSpec {
    /// Size of a cached token, in bytes.
    pub token_bytes: f64,
    /// Bandwidth of an engine's link, in megabits per second.
    pub link_mbps: f64,
}

/// Limits for a service's upstreams just after their start.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ColdStart {
    /// Time for which an upstream is cold.
    pub duration: Duration,
    /// Requests a second that a cold upstream accepts, from all hosts together.
    pub max_rate: f64,
}

/// A service of the configuration.
#[derive(Debug, Clone, PartialEq)]
pub struct Service {
    /// Name of the service.
    pub name: String,
    /// Path of its upstreams' health check.
    pub health_path: String,
    /// Connections that one upstream accepts, from all hosts together.
    pub max_connections: u32,
    /// Set if its upstreams run a model.
    pub engine: Option<EngineSpec>,
    /// Set if its upstreams are cold after their start.
    pub cold_start: Option<ColdStart>,
}

/// A workspace, which is owed a share of the capacity.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Workspace {
    /// Name of the workspace.
    pub name: String,
    /// API keys of its callers.
    pub api_keys: Vec<String>,
    /// Overrides the priority of a route, if set.
    pub priority: Option<i64>,
    /// Regions where its requests may be served.
    pub regions: Regions,
}

/// Limits on requests and connections, and the fleet's capacity.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Limits {
    /// Largest request head, in bytes.
    pub header_bytes: usize,
    /// Largest request body, in bytes.
    pub body_bytes: usize,
    /// Time limit for a request head to arrive.
    pub header_timeout: Duration,
    /// Time that a connection may be idle.
    pub idle_timeout: Duration,
    /// Tokens a second that all engines process together, each generated token counted twice; zero
    /// if unknown.
    pub token_rate: f64,
}

/// The routes of one host name, indexed by path prefix.
///
/// A configuration has up to 10,000 routes of one host name, and each request is looked up. In the
/// order of their prefixes, all prefixes of a path come before the path, and each of them is a prefix of
/// every entry between it and the path. So the entry just before the path is the longest match, or
/// extends it.
#[derive(Debug)]
struct PrefixIndex {
    /// Sorted by prefix, each prefix once.
    entries: Vec<PrefixEntry>,
}

#[derive(Debug)]
struct PrefixEntry {
    route: Arc<Route>,
    /// Index of the entry with the longest prefix that this one extends.
    parent: Option<u32>,
}

impl PrefixIndex {
    /// Builds the index; of routes with the same prefix, the first one counts.
    fn new(mut routes: Vec<Arc<Route>>) -> Self {
        routes.sort_by(|a, b| a.prefix.cmp(&b.prefix));
        routes.dedup_by(|later, first| later.prefix == first.prefix);
        let mut entries: Vec<PrefixEntry> = Vec::with_capacity(routes.len());
        for route in routes {
            let last = entries.len().checked_sub(1).map(|it| it as u32);
            let parent = longest_match(&entries, last, &route.prefix);
            entries.push(PrefixEntry { route, parent });
        }
        Self { entries }
    }

    /// Finds the route with the longest prefix of a path.
    fn find(&self, path: &str) -> Option<&Arc<Route>> {
        let n = self.entries.partition_point(|it| it.route.prefix.as_str() <= path);
        let last = n.checked_sub(1).map(|it| it as u32);
        longest_match(&self.entries, last, path).map(|it| &self.entries[it as usize].route)
    }
}

/// Returns the longest prefix of a path among an entry and those that it extends.
fn longest_match(entries: &[PrefixEntry], from: Option<u32>, path: &str) -> Option<u32> {
    let extended = std::iter::successors(from, |it| entries[*it as usize].parent);
    let is_match = |it: &u32| path.starts_with(&entries[*it as usize].route.prefix);
    extended.into_iter().find(is_match)
}

/// One version of the configuration, indexed for lookups.
///
/// # Examples
///
/// ```
/// use portfield::catalog::{Access, Catalog, RouteKind, Limits, Route, WeightedService};
/// use std::time::Duration;
///
/// let route = |prefix: &str| Route {
///     name: prefix.to_owned(), host: "a".to_owned(), prefix: prefix.to_owned(),
///     kind: RouteKind::Safe, timeout: Duration::from_secs(1), latency_target: Duration::from_millis(100),
///     max_gap: None, priority: 1, max_attempts: 2, access: Access::Public,
///     regions: Default::default(),
///     services: vec![WeightedService { service: "s".to_owned(), weight: 1.0 }],
/// };
/// let limits = Limits { header_bytes: 1, body_bytes: 1, header_timeout: Duration::ZERO,
///     idle_timeout: Duration::ZERO, token_rate: 0.0 };
/// let routes = vec![route("/x/"), route("/x/y/")];
/// let catalog = Catalog::new(1, routes, vec![], vec![], limits);
/// assert_eq!(catalog.find_route("A:80", "/x/y/z").unwrap().prefix, "/x/y/");
/// assert!(catalog.find_route("a", "/z/").is_none());
/// ```
#[derive(Debug)]
pub struct Catalog {
    version: u64,
    limits: Limits,
    routes: HashMap<String, PrefixIndex>,
    services: HashMap<String, Arc<Service>>,
    workspaces: HashMap<String, Arc<Workspace>>,
    n_workspaces: usize,
}

impl Catalog {
    /// Builds the lookup tables.
    pub fn new(
        version: u64,
        routes: Vec<Route>,
        services: Vec<Service>,
        workspaces: Vec<Workspace>,
        limits: Limits,
    ) -> Self {
        let mut by_host: HashMap<String, Vec<Arc<Route>>> = HashMap::new();
        for it in routes {
            by_host.entry(it.host.to_ascii_lowercase()).or_default().push(Arc::new(it));
        }
        let routes =
            by_host.into_iter().map(|(host, list)| (host, PrefixIndex::new(list))).collect();
        let n_workspaces = workspaces.len();
        let mut by_key = HashMap::new();
        for it in workspaces.into_iter().map(Arc::new) {
            by_key.extend(it.api_keys.iter().map(|key| (key.clone(), it.clone())));
        }
        let services = services.into_iter().map(|it| (it.name.clone(), Arc::new(it))).collect();
        Self { version, limits, routes, services, workspaces: by_key, n_workspaces }
    }

    /// Returns the version; a later configuration has a larger one.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns the limits.
    pub fn limits(&self) -> &Limits {
        &self.limits
    }

    /// Returns the number of workspaces.
    pub fn n_workspaces(&self) -> usize {
        self.n_workspaces
    }

    /// Returns the workspaces that have API keys, each once per key.
    pub fn workspaces(&self) -> impl Iterator<Item = &Arc<Workspace>> {
        self.workspaces.values()
    }

    /// Returns all routes.
    pub fn routes(&self) -> impl Iterator<Item = &Arc<Route>> {
        self.routes.values().flat_map(|it| &it.entries).map(|it| &it.route)
    }

    /// Finds the route with the longest matching path prefix among those of a host name.
    pub fn find_route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let host = host.rsplit_once(':').map_or(host, |it| it.0).to_ascii_lowercase();
        self.routes.get(&host)?.find(path)
    }

    /// Returns the names of all services.
    pub fn service_names(&self) -> impl Iterator<Item = &str> {
        self.services.keys().map(String::as_str)
    }

    /// Finds a service by name.
    pub fn service(&self, name: &str) -> Option<&Arc<Service>> {
        self.services.get(name)
    }

    /// Finds the workspace that owns an API key.
    pub fn workspace_by_key(&self, key: &str) -> Option<&Arc<Workspace>> {
        self.workspaces.get(key)
    }
}
