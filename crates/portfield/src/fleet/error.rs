//! Errors in configurations and plans.

use std::{error, fmt};

/// Kind of an [`Error`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ErrorKind {
    /// The file is not TOML, or not of the expected structure.
    Syntax,
    /// The file is well formed but contains invalid values.
    Invalid,
    /// The plan was made against a revision that is no longer current.
    Stale,
    /// The stored plan does not match its hash.
    Corrupt,
}

/// One problem in a configuration or a plan.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Diagnostic {
    /// Path of the key concerned, such as `workspace[2].share`.
    pub key: String,
    /// What is wrong with its value, and what is expected.
    pub message: String,
}

/// An error in a configuration or a plan, with every problem found.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Error {
    kind: ErrorKind,
    diagnostics: Vec<Diagnostic>,
}

impl Error {
    /// Builds an error from its diagnostics.
    pub(crate) fn new(kind: ErrorKind, diagnostics: Vec<Diagnostic>) -> Self {
        Self { kind, diagnostics }
    }

    /// Builds an error with a single diagnostic for a key.
    pub(crate) fn single(kind: ErrorKind, key: &str, message: impl Into<String>) -> Self {
        let diagnostic = Diagnostic { key: key.to_owned(), message: message.into() };
        Self::new(kind, vec![diagnostic])
    }

    /// Returns the kind of the error.
    pub fn kind(&self) -> ErrorKind {
        self.kind
    }

    /// Returns the diagnostics, one for each problem.
    pub fn diagnostics(&self) -> &[Diagnostic] {
        &self.diagnostics
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let summary = match self.kind {
            ErrorKind::Syntax => "the configuration cannot be parsed",
            ErrorKind::Invalid => "the configuration is invalid",
            ErrorKind::Stale => {
                "the plan is out of date; create a new one with `portfieldctl plan`"
            }
            ErrorKind::Corrupt => {
                "the stored plan is corrupt; create a new one with `portfieldctl plan`"
            }
        };
        f.write_str(summary)?;
        for it in &self.diagnostics {
            write!(f, "\n  {}: {}", it.key, it.message)?;
        }
        Ok(())
    }
}

impl error::Error for Error {}
