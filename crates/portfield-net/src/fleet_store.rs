//! Fleet configurations and plans in the platform's table and object store.
//!
//! A row names the revision in force and the object that holds it. Objects are immutable, so reading
//! the row and then the object yields a consistent configuration. A compare-and-set on the row puts a
//! revision in force.

use portfield::fleet::{Fleet, Plan};
use serde::{Deserialize, Serialize};

use crate::{
    http1::Error,
    platform::{Check, CommitOutcome, PlatformClient, Put, Row, Transaction},
};

/// Key of the row that names the configuration in force.
const CURRENT_KEY: &str = "fleet/current";
/// Attempts to read the outcome of a commit whose response was lost.
const MAX_READ_BACKS: u32 = 5;

/// Value of the row: the revision in force and the name of the object that holds it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct CurrentRevision {
    revision: u64,
    object: String,
}

/// Reads the configuration in force, or `None` if its revision is not above `known_revision`.
///
/// # Errors
///
/// Returns an error if the platform does not respond or the object is not a configuration.
pub async fn read_fleet(
    platform: &PlatformClient,
    known_revision: u64,
) -> Result<Option<Fleet>, Error> {
    let row = platform.read_row(CURRENT_KEY).await?;
    let Some(current) = parse_row(&row) else { return Ok(None) };
    if current.revision <= known_revision {
        return Ok(None);
    }
    let text = platform.read_object(&current.object).await?;
    serde_json::from_str(&text).map(Some).map_err(|err| Error::InvalidBody(err.to_string()))
}

/// Stores a plan under its id, for [`read_plan`].
///
/// # Errors
///
/// Returns an error if the platform does not respond.
pub async fn write_plan(platform: &PlatformClient, plan: &Plan) -> Result<(), Error> {
    let body = serde_json::to_vec(plan).map_err(|err| Error::InvalidBody(err.to_string()))?;
    platform.put_object(&format!("plan-{}", plan.id()), body).await
}

/// Reads the plan with the given id.
///
/// # Errors
///
/// Returns an error if the platform does not respond or has no such plan.
pub async fn read_plan(platform: &PlatformClient, id: &str) -> Result<Plan, Error> {
    let text = platform.read_object(&format!("plan-{id}")).await?;
    serde_json::from_str(&text).map_err(|err| Error::InvalidBody(err.to_string()))
}

/// Outcome of [`confirm_plan`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConfirmOutcome {
    /// The plan is in force.
    InForce,
    /// A revision other than the plan's base is in force.
    Conflict,
    /// The platform's response was lost, and the plan may be in force; confirm it again.
    Unknown,
}

/// Puts a plan in force if the revision that it is based on still is in force.
///
/// If the response to the commit is lost, the row is read again: it names the plan's object if the
/// commit succeeded.
///
/// # Errors
///
/// Returns an error if the platform does not respond before the commit.
pub async fn confirm_plan(platform: &PlatformClient, plan: &Plan) -> Result<ConfirmOutcome, Error> {
    let row = platform.read_row(CURRENT_KEY).await?;
    let active_revision = parse_row(&row).map_or(0, |it| it.revision);
    let object = format!("fleet-{}-{}", plan.fleet.revision, plan.id());
    let current = CurrentRevision { revision: plan.fleet.revision, object };
    if parse_row(&row).as_ref() == Some(&current) {
        return Ok(ConfirmOutcome::InForce);
    }
    if active_revision != plan.base {
        return Ok(ConfirmOutcome::Conflict);
    }
    let body =
        serde_json::to_vec(&plan.fleet).map_err(|err| Error::InvalidBody(err.to_string()))?;
    platform.put_object(&current.object, body).await?;
    let value =
        serde_json::to_string(&current).map_err(|err| Error::InvalidBody(err.to_string()))?;
    let transaction = Transaction {
        checks: vec![Check { key: CURRENT_KEY.to_owned(), version: row.version }],
        puts: vec![Put { key: CURRENT_KEY.to_owned(), value }],
    };
    match platform.commit(&transaction).await {
        Ok(CommitOutcome::Applied) => Ok(ConfirmOutcome::InForce),
        Ok(CommitOutcome::Conflict(_)) | Err(Error::OutcomeUnknown(_)) => {
            Ok(read_back(platform, &current).await)
        }
        Err(err) => Err(err),
    }
}

/// Reads the outcome of a commit of `expected` from the row.
async fn read_back(platform: &PlatformClient, expected: &CurrentRevision) -> ConfirmOutcome {
    for _ in 0..MAX_READ_BACKS {
        let Ok(row) = platform.read_row(CURRENT_KEY).await else { continue };
        let found = parse_row(&row);
        if found.as_ref() == Some(expected) {
            return ConfirmOutcome::InForce;
        }
        if found.is_some_and(|it| expected.revision <= it.revision) {
            return ConfirmOutcome::Conflict;
        }
    }
    ConfirmOutcome::Unknown
}

fn parse_row(row: &Row) -> Option<CurrentRevision> {
    serde_json::from_str(&row.value).ok()
}
