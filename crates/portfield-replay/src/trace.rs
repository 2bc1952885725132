//! Traces of requests, in JSON Lines.

use std::{fs, path::Path};

use eyre::WrapErr;
use serde::{Deserialize, Serialize};

/// One request of a trace.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Arrival {
    /// Time of arrival, in milliseconds since the start of the trace.
    pub at: u64,
    /// Name of the workspace.
    pub workspace: String,
    /// Name of the called service.
    pub service: String,
    /// Index of the host at which it arrives.
    pub entry: usize,
    /// True cost in tokens, known to the fleet only when the request ends.
    pub cost: u32,
    /// Cost hint in tokens, zero for none.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub hint: u32,
    /// Whether it is a batch request, which may wait behind interactive ones.
    #[serde(default, skip_serializing_if = "is_false")]
    pub batch: bool,
    /// Number that identifies the prefix of its prompt, zero for none.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub prefix: u32,
}

/// Reads the requests of a trace from a file.
///
/// # Errors
///
/// Returns an error if the file can't be read or a line isn't a valid request.
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
