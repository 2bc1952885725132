//! Settings files in TOML. All problems of a file are reported together, each with its key.

use std::{collections::HashMap, error, fmt, fs, net::SocketAddr, path::Path, time::Duration};

use portfield::{balance::Switch, fleet::Diagnostic};
use toml::{Table, Value};

/// Error of a settings file that cannot be used, with every problem found.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Error {
    diagnostics: Vec<Diagnostic>,
}

impl Error {
    /// Returns the diagnostics, one for each problem.
    pub fn diagnostics(&self) -> &[Diagnostic] {
        &self.diagnostics
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the settings are invalid")?;
        for it in &self.diagnostics {
            write!(f, "\n  {}: {}", it.key, it.message)?;
        }
        Ok(())
    }
}

impl error::Error for Error {}

/// Reads a settings file key by key and collects its problems.
///
/// # Examples
///
/// ```
/// use portfield_net::settings::Reader;
///
/// let mut reader = Reader::parse("listen = '127.0.0.1:x'\nextra = 1");
/// reader.address("listen");
/// reader.string("data_centre");
/// let err = reader.finish().unwrap_err();
/// let keys: Vec<_> = err.diagnostics().iter().map(|it| it.key.as_str()).collect();
/// assert_eq!(keys, ["listen", "data_centre", "extra"]);
/// ```
#[derive(Debug, Default)]
pub struct Reader {
    table: Table,
    diagnostics: Vec<Diagnostic>,
}

impl Reader {
    /// Reads and parses a file.
    pub fn open(path: &Path) -> Self {
        match fs::read_to_string(path) {
            Ok(text) => Self::parse(&text),
            Err(err) => {
                let mut res = Self::default();
                res.report("file", format!("{}: {err}", path.display()));
                res
            }
        }
    }

    /// Parses the text of a file.
    pub fn parse(text: &str) -> Self {
        let mut res = Self::default();
        match text.parse() {
            Ok(it) => res.table = it,
            Err(err) => res.report("file", format!("invalid TOML: {err}")),
        }
        res
    }

    /// Takes a required string, which must not be empty.
    pub fn string(&mut self, key: &str) -> String {
        match self.table.remove(key) {
            Some(Value::String(it)) if !it.is_empty() => it,
            Some(_) => self.reject_string(key, "must be a string that is not empty"),
            None => self.reject_string(key, "is missing; add a string"),
        }
    }

    /// Takes a required address.
    pub fn address(&mut self, key: &str) -> SocketAddr {
        let res = self.optional_address(key);
        if res.is_none() && !self.diagnostics.iter().any(|it| it.key == key) {
            self.report(
                key,
                "is missing; add an IP address with a port, such as 127.0.0.1:80".to_owned(),
            );
        }
        res.unwrap_or_else(unspecified_address)
    }

    /// Takes an optional address.
    pub fn optional_address(&mut self, key: &str) -> Option<SocketAddr> {
        let value = self.table.remove(key)?;
        let res = value.as_str().and_then(|it| it.parse().ok());
        if res.is_none() {
            self.report(key, "must be an IP address with a port, such as 127.0.0.1:80".to_owned());
        }
        res
    }

    /// Takes an optional switch, `"on"` or `"off"`, which is the default.
    pub fn switch(&mut self, key: &str) -> Switch {
        let Some(value) = self.table.remove(key) else { return Switch::Off };
        match value.as_str() {
            Some("on") => Switch::On,
            Some("off") => Switch::Off,
            _ => {
                self.report(key, "must be \"on\" or \"off\"".to_owned());
                Switch::Off
            }
        }
    }

    /// Takes an optional list of addresses, empty by default.
    pub fn addresses(&mut self, key: &str) -> Vec<SocketAddr> {
        let Some(value) = self.table.remove(key) else { return Vec::new() };
        let list = value.as_array().cloned().unwrap_or_default();
        let res: Vec<_> =
            list.iter().filter_map(|it| it.as_str().and_then(|it| it.parse().ok())).collect();
        if !value.is_array() || res.len() != list.len() {
            self.report(key, "must be a list of IP addresses with ports".to_owned());
        }
        res
    }

