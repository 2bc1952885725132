//! Commands that change the configuration: `plan`, `confirm` and `drain`.

use std::{fmt::Write, fs, net::SocketAddr, path::Path};

use eyre::{WrapErr, bail};
use portfield::fleet::{Fleet, FleetSpec, Plan};
use portfield_net::{
    fleet_store::{self, ConfirmOutcome},
    platform::PlatformClient,
};

/// Stores a plan for the intent in `file` and returns its changes and id.
pub(crate) async fn plan(platform: &PlatformClient, file: &Path) -> eyre::Result<String> {
    let text = fs::read_to_string(file).wrap_err_with(|| file.display().to_string())?;
    let intent = FleetSpec::parse(&text)?;
    let base = read_current(platform).await?;
    save_plan(platform, &Plan::new(&intent, &base)).await
}

/// Stores a plan to drain an upstream and returns its changes and id.
pub(crate) async fn drain(platform: &PlatformClient, upstream: SocketAddr) -> eyre::Result<String> {
    let base = read_current(platform).await?;
    let mut fleet = base.clone();
    let Some(found) = fleet.upstreams.iter_mut().find(|it| it.address == upstream) else {
        bail!("no upstream has the address {upstream}");
    };
    found.leaving = true;
    save_plan(platform, &Plan::diff(&base, fleet)).await
}

/// Puts a plan in force, if the configuration has not changed since it was made.
pub(crate) async fn confirm(platform: &PlatformClient, id: &str) -> eyre::Result<String> {
    let plan = fleet_store::read_plan(platform, id).await.wrap_err("reading the plan")?;
    let base = read_current(platform).await?;
    let describe_conflict = || {
        let err = plan.verify(id, &base).err();
        let text = err.map(|it| it.to_string()).unwrap_or_default();
        let changes = Plan::diff(&base, plan.fleet.clone()).changes;
        let mut res =
            format!("not confirmed: {text}\nchanges to the configuration now in force would be:\n");
        changes.iter().for_each(|it| res.push_str(&format!("  {it}\n")));
        res
    };
    if plan.id() != id {
        plan.verify(id, &base)?;
    }
    match fleet_store::confirm_plan(platform, &plan).await? {
        ConfirmOutcome::InForce => Ok(format!("revision {} is in force\n", plan.fleet.revision)),
        ConfirmOutcome::Conflict => bail!("{}", describe_conflict()),
        ConfirmOutcome::Unknown => {
            bail!("the platform's reply was lost and the plan may be in force; run `confirm` again")
        }
    }
}

async fn read_current(platform: &PlatformClient) -> eyre::Result<Fleet> {
    let fleet = fleet_store::read_fleet(platform, 0).await.wrap_err("reading the configuration")?;
    Ok(fleet.unwrap_or_default())
}

async fn save_plan(platform: &PlatformClient, plan: &Plan) -> eyre::Result<String> {
    if plan.changes.is_empty() {
        return Ok("nothing would change\n".to_owned());
    }
    fleet_store::write_plan(platform, plan).await.wrap_err("storing the plan")?;
    let mut res = String::new();
    for it in &plan.changes {
        writeln!(res, "{it}")?;
    }
    writeln!(res, "\nplan {} against revision {}", plan.id(), plan.base)?;
    Ok(res)
}
