//! The `quarantine` command: requests and prompt parts refused because upstreams crashed under them.

use std::{fmt::Write, net::SocketAddr};

use http_types::Method;
use portfield_net::http1::Client;
use serde::Deserialize;

/// Path on a host's metrics address.
const PATH: &str = "/quarantine";

#[derive(Debug, Deserialize)]
struct Row {
    /// Empty, as the service, in the answer of a host of an earlier release.
    #[serde(default)]
    kind: String,
    fingerprint: String,
    workspace: String,
    #[serde(default)]
    service: String,
    n_ends: usize,
    left_s: u64,
}

/// Lists the requests and prompt parts that a host refuses, each with the number of upstreams that crashed under it
/// and the time left.
///
/// # Errors
///
/// Returns an error if the host does not answer.
pub(crate) async fn show(host: SocketAddr) -> eyre::Result<String> {
    let refused: Vec<Row> = Client::direct(host).get(PATH).await?;
    if refused.is_empty() {
        return Ok("no request is refused\n".to_owned());
    }
    let mut res =
        format!("{:9}{:18}{:20}{:>6}{:>9}\n", "kind", "fingerprint", "owner", "ends", "left s");
    for it in &refused {
        let owner = if it.workspace.is_empty() { &it.service } else { &it.workspace };
        writeln!(
            res,
            "{:9}{:18}{owner:20}{:>6}{:>9}",
            it.kind, it.fingerprint, it.n_ends, it.left_s
        )?;
    }
    Ok(res)
}

/// Lifts the quarantine of a request or prompt part at all hosts.
///
/// # Errors
///
/// Returns an error if the host does not answer or has not quarantined it.
pub(crate) async fn lift(host: SocketAddr, fingerprint: &str) -> eyre::Result<String> {
    Client::direct(host).send(Method::Delete, &format!("{PATH}/{fingerprint}"), Vec::new()).await?;
    Ok(format!("{fingerprint} may run again\n"))
}
