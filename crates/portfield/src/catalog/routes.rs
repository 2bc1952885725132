//! Routes, services and workspaces of one version of the configuration.

use std::{collections::HashMap, sync::Arc, time::Duration};

/// What may be repeated of a route's requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RouteKind {
    /// May run more than once.
    Safe,
    /// May run at most once.
    Unsafe,
    /// Events; may run at most once.
    Stream,
    /// Events; another upstream may go on after the last event.
    ResumableStream,
}

impl RouteKind {
    /// Returns whether a request may be sent again after it may have run.
    pub fn is_retryable(self) -> bool {
        matches!(self, Self::Safe | Self::ResumableStream)
    }

    /// Returns whether the answer is a series of events.
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Stream | Self::ResumableStream)
    }
}

/// Who may use a route.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Access {
    /// Anybody.
    Public,
    /// Holders of a workspace's key.
    ApiKey,
}

/// A service that a route goes to, with its part of the traffic.
#[derive(Debug, Clone, PartialEq)]
pub struct WeightedService {
    /// The service's name.
    pub service: String,
    /// Its weight against the others.
    pub weight: f64,
}

/// Regions in which something may be served.
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

    /// Returns whether all are allowed.
    pub fn is_any(&self) -> bool {
        self.names.is_empty()
    }
}

impl From<Vec<String>> for Regions {
    fn from(names: Vec<String>) -> Self {
        Self { names }
    }
}

/// One route.
#[derive(Debug, Clone, PartialEq)]
pub struct Route {
    /// Its name.
    pub name: String,
    /// Host of the requests that it takes.
    pub host: String,
    /// Start of their paths, from slash to slash.
    pub prefix: String,
    /// What may be repeated.
    pub kind: RouteKind,
    /// Longest time until a request has its whole answer.
    pub timeout: Duration,
    /// Time to the first event, or to the answer, that callers are content with.
    pub latency_target: Duration,
    /// Longest pause between two events.
    pub max_gap: Option<Duration>,
    /// Rank; zero comes first.
    pub priority: i64,
    /// Services, by weight.
    pub services: Vec<WeightedService>,
    /// Upstreams that one request may be sent to.
    pub max_attempts: u32,
    /// Who may use it.
    pub access: Access,
    /// Where its requests may be served.
    pub regions: Regions,
}

impl Route {
    /// Picks a service by weight; `draw` is uniform from zero to one.
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

/// Figures of a service whose upstreams run a model.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EngineSpec {
    /// Requests that an upstream runs at once.
    pub slots: u32,
    /// Tokens that fit into its memory.
    pub kv_capacity: u64,
    /// Tokens in one event.
    pub event_tokens: u32,
}

/// How a service's upstreams are to be treated after their start.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ColdStart {
    /// Time for which one is cold.
    pub duration: Duration,
    /// Requests a second that a cold one takes, from all hosts together.
    pub max_rate: f64,
}

/// One service.
#[derive(Debug, Clone, PartialEq)]
pub struct Service {
    /// Its name.
    pub name: String,
    /// Path of its upstreams' health answer.
    pub health_path: String,
    /// Connections that one upstream takes from all hosts together.
    pub max_connections: u32,
    /// Set where the upstreams run a model.
    pub engine: Option<EngineSpec>,
    /// Set where the upstreams are cold after their start.
    pub cold_start: Option<ColdStart>,
}

/// Who is owed a share.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Workspace {
    /// Its name.
    pub name: String,
    /// Keys of its callers.
    pub api_keys: Vec<String>,
    /// Rank that goes before a route's, where set.
    pub priority: Option<i64>,
    /// Where its requests may be served.
    pub regions: Regions,
}

/// Bounds on what callers send, and the fleet's capacity.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Limits {
    /// Largest head of a request.
    pub header_bytes: usize,
    /// Largest body of a request.
    pub body_bytes: usize,
    /// Time for a head to arrive.
    pub header_timeout: Duration,
    /// Time that a connection may be idle.
    pub idle_timeout: Duration,
    /// Tokens that all engines handle in a second, one generated counted twice; zero unknown.
    pub token_rate: f64,
}

/// One version of the configuration.
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
    routes: HashMap<String, Vec<Arc<Route>>>,
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
        for list in by_host.values_mut() {
            list.sort_by_key(|it| std::cmp::Reverse(it.prefix.len()));
        }
        let n_workspaces = workspaces.len();
        let mut by_key = HashMap::new();
        for it in workspaces.into_iter().map(Arc::new) {
            by_key.extend(it.api_keys.iter().map(|key| (key.clone(), it.clone())));
        }
        let services = services.into_iter().map(|it| (it.name.clone(), Arc::new(it))).collect();
        Self { version, limits, routes: by_host, services, workspaces: by_key, n_workspaces }
    }

    /// Returns the version; a later configuration has a larger one.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns the bounds.
    pub fn limits(&self) -> &Limits {
        &self.limits
    }

    /// Returns how many workspaces there are.
    pub fn n_workspaces(&self) -> usize {
        self.n_workspaces
    }

    /// Returns the workspaces that have a key, each once for each key.
    pub fn workspaces(&self) -> impl Iterator<Item = &Arc<Workspace>> {
        self.workspaces.values()
    }

    /// Finds the route with the longest prefix of a path, among those of a host.
    pub fn find_route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let host = host.rsplit_once(':').map_or(host, |it| it.0).to_ascii_lowercase();
        self.routes.get(&host)?.iter().find(|it| path.starts_with(&it.prefix))
    }

    /// Finds a service.
    pub fn service(&self, name: &str) -> Option<&Arc<Service>> {
        self.services.get(name)
    }

    /// Finds the workspace that holds a key.
    pub fn workspace_by_key(&self, key: &str) -> Option<&Arc<Workspace>> {
        self.workspaces.get(key)
    }
}
