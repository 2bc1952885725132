//! Errors of the configuration layer.

use std::{error, fmt};

/// What is wrong with a configuration or a plan.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ErrorKind {
    /// The file is not TOML of the expected form.
    Syntax,
    /// The file is well formed but one or more values are not acceptable.
    Invalid,
    /// The plan was made against a revision that is no longer in force.
    Stale,
    /// The stored plan does not match its own hash.
    Corrupt,
}

/// One diagnostic in a configuration, with the key it stands under.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Diagnostic {
    /// Path of the key, such as `workspace[2].share`.
    pub key: String,
    /// What is wrong, and what to write instead.
    pub message: String,
}

/// An error of the configuration layer, with every diagnostic found.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Error {
    kind: ErrorKind,
    diagnostics: Vec<Diagnostic>,
}

impl Error {
    /// Builds an error of a kind.
    pub(crate) fn new(kind: ErrorKind, diagnostics: Vec<Diagnostic>) -> Self {
        Self { kind, diagnostics }
    }

    /// Builds an error with a single mistake.
    pub(crate) fn single(kind: ErrorKind, key: &str, message: impl Into<String>) -> Self {
        let diagnostic = Diagnostic { key: key.to_owned(), message: message.into() };
        Self::new(kind, vec![diagnostic])
    }

    /// Returns the kind, for a caller that decides by it.
    pub fn kind(&self) -> ErrorKind {
        self.kind
    }

    /// Returns every diagnostic that was found.
    pub fn diagnostics(&self) -> &[Diagnostic] {
        &self.diagnostics
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let summary = match self.kind {
            ErrorKind::Syntax => "the file cannot be read",
            ErrorKind::Invalid => "the configuration is not acceptable",
            ErrorKind::Stale => "the plan is stale; make a new one with `portfieldctl plan`",
            ErrorKind::Corrupt => "the stored plan is damaged; make a new one",
        };
        f.write_str(summary)?;
        for it in &self.diagnostics {
            write!(f, "\n  {}: {}", it.key, it.message)?;
        }
        Ok(())
    }
}

impl error::Error for Error {}
