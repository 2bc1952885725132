//! Plans: what a specification would change, relative to one revision of the configuration.

use std::fmt;

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use super::{
    error::{Error, ErrorKind},
    model::{Fleet, hex},
    spec::FleetSpec,
};
use crate::ids::Revision;

/// Hexadecimal digits of the hash in a plan's id.
const ID_DIGITS: usize = 16;

/// One difference between the current configuration and the planned one.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Change {
    /// An item to be created, by kind and name.
    Create(String),
    /// An item to be removed, by kind and name.
    Remove(String),
    /// An item to be changed, by kind and name, and its values before and after.
    Update(String, String),
    /// A workspace by name, and its share of the fleet before and after, in basis points (0.01 %).
    Share(String, u32, u32),
}

impl fmt::Display for Change {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Create(it) => write!(f, "+ {it}"),
            Self::Remove(it) => write!(f, "- {it}"),
            Self::Update(it, text) => write!(f, "~ {it}: {text}"),
            Self::Share(it, old, new) => {
                let sign = if new < old { "loses" } else { "gains" };
                let [old, new] = [old, new].map(|it| f64::from(*it) / 100.0);
                write!(f, "= workspace {it} {sign}: {old:.2} % -> {new:.2} % of a full fleet")
            }
        }
    }
}

/// A change of the configuration that an operator can confirm.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Plan {
    /// Revision that the plan was made against.
    pub base: Revision,
    /// Differences from that revision.
    pub changes: Vec<Change>,
    /// Configuration that becomes current when the plan is confirmed.
    pub fleet: Fleet,
}

impl Plan {
    /// Builds the plan that changes the configuration `base` to a specification.
    ///
    /// # Examples
    ///
    /// ```
    /// use portfield::fleet::{Fleet, FleetSpec, Plan};
    ///
    /// let spec = FleetSpec::parse("data_centres = ['north']").unwrap();
    /// let plan = Plan::new(&spec, &Fleet::default());
    /// assert_eq!(plan.changes[0].to_string(), "+ data centre north");
    /// ```
    pub fn new(spec: &FleetSpec, base: &Fleet) -> Self {
        Self::diff(base, spec.assign_ids(base))
    }

    /// Builds the plan that changes the configuration `base` to `fleet`.
    pub fn diff(base: &Fleet, mut fleet: Fleet) -> Self {
        fleet.revision = base.revision + 1;
        let changes = diff_fleets(base, &fleet);
        Self { base: base.revision, changes, fleet }
    }

    /// Returns the plan's id: the first digits of the hash of its content.
    pub fn id(&self) -> String {
        let text = serde_json::to_vec(self).unwrap_or_default();
        let mut res = hex(&Sha256::digest(&text));
        res.truncate(ID_DIGITS);
        res
    }

    /// Checks that the plan has this id and can be confirmed while `current` is the configuration.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::Corrupt`] if the content does not match `id`, [`ErrorKind::Stale`] if the
    /// plan was made against another revision.
    pub fn verify(&self, id: &str, current: &Fleet) -> Result<(), Error> {
        if self.id() != id {
            let text = format!("the content does not match the id {id}");
            return Err(Error::single(ErrorKind::Corrupt, "plan", text));
        }
        if self.base == current.revision {
            return Ok(());
        }
        let text = format!(
            "the plan was made against revision {}, the current one is {}",
            self.base, current.revision
        );
        Err(Error::single(ErrorKind::Stale, "revision", text))
    }
}

fn diff_fleets(old: &Fleet, new: &Fleet) -> Vec<Change> {
    let mut res = Vec::new();
    let name = |it: &super::DataCentre| format!("data centre {}", it.name);
    diff_list(&old.data_centres, &new.data_centres, name, |_| String::new(), &mut res);
    let name = |it: &super::Service| format!("service {}", it.name);
    diff_list(&old.services, &new.services, name, |it| format!("{it:?}"), &mut res);
    let name = |it: &super::Workspace| format!("workspace {}", it.name);
    let describe = |it: &super::Workspace| {
        let token = it.token_hash.get(..8).unwrap_or_default();
        format!("share {} queue {}/{} token {token}", it.share, it.queue, it.queue_bytes)
    };
    diff_list(&old.workspaces, &new.workspaces, name, describe, &mut res);
    let name = |it: &super::Upstream| format!("upstream {}", it.address);
    let describe = |it: &super::Upstream| {
        format!("slots {} leaving {} models {:?}", it.slots, it.leaving, it.models)
    };
    diff_list(&old.upstreams, &new.upstreams, name, describe, &mut res);
    diff_shares(old, new, &mut res);
    res
}

/// Adds the differences between two lists to `res`; `name` identifies an item in both lists, and
/// `describe` returns the values that are shown if it changes.
fn diff_list<T: PartialEq>(
    old: &[T],
    new: &[T],
    name: impl Fn(&T) -> String,
    describe: impl Fn(&T) -> String,
    res: &mut Vec<Change>,
) {
    for it in new {
        let Some(old_item) = old.iter().find(|old| name(old) == name(it)) else {
            res.push(Change::Create(name(it)));
            continue;
        };
        if old_item != it {
            res.push(Change::Update(
                name(it),
                format!("{} -> {}", describe(old_item), describe(it)),
            ));
        }
    }
    let removed = old.iter().filter(|it| !new.iter().any(|new| name(new) == name(it)));
    res.extend(removed.map(|it| Change::Remove(name(it))));
}

fn diff_shares(old: &Fleet, new: &Fleet, res: &mut Vec<Change>) {
    for it in &new.workspaces {
        let [before, after] = [old, new].map(|fleet| share_basis_points(fleet, &it.name));
        if before != after {
            res.push(Change::Share(it.name.clone(), before, after));
        }
    }
}

/// Returns the share of the whole fleet that a workspace is owed, in basis points (0.01 %).
fn share_basis_points(fleet: &Fleet, name: &str) -> u32 {
    let total: u64 = fleet.workspaces.iter().map(|it| u64::from(it.share)).sum();
    let own = fleet.workspaces.iter().find(|it| it.name == name);
    let share = own.map_or(0, |it| u64::from(it.share));
    (share * 10_000 / total.max(1)) as u32
}
