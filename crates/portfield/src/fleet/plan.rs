//! What a stated intent would change, bound to the revision it was compared with.

use std::fmt;

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use super::{
    error::{Error, ErrorKind},
    model::{Fleet, hex},
    spec::FleetSpec,
};
use crate::ids::Revision;

/// Digits of the hash that make a plan's id.
const ID_DIGITS: usize = 16;

/// One difference between the configuration in force and the planned one.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Change {
    /// Something new.
    Create(String),
    /// Something that goes away.
    Remove(String),
    /// Something that is stated otherwise; the text says from what to what.
    Update(String, String),
    /// What a workspace is owed of the whole, in 0.01 %, before and after.
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

/// A change of configuration that an operator can confirm.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Plan {
    /// Revision that the plan was compared with.
    pub base: Revision,
    /// Every difference.
    pub changes: Vec<Change>,
    /// The configuration that a confirmation puts in force.
    pub fleet: Fleet,
}

impl Plan {
    /// Compares an intent with the configuration in force.
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

    /// Compares a changed configuration with the one in force.
    pub fn diff(base: &Fleet, mut fleet: Fleet) -> Self {
        fleet.revision = base.revision + 1;
        let changes = diff_fleets(base, &fleet);
        Self { base: base.revision, changes, fleet }
    }

    /// Returns the plan's id: the start of the hash of its content.
    pub fn id(&self) -> String {
        let text = serde_json::to_vec(self).unwrap_or_default();
        let mut res = hex(&Sha256::digest(&text));
        res.truncate(ID_DIGITS);
        res
    }

    /// Checks that the plan can still be confirmed against what is in force.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::Stale`] with what changed since, [`ErrorKind::Corrupt`] where the
    /// content does not match `id`.
    pub fn verify(&self, id: &str, current: &Fleet) -> Result<(), Error> {
        if self.id() != id {
            return Err(Error::single(ErrorKind::Corrupt, "plan", id));
        }
        if self.base == current.revision {
            return Ok(());
        }
        let text = format!("made at revision {}, now {}", self.base, current.revision);
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

/// Returns the part of a full fleet that a workspace is owed, in 0.01 %.
fn share_basis_points(fleet: &Fleet, name: &str) -> u32 {
    let total: u64 = fleet.workspaces.iter().map(|it| u64::from(it.share)).sum();
    let own = fleet.workspaces.iter().find(|it| it.name == name);
    let share = own.map_or(0, |it| u64::from(it.share));
    (share * 10_000 / total.max(1)) as u32
}