    /// Takes an optional table of addresses by name, empty by default.
    pub fn address_table(&mut self, key: &str) -> HashMap<String, SocketAddr> {
        self.table_of(key, ["IP addresses with ports", "an IP address with a port"], |it| {
            it.parse().ok()
        })
    }

    /// Takes an optional table of strings by name, empty by default.
    pub fn string_table(&mut self, key: &str) -> HashMap<String, String> {
        let parse = |it: &str| (!it.is_empty()).then(|| it.to_owned());
        self.table_of(key, ["strings", "a string that is not empty"], parse)
    }

    /// Takes an optional table of values by name. Diagnostics call the values `all` and one value
    /// `each`.
    fn table_of<T>(
        &mut self,
        key: &str,
        [all, each]: [&str; 2],
        parse: impl Fn(&str) -> Option<T>,
    ) -> HashMap<String, T> {
        let Some(value) = self.table.remove(key) else { return HashMap::new() };
        let Value::Table(table) = value else {
            self.report(key, format!("must be a table of {all}"));
            return HashMap::new();
        };
        let mut res = HashMap::new();
        for (name, it) in table {
            match it.as_str().and_then(&parse) {
                Some(it) => {
                    res.insert(name, it);
                }
                None => self.report(&format!("{key}.{name}"), format!("must be {each}")),
            }
        }
        res
    }

    /// Takes an optional integer within an inclusive range.
    pub fn integer(&mut self, key: &str, default: u64, range: (u64, u64)) -> u64 {
        let Some(value) = self.table.remove(key) else { return default };
        let res = value.as_integer().and_then(|it| u64::try_from(it).ok());
        match res.filter(|it| (range.0..=range.1).contains(it)) {
            Some(it) => it,
            None => {
                let message = format!("must be an integer from {} to {}", range.0, range.1);
                self.report(key, message);
                default
            }
        }
    }

    /// Takes an optional duration in whole milliseconds within an inclusive range.
    pub fn millis(&mut self, key: &str, default: u64, range: (u64, u64)) -> Duration {
        Duration::from_millis(self.integer(key, default, range))
    }

    /// Takes an optional number, integer or float, within an inclusive range.
    pub fn float(&mut self, key: &str, default: f64, range: (f64, f64)) -> f64 {
        let Some(value) = self.table.remove(key) else { return default };
        let res = value.as_float().or(value.as_integer().map(|it| it as f64));
        match res.filter(|it| (range.0..=range.1).contains(it)) {
            Some(it) => it,
            None => {
                self.report(key, format!("must be a number from {} to {}", range.0, range.1));
                default
            }
        }
    }

    /// Takes an optional duration in seconds within an inclusive range.
    pub fn seconds(&mut self, key: &str, default: f64, range: (f64, f64)) -> Duration {
        Duration::from_secs_f64(self.float(key, default, range))
    }

    /// Finishes reading. Keys that were not taken are reported as unknown.
    ///
    /// # Errors
    ///
    /// Returns an [`Error`] with every problem found.
    pub fn finish(mut self) -> Result<(), Error> {
        let unknown_keys: Vec<_> = self.table.keys().cloned().collect();
        for key in unknown_keys {
            self.report(&key, "unknown key; remove it".to_owned());
        }
        if self.diagnostics.is_empty() {
            return Ok(());
        }
        Err(Error { diagnostics: self.diagnostics })
    }

    /// Reports a problem with a string and returns an empty string in its place.
    fn reject_string(&mut self, key: &str, message: &str) -> String {
        self.report(key, message.to_owned());
        String::new()
    }

    fn report(&mut self, key: &str, message: String) {
        self.diagnostics.push(Diagnostic { key: key.to_owned(), message });
    }
}

/// Returns the placeholder for an address that is missing or invalid.
fn unspecified_address() -> SocketAddr {
    SocketAddr::from(([0, 0, 0, 0], 0))
}
