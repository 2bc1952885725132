//! Client of the platform: its transactional table, object store and host list.
//!
//! A transaction consists of checks and writes. The table applies all writes, or none if a check
//! fails, and then returns the rows that differ. If the response is lost, the outcome is unknown and
//! the rows must be read to find out.

use std::{net::SocketAddr, time::Duration};

use http_types::Method;
use portfield::member::HostListEntry;
use serde::{Deserialize, Serialize};

use crate::http1::{self, Client};

/// Version of a row that does not exist.
pub const ABSENT_VERSION: u64 = 0;

/// A row of the table.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// Its key.
    pub key: String,
    /// Grows with each write; [`ABSENT_VERSION`] if the row does not exist.
    pub version: u64,
    /// Its value.
    pub value: String,
}

/// A condition of a transaction.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Check {
    /// Key of the row.
    pub key: String,
    /// Version that the row must have.
    pub version: u64,
}

/// A write of a transaction.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Put {
    /// Key of the row.
    pub key: String,
    /// New value of the row.
    pub value: String,
}

/// Checks and writes that are applied together or not at all.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Transaction {
    /// Conditions.
    pub checks: Vec<Check>,
    /// Writes.
    pub puts: Vec<Put>,
}

/// Outcome of a transaction.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum CommitOutcome {
    /// All writes were applied.
    Applied,
    /// A check failed and nothing was written; with the current rows whose versions differ.
    Conflict(Vec<Row>),
}

/// A host in the platform's host list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Host {
    /// Address of the scheduler. Its IP address identifies the host.
    pub scheduler: SocketAddr,
    /// Address of the router for callers.
    pub router: SocketAddr,
    /// Address of the router's admin port.
    pub router_admin: SocketAddr,
    /// Address of the scheduler's admin port.
    pub scheduler_admin: SocketAddr,
    /// Name of the data centre.
    pub data_centre: String,
    /// The platform is about to remove the host.
    pub leaving: bool,
}

impl Host {
    /// Returns the host's entry in the list that membership uses.
    pub fn list_entry(&self) -> HostListEntry {
        HostListEntry {
            host: self.scheduler.ip(),
            address: self.scheduler,
            data_centre: self.data_centre.clone(),
            leaving: self.leaving,
        }
    }
}

/// A client of the platform.
#[derive(Debug, Clone)]
pub struct PlatformClient {
    client: Client,
}

impl PlatformClient {
    /// Creates a client; `timeout` limits each exchange.
    pub fn new(address: SocketAddr, timeout: Duration) -> Self {
        Self { client: Client { timeout, ..Client::direct(address) } }
    }

    /// Reads rows. A row that does not exist has version [`ABSENT_VERSION`].
    ///
    /// # Errors
    ///
    /// Returns an error if the platform does not respond.
    pub async fn read_rows(&self, keys: &[String]) -> Result<Vec<Row>, http1::Error> {
        self.client.post("/read", &keys).await
    }

    /// Reads one row.
    ///
    /// # Errors
    ///
    /// Returns an error if the platform does not respond.
    pub async fn read_row(&self, key: &str) -> Result<Row, http1::Error> {
        let rows = self.read_rows(&[key.to_owned()]).await?;
        rows.into_iter()
            .next()
            .ok_or(http1::Error::InvalidBody("the response has no row".to_owned()))
    }

    /// Applies a transaction.
    ///
    /// # Errors
    ///
    /// Returns [`http1::Error::OutcomeUnknown`] if the transaction may have been applied.
    pub async fn commit(&self, transaction: &Transaction) -> Result<CommitOutcome, http1::Error> {
        self.client.post("/commit", transaction).await
    }

    /// Reads an object.
    ///
    /// # Errors
    ///
    /// Returns an error if the store does not respond or has no such object.
    pub async fn read_object(&self, name: &str) -> Result<String, http1::Error> {
        self.client.send(Method::Get, &format!("/objects/{name}"), Vec::new()).await
    }

    /// Writes an object.
    ///
    /// # Errors
    ///
    /// Returns an error if the store does not respond.
    pub async fn put_object(&self, name: &str, body: Vec<u8>) -> Result<(), http1::Error> {
        self.client.send(Method::Put, &format!("/objects/{name}"), body).await.map(|_| ())
    }

    /// Reads the host list.
    ///
    /// # Errors
    ///
    /// Returns an error if the platform does not respond.
    pub async fn read_hosts(&self) -> Result<Vec<Host>, http1::Error> {
        self.client.get("/hosts").await
    }

    /// Reads the host list and its entity tag, or `None` if it still has the entity tag `tag`.
    ///
    /// # Errors
    ///
    /// Returns an error if the platform does not respond.
    pub async fn read_hosts_if_changed(
        &self,
        tag: &str,
    ) -> Result<Option<(Vec<Host>, String)>, http1::Error> {
        self.client.get_if_changed("/hosts", tag).await
    }
}
