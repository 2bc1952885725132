//! Specification of the fleet by operators, in TOML and by names.

use std::{collections::HashSet, net::SocketAddr};

use serde::{Deserialize, Serialize};

use super::{
    error::{Diagnostic, Error, ErrorKind},
    model::{DataCentre, Fleet, Kind, Service, Upstream, Workspace},
};

/// Largest number of requests that an upstream may be specified to run at once.
const MAX_SLOTS: u32 = 4096;
/// Largest share; it keeps virtual time within 64 bits for years.
const MAX_SHARE: u32 = 10_000;

/// Specification of the fleet.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FleetSpec {
    /// Names of the data centres.
    pub data_centres: Vec<String>,
    /// Services.
    #[serde(default, rename = "service")]
    pub services: Vec<ServiceSpec>,
    /// Workspaces.
    #[serde(default, rename = "workspace")]
    pub workspaces: Vec<WorkspaceSpec>,
    /// Upstreams.
    #[serde(default, rename = "upstream")]
    pub upstreams: Vec<UpstreamSpec>,
}

/// Specification of a service.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceSpec {
    /// Name, unique among services.
    pub name: String,
    /// Kind of its upstreams: `engine` or `plain`.
    pub kind: Kind,
    /// Whether a request that may have run may be sent again.
    #[serde(default)]
    pub repeatable: bool,
    /// Objective for the time to the first token, or to the response's head, in milliseconds.
    #[serde(default = "first_token")]
    pub first_token_ms: u64,
    /// Objective for the mean time between tokens, in milliseconds.
    #[serde(default = "token_gap")]
    pub token_gap_ms: u64,
    /// Longest time for which a request waits for a grant, in milliseconds.
    #[serde(default = "wait_limit")]
    pub wait_limit_ms: u64,
    /// Number of upstreams in one data centre above which its shard is split.
    #[serde(default = "shard_size")]
    pub shard_size: usize,
}

/// Specification of a workspace.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WorkspaceSpec {
    /// Name, unique among workspaces.
    pub name: String,
    /// Weight relative to the shares of other workspaces.
    pub share: u32,
    /// SHA-256 hash of its token, in lower-case hexadecimal.
    pub token_sha256: String,
    /// Largest number of requests waiting at one router.
    #[serde(default = "queue")]
    pub queue: usize,
    /// Largest total length of the bodies waiting at one router, in bytes.
    #[serde(default = "queue_bytes")]
    pub queue_bytes: usize,
}

/// Specification of an upstream, which is identified by its address.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct UpstreamSpec {
    /// Address for requests.
    pub address: SocketAddr,
    /// Name of its service.
    pub service: String,
    /// Name of its data centre.
    pub data_centre: String,
    /// Number of requests that it runs at once.
    pub slots: u32,
    /// Whether it gets no new requests.
    #[serde(default)]
    pub leaving: bool,
    /// Whether it refuses requests with an outdated fencing token.
    #[serde(default)]
    pub fenced: bool,
    /// Models that it is expected to have loaded.
    #[serde(default)]
    pub models: Vec<String>,
}

fn first_token() -> u64 {
    780
}
fn token_gap() -> u64 {
    43
}
fn wait_limit() -> u64 {
    30_000
}
fn shard_size() -> usize {
    16
}
fn queue() -> usize {
    256
}
fn queue_bytes() -> usize {
    16 << 20
}

impl FleetSpec {
    /// Parses a specification from TOML and validates it.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::Syntax`] if the text is not TOML of the expected structure,
    /// [`ErrorKind::Invalid`] with a diagnostic for every invalid value.
    ///
    /// # Examples
    ///
    /// ```
    /// use portfield::fleet::FleetSpec;
    ///
    /// let spec = FleetSpec::parse("data_centres = ['north']").unwrap();
    /// assert_eq!(spec.data_centres, ["north"]);
    /// let err = FleetSpec::parse("data_centre = []").unwrap_err();
    /// assert!(err.to_string().contains("data_centre"));
    /// ```
    pub fn parse(text: &str) -> Result<Self, Error> {
        let res: Self = toml::from_str(text)
            .map_err(|err| Error::single(ErrorKind::Syntax, "file", err.to_string()))?;
        let diagnostics = res.validate();
        if diagnostics.is_empty() {
            return Ok(res);
        }
        Err(Error::new(ErrorKind::Invalid, diagnostics))
    }

    /// Builds the next revision of the configuration `base` from this specification.
    ///
    /// Items that `base` already has keep their ids; all others get new ones.
    pub fn assign_ids(&self, base: &Fleet) -> Fleet {
        let mut next_id = base.next_id.max(1);
        let mut new_id = || {
            next_id += 1;
            next_id - 1
        };
        let mut res = Fleet { revision: base.revision + 1, ..Fleet::default() };
        for name in &self.data_centres {
            let id = base.data_centre_id(name).unwrap_or_else(&mut new_id);
            res.data_centres.push(DataCentre { id, name: name.clone() });
        }
        for it in &self.services {
            let id = base.service_by_name(&it.name).map_or_else(&mut new_id, |it| it.id);
            res.services.push(it.with_id(id));
        }
        for it in &self.workspaces {
            let old = base.workspaces.iter().find(|old| old.name == it.name);
            let id = old.map_or_else(&mut new_id, |it| it.id);
            res.workspaces.push(it.with_id(id));
        }
        for it in &self.upstreams {
            let old = base.upstreams.iter().find(|old| old.address == it.address);
            let id = old.map_or_else(&mut new_id, |it| it.id);
            let service = res.service_by_name(&it.service).map_or(0, |it| it.id);
            let data_centre = res.data_centre_id(&it.data_centre).unwrap_or(0);
            res.upstreams.push(it.with_id(id, service, data_centre));
        }
        res.next_id = next_id;
        res.data_centres.sort_by_key(|it| it.id);
        res.services.sort_by_key(|it| it.id);
        res.workspaces.sort_by_key(|it| it.id);
        res.upstreams.sort_by_key(|it| it.id);
        res
    }

