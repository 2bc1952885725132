//! The `quarantine` command: requests refused because upstreams crashed under them.

use std::{fmt::Write, net::SocketAddr};

use http_types::Method;
use portfield_net::http1::Client;
use serde::Deserialize;

/// Path on a host's metrics address.
const PATH: &str = "/quarantine";

#[derive(Debug, Deserialize)]
struct Row {
    fingerprint: String,
    workspace: String,
    n_ends: usize,
    left_s: u64,
}

/// Lists the requests that a host refuses, each with the number of upstreams that crashed under it
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
    let mut res = format!("{:18}{:20}{:>6}{:>9}\n", "fingerprint", "workspace", "ends", "left s");
    for it in &refused {
        writeln!(res, "{:18}{:20}{:>6}{:>9}", it.fingerprint, it.workspace, it.n_ends, it.left_s)?;
    }
    Ok(res)
}

/// Lifts the quarantine of a request at all hosts.
///
/// # Errors
///
/// Returns an error if the host does not answer or has not quarantined the request.
pub(crate) async fn lift(host: SocketAddr, fingerprint: &str) -> eyre::Result<String> {
    Client::direct(host).send(Method::Delete, &format!("{PATH}/{fingerprint}"), Vec::new()).await?;
    Ok(format!("{fingerprint} may run again\n"))
}
