//! The `evacuations` command: data centres evacuated by the operator's order.

use std::{fmt::Write, net::SocketAddr};

use portfield_net::http1::Client;
use serde::Deserialize;

/// Path on a host's metrics address.
const PATH: &str = "/evacuations";

#[derive(Debug, Deserialize)]
struct Row {
    data_centre: String,
    n_upstreams: usize,
}

/// Lists the data centres to which a host sends no requests, with the number of their upstreams.
///
/// # Errors
///
/// Returns an error if the host does not answer.
pub(crate) async fn show(host: SocketAddr) -> eyre::Result<String> {
    let evacuated: Vec<Row> = Client::direct(host).get(PATH).await?;
    if evacuated.is_empty() {
        return Ok("no data centre is evacuated\n".to_owned());
    }
    let mut res = format!("{:24}{:>10}\n", "data centre", "upstreams");
    for it in &evacuated {
        writeln!(res, "{:24}{:>10}", it.data_centre, it.n_upstreams)?;
    }
    Ok(res)
}