    fn validate(&self) -> Vec<Diagnostic> {
        let mut res = Vec::new();
        let names = self.data_centres.iter().map(String::as_str);
        check_unique("data_centres", names, &mut res);
        let names = self.services.iter().map(|it| it.name.as_str());
        check_unique("service.name", names, &mut res);
        let names = self.workspaces.iter().map(|it| it.name.as_str());
        check_unique("workspace.name", names, &mut res);
        let tokens = self.workspaces.iter().map(|it| it.token_sha256.as_str());
        check_unique("workspace.token_sha256", tokens, &mut res);
        let addresses: Vec<_> = self.upstreams.iter().map(|it| it.address.to_string()).collect();
        check_unique("upstream.address", addresses.iter().map(String::as_str), &mut res);
        self.services.iter().enumerate().for_each(|(idx, it)| it.validate(idx, &mut res));
        self.workspaces.iter().enumerate().for_each(|(idx, it)| it.validate(idx, &mut res));
        self.upstreams.iter().enumerate().for_each(|(idx, it)| it.validate(idx, self, &mut res));
        res
    }
}

impl ServiceSpec {
    fn with_id(&self, id: u32) -> Service {
        Service {
            id,
            name: self.name.clone(),
            kind: self.kind,
            repeatable: self.repeatable,
            first_token: self.first_token_ms,
            token_gap: self.token_gap_ms,
            wait_limit: self.wait_limit_ms,
            shard_size: self.shard_size,
        }
    }

    fn validate(&self, idx: usize, res: &mut Vec<Diagnostic>) {
        let key = |field: &str| format!("service[{idx}].{field}");
        if !self.name.bytes().all(|it| it.is_ascii_alphanumeric() || it == b'-') {
            report(res, key("name"), "must contain only ASCII letters, digits and dashes");
        }
        if self.shard_size == 0 {
            report(res, key("shard_size"), "must be at least 1");
        }
        if self.wait_limit_ms == 0 {
            report(res, key("wait_limit_ms"), "must be at least 1");
        }
    }
}

impl WorkspaceSpec {
    fn with_id(&self, id: u32) -> Workspace {
        Workspace {
            id,
            name: self.name.clone(),
            share: self.share,
            token_hash: self.token_sha256.clone(),
            queue: self.queue,
            queue_bytes: self.queue_bytes,
        }
    }

    fn validate(&self, idx: usize, res: &mut Vec<Diagnostic>) {
        let key = |field: &str| format!("workspace[{idx}].{field}");
        if !(1..=MAX_SHARE).contains(&self.share) {
            report(res, key("share"), format!("must be between 1 and {MAX_SHARE}"));
        }
        let is_hash = self.token_sha256.len() == 64
            && self.token_sha256.bytes().all(|it| matches!(it, b'0'..=b'9' | b'a'..=b'f'));
        if !is_hash {
            report(res, key("token_sha256"), "must be 64 lower-case hexadecimal digits");
        }
        if self.queue == 0 {
            report(res, key("queue"), "must be at least 1");
        }
    }
}

impl UpstreamSpec {
    fn with_id(&self, id: u32, service: u32, data_centre: u32) -> Upstream {
        Upstream {
            id,
            service,
            data_centre,
            address: self.address,
            slots: self.slots,
            leaving: self.leaving,
            fenced: self.fenced,
            models: self.models.clone(),
        }
    }

    fn validate(&self, idx: usize, spec: &FleetSpec, res: &mut Vec<Diagnostic>) {
        let key = |field: &str| format!("upstream[{idx}].{field}");
        if !spec.services.iter().any(|it| it.name == self.service) {
            report(res, key("service"), format!("no service is named `{}`", self.service));
        }
        if !spec.data_centres.contains(&self.data_centre) {
            let text = format!("no data centre is named `{}`", self.data_centre);
            report(res, key("data_centre"), text);
        }
        if !(1..=MAX_SLOTS).contains(&self.slots) {
            report(res, key("slots"), format!("must be between 1 and {MAX_SLOTS}"));
        }
    }
}

fn check_unique<'a>(key: &str, names: impl Iterator<Item = &'a str>, res: &mut Vec<Diagnostic>) {
    let mut seen = HashSet::new();
    for name in names {
        if name.is_empty() {
            report(res, key.to_owned(), "must not be empty");
        } else if !seen.insert(name) {
            report(res, key.to_owned(), format!("`{name}` is used more than once"));
        }
    }
}

/// Adds a diagnostic for a key.
fn report(res: &mut Vec<Diagnostic>, key: String, message: impl Into<String>) {
    res.push(Diagnostic { key, message: message.into() });
}
