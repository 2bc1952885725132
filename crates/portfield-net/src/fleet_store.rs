//! The fleet configuration in the platform's stores.
//!
//! A row names the revision in force and the object that holds it. Objects are never
//! changed once written, so a process that reads the row and then the object gets one
//! configuration, whole. A revision is put in force by compare-and-set on the row.

use portfield::fleet::{Fleet, Plan};
use serde::{Deserialize, Serialize};

use crate::{
    http1::Error,
    platform::{Check, CommitOutcome, PlatformClient, Put, Row, Transaction},
};

/// Row that names the configuration in force.
const CURRENT: &str = "fleet/current";
/// Attempts to learn what became of a commit whose answer was lost.
const MAX_READ_BACKS: u32 = 5;

#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct Current {
    revision: u64,
    object: String,
}

/// Reads the configuration in force if its revision is above the one named.
///
/// # Errors
///
/// Where the platform does not answer or holds something else.
pub async fn read_fleet(platform: &PlatformClient, above: u64) -> Result<Option<Fleet>, Error> {
    let row = platform.read_row(CURRENT).await?;
    let Some(current) = parse(&row) else { return Ok(None) };
    if current.revision <= above {
        return Ok(None);
    }
    let text = platform.read_object(&current.object).await?;
    serde_json::from_str(&text).map(Some).map_err(|err| Error::InvalidBody(err.to_string()))
}

/// Keeps a plan until it is confirmed.
///
/// # Errors
///
/// Where the platform does not answer.
pub async fn write_plan(platform: &PlatformClient, plan: &Plan) -> Result<(), Error> {
    let body = serde_json::to_vec(plan).map_err(|err| Error::InvalidBody(err.to_string()))?;
    platform.put_object(&format!("plan-{}", plan.id()), body).await
}

/// Reads a plan.
///
/// # Errors
///
/// Where the platform does not answer or has no such plan.
pub async fn read_plan(platform: &PlatformClient, id: &str) -> Result<Plan, Error> {
    let text = platform.read_object(&format!("plan-{id}")).await?;
    serde_json::from_str(&text).map_err(|err| Error::InvalidBody(err.to_string()))
}

/// What became of a confirmation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConfirmOutcome {
    /// The plan is in force.
    InForce,
    /// Another revision came first.
    Conflict,
    /// The platform did not say; ask again later.
    Unknown,
}

/// Puts a plan in force, if its base still is.
///
/// Where the answer is lost, the row is read back: it names the plan's own object if the
/// commit took effect.
///
/// # Errors
///
/// Where the platform does not answer before anything was committed.
pub async fn confirm_plan(platform: &PlatformClient, plan: &Plan) -> Result<ConfirmOutcome, Error> {
    let row = platform.read_row(CURRENT).await?;
    let in_force = parse(&row).map_or(0, |it| it.revision);
    let object = format!("fleet-{}-{}", plan.fleet.revision, plan.id());
    let current = Current { revision: plan.fleet.revision, object };
    if parse(&row).as_ref() == Some(&current) {
        return Ok(ConfirmOutcome::InForce);
    }
    if in_force != plan.base {
        return Ok(ConfirmOutcome::Conflict);
    }
    let body =
        serde_json::to_vec(&plan.fleet).map_err(|err| Error::InvalidBody(err.to_string()))?;
    platform.put_object(&current.object, body).await?;
    let value =
        serde_json::to_string(&current).map_err(|err| Error::InvalidBody(err.to_string()))?;
    let transaction = Transaction {
        checks: vec![Check { key: CURRENT.to_owned(), version: row.version }],
        puts: vec![Put { key: CURRENT.to_owned(), value }],
    };
    match platform.commit(&transaction).await {
        Ok(CommitOutcome::Applied) => Ok(ConfirmOutcome::InForce),
        Ok(CommitOutcome::Conflict(_)) | Err(Error::OutcomeUnknown(_)) => {
            Ok(read_back(platform, &current).await)
        }
        Err(err) => Err(err),
    }
}

async fn read_back(platform: &PlatformClient, wanted: &Current) -> ConfirmOutcome {
    for _ in 0..MAX_READ_BACKS {
        let Ok(row) = platform.read_row(CURRENT).await else { continue };
        let found = parse(&row);
        if found.as_ref() == Some(wanted) {
            return ConfirmOutcome::InForce;
        }
        if found.is_some_and(|it| wanted.revision <= it.revision) {
            return ConfirmOutcome::Conflict;
        }
    }
    ConfirmOutcome::Unknown
}

fn parse(row: &Row) -> Option<Current> {
    serde_json::from_str(&row.value).ok()
}
