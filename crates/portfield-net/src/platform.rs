//! Clients of the platform: the transactional table service, the object store, the host list.
//!
//! The table service takes a transaction of checks and writes: it applies all writes or
//! none, and says which check failed. An answer that is lost leaves the outcome unclear;
//! callers read back what they wrote.

use std::{net::SocketAddr, time::Duration};

use http_types::Method;
use portfield::member::ListEntry;
use serde::{Deserialize, Serialize};

use crate::http1::{self, Client};

/// Version of a row that does not exist.
pub const ABSENT_VERSION: u64 = 0;

/// A row of the table.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// Its key.
    pub key: String,
    /// Grows with each write; [`ABSENT_VERSION`] where there is no row.
    pub version: u64,
    /// Its value.
    pub value: String,
}

/// A condition of a transaction.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Check {
    /// The row.
    pub key: String,
    /// The version that it must have.
    pub version: u64,
}

/// A write of a transaction.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Put {
    /// The row.
    pub key: String,
    /// Its new value.
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

/// What became of a transaction.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum CommitOutcome {
    /// All writes were applied.
    Applied,
    /// A check failed; with the rows that differ as they are.
    Conflict(Vec<Row>),
}

/// A host as the platform lists it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Host {
    /// Address of its scheduler; its IP number names the host.
    pub scheduler: SocketAddr,
    /// Address that its router serves callers on.
    pub router: SocketAddr,
    /// Address of its router's admin port.
    pub router_admin: SocketAddr,
    /// Address of its scheduler's admin port.
    pub scheduler_admin: SocketAddr,
    /// Name of its data centre.
    pub data_centre: String,
    /// The platform is about to take it away.
    pub leaving: bool,
}

impl Host {
    /// Returns the entry for membership.
    pub fn list_entry(&self) -> ListEntry {
        ListEntry {
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
    /// Builds a client.
    pub fn new(address: SocketAddr, timeout: Duration) -> Self {
        Self { client: Client { timeout, ..Client::direct(address) } }
    }

    /// Reads rows; one that does not exist has version [`ABSENT_VERSION`].
    ///
    /// # Errors
    ///
    /// Where the platform does not answer.
    pub async fn read_rows(&self, keys: &[String]) -> Result<Vec<Row>, http1::Error> {
        self.client.post("/read", &keys).await
    }

    /// Reads one row.
    ///
    /// # Errors
    ///
    /// Where the platform does not answer.
    pub async fn read_row(&self, key: &str) -> Result<Row, http1::Error> {
        let rows = self.read_rows(&[key.to_owned()]).await?;
        rows.into_iter().next().ok_or(http1::Error::InvalidBody("no row".to_owned()))
    }

    /// Applies a transaction.
    ///
    /// # Errors
    ///
    /// [`http1::Error::OutcomeUnknown`] where it may have been applied all the same.
    pub async fn commit(&self, transaction: &Transaction) -> Result<CommitOutcome, http1::Error> {
        self.client.post("/commit", transaction).await
    }

    /// Reads an object.
    ///
    /// # Errors
    ///
    /// Where the store does not answer or has no such object.
    pub async fn read_object(&self, name: &str) -> Result<String, http1::Error> {
        self.client.send(Method::Get, &format!("/objects/{name}"), Vec::new()).await
    }

    /// Writes an object.
    ///
    /// # Errors
    ///
    /// Where the store does not answer.
    pub async fn put_object(&self, name: &str, body: Vec<u8>) -> Result<(), http1::Error> {
        self.client.send(Method::Put, &format!("/objects/{name}"), body).await.map(|_| ())
    }

    /// Reads the host list.
    ///
    /// # Errors
    ///
    /// Where the platform does not answer.
    pub async fn read_hosts(&self) -> Result<Vec<Host>, http1::Error> {
        self.client.get("/hosts").await
    }

    /// Reads the host list unless it is still the one named by `tag`; returns its new tag.
    ///
    /// # Errors
    ///
    /// Where the platform does not answer.
    pub async fn read_hosts_if_changed(
        &self,
        tag: &str,
    ) -> Result<Option<(Vec<Host>, String)>, http1::Error> {
        self.client.get_if_changed("/hosts", tag).await
    }
}
