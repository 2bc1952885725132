//! Recorded traces: one request a line, in JSON.

use std::{fs, path::Path};

use eyre::WrapErr;
use serde::{Deserialize, Serialize};

/// One request of a trace.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Arrival {
    /// When it arrives, in milliseconds since the trace's start.
    pub at: u64,
    /// Name of its workspace.
    pub workspace: String,
    /// Name of the service it calls.
    pub service: String,
    /// Number of the host it enters at.
    pub entry: usize,
    /// Cost in tokens, known when it ends.
    pub cost: u32,
    /// Cost hint in tokens, zero for none.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub hint: u32,
    /// It may wait behind interactive requests.
    #[serde(default, skip_serializing_if = "is_false")]
    pub batch: bool,
    /// Number of its prompt's prefix, zero for none.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub prefix: u32,
}

/// Reads a trace.
///
/// # Errors
///
/// Where the file can't be read or a line is something else.
pub fn read(path: &Path) -> eyre::Result<Vec<Arrival>> {
    let text = fs::read_to_string(path).wrap_err_with(|| path.display().to_string())?;
    let parse_line = |(idx, it): (usize, &str)| {
        serde_json::from_str(it).wrap_err_with(|| format!("{}:{}", path.display(), idx + 1))
    };
    text.lines().enumerate().map(parse_line).collect()
}

fn is_zero(it: &u32) -> bool {
    *it == 0
}

fn is_false(it: &bool) -> bool {
    !*it
}
