//! Settings files in TOML, read as a whole: every mistake is reported with its key.

use std::{collections::HashMap, error, fmt, fs, net::SocketAddr, path::Path, time::Duration};

use portfield::fleet::Diagnostic;
use toml::{Table, Value};

/// The settings file cannot be used; with every mistake found.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Error {
    mistakes: Vec<Diagnostic>,
}

impl Error {
    /// Returns every mistake.
    pub fn mistakes(&self) -> &[Diagnostic] {
        &self.mistakes
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the settings are not acceptable")?;
        for it in &self.mistakes {
            write!(f, "\n  {}: {}", it.key, it.message)?;
        }
        Ok(())
    }
}

impl error::Error for Error {}

/// Reads keys one by one and collects what is wrong with them.
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
/// let keys: Vec<_> = err.mistakes().iter().map(|it| it.key.as_str()).collect();
/// assert_eq!(keys, ["listen", "data_centre", "extra"]);
/// ```
#[derive(Debug, Default)]
pub struct Reader {
    table: Table,
    mistakes: Vec<Diagnostic>,
}

impl Reader {
    /// Reads a file.
    pub fn open(path: &Path) -> Self {
        match fs::read_to_string(path) {
            Ok(text) => Self::parse(&text),
            Err(err) => {
                let mut res = Self::default();
                res.mistake("file", format!("{}: {err}", path.display()));
                res
            }
        }
    }

    /// Reads a text.
    pub fn parse(text: &str) -> Self {
        let mut res = Self::default();
        match text.parse() {
            Ok(it) => res.table = it,
            Err(err) => res.mistake("file", format!("not TOML: {err}")),
        }
        res
    }

    /// Takes a text that must be there.
    pub fn string(&mut self, key: &str) -> String {
        match self.table.remove(key) {
            Some(Value::String(it)) if !it.is_empty() => it,
            Some(_) => self.wrong(key, "must be a text that is not empty"),
            None => self.wrong(key, "is missing; write a text"),
        }
    }

    /// Takes an address that must be there.
    pub fn address(&mut self, key: &str) -> SocketAddr {
        let res = self.optional_address(key);
        if res.is_none() && !self.mistakes.iter().any(|it| it.key == key) {
            self.mistake(key, "is missing; write an IP number and a port".to_owned());
        }
        res.unwrap_or_else(nowhere)
    }

    /// Takes an address that may be missing.
    pub fn optional_address(&mut self, key: &str) -> Option<SocketAddr> {
        let value = self.table.remove(key)?;
        let res = value.as_str().and_then(|it| it.parse().ok());
        if res.is_none() {
            self.mistake(key, "must be an IP number and a port, such as 127.0.0.1:80".to_owned());
        }
        res
    }

    /// Takes a list of addresses, empty if missing.
    pub fn addresses(&mut self, key: &str) -> Vec<SocketAddr> {
        let Some(value) = self.table.remove(key) else { return Vec::new() };
        let list = value.as_array().cloned().unwrap_or_default();
        let res: Vec<_> =
            list.iter().filter_map(|it| it.as_str().and_then(|it| it.parse().ok())).collect();
        if !value.is_array() || res.len() != list.len() {
            self.mistake(key, "must be a list of IP numbers with ports".to_owned());
        }
        res
    }

    /// Takes a table of addresses by name, empty if missing.
    pub fn address_table(&mut self, key: &str) -> HashMap<String, SocketAddr> {
        self.named(key, ["addresses", "an address"], |it| it.parse().ok())
    }

    /// Takes a table of texts by name, empty if missing.
    pub fn string_table(&mut self, key: &str) -> HashMap<String, String> {
        let text = |it: &str| (!it.is_empty()).then(|| it.to_owned());
        self.named(key, ["texts", "a text that is not empty"], text)
    }

    /// Takes a table of values by name; `[all, each]` name what it must hold, for mistakes.
    fn named<T>(
        &mut self,
        key: &str,
        [all, each]: [&str; 2],
        read: impl Fn(&str) -> Option<T>,
    ) -> HashMap<String, T> {
        let Some(value) = self.table.remove(key) else { return HashMap::new() };
        let Value::Table(table) = value else {
            self.mistake(key, format!("must be a table of {all}"));
            return HashMap::new();
        };
        let mut res = HashMap::new();
        for (name, it) in table {
            match it.as_str().and_then(&read) {
                Some(it) => {
                    res.insert(name, it);
                }
                None => self.mistake(&format!("{key}.{name}"), format!("must be {each}")),
            }
        }
        res
    }

    /// Takes a number within a range.
    pub fn integer(&mut self, key: &str, default: u64, range: (u64, u64)) -> u64 {
        let Some(value) = self.table.remove(key) else { return default };
        let res = value.as_integer().and_then(|it| u64::try_from(it).ok());
        match res.filter(|it| (range.0..=range.1).contains(it)) {
            Some(it) => it,
            None => {
                let text = format!("must be a number from {} to {}", range.0, range.1);
                self.mistake(key, text);
                default
            }
        }
    }

    /// Takes a time in milliseconds within a range.
    pub fn millis(&mut self, key: &str, default: u64, range: (u64, u64)) -> Duration {
        Duration::from_millis(self.integer(key, default, range))
    }

    /// Takes a number with or without a fraction, within a range.
    pub fn float(&mut self, key: &str, default: f64, range: (f64, f64)) -> f64 {
        let Some(value) = self.table.remove(key) else { return default };
        let res = value.as_float().or(value.as_integer().map(|it| it as f64));
        match res.filter(|it| (range.0..=range.1).contains(it)) {
            Some(it) => it,
            None => {
                self.mistake(key, format!("must be a number from {} to {}", range.0, range.1));
                default
            }
        }
    }

    /// Takes a time in seconds within a range.
    pub fn seconds(&mut self, key: &str, default: f64, range: (f64, f64)) -> Duration {
        Duration::from_secs_f64(self.float(key, default, range))
    }

    /// Ends the reading: keys that nobody took are unknown.
    ///
    /// # Errors
    ///
    /// [`Error`] with every mistake.
    pub fn finish(mut self) -> Result<(), Error> {
        let unknown: Vec<_> = self.table.keys().cloned().collect();
        for key in unknown {
            self.mistake(&key, "is not a known key; remove it".to_owned());
        }
        if self.mistakes.is_empty() {
            return Ok(());
        }
        Err(Error { mistakes: self.mistakes })
    }

    fn wrong(&mut self, key: &str, text: &str) -> String {
        self.mistake(key, text.to_owned());
        String::new()
    }

    fn mistake(&mut self, key: &str, text: String) {
        self.mistakes.push(Diagnostic { key: key.to_owned(), message: text });
    }
}

fn nowhere() -> SocketAddr {
    SocketAddr::from(([0, 0, 0, 0], 0))
}
