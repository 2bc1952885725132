//! The `explain --logs` command: log lines on one request, and a sentence on how it ended.

use std::{
    collections::BTreeSet,
    fmt::Write,
    fs::File,
    io::{self, BufRead, BufReader},
    path::{Path, PathBuf},
};

use eyre::{WrapErr, bail};
use serde::Deserialize;
use serde_json::{Map, Value};

/// File name for standard input.
const STDIN: &str = "-";

/// A line of a host's log.
#[derive(Debug, Clone, Deserialize)]
struct Line {
    timestamp: String,
    message: String,
    #[serde(default)]
    kvs: Map<String, Value>,
    /// Text before the JSON object, such as the name of the host.
    #[serde(skip)]
    origin: String,
}

impl Line {
    fn value_text(&self, key: &str) -> String {
        match self.kvs.get(key) {
            Some(Value::String(it)) => it.clone(),
            Some(Value::Number(it)) if it.is_f64() => {
                format!("{:.2}", it.as_f64().unwrap_or(f64::NAN))
            }
            Some(it) => it.to_string(),
            None => "?".to_owned(),
        }
    }

    fn is_for(&self, request: &str) -> bool {
        self.kvs.get("request").and_then(Value::as_str) == Some(request)
    }

    /// Formats the line for output, without the request's id.
    fn format(&self) -> String {
        let values: Vec<String> = self
            .kvs
            .keys()
            .filter(|it| *it != "request")
            .map(|it| format!("{it}={}", self.value_text(it)))
            .collect();
        let values = values.join(" ");
        format!("{}  {} {:<16} {values}", self.timestamp, self.origin, self.message)
    }
}

/// Returns the log lines on a request and its upstreams, in order of time, and how it ended.
///
/// A line may have text before its JSON object, such as the name of its host. Lines without an
/// object are skipped.
///
/// # Errors
///
/// Returns an error if a file cannot be read or no line names the request.
pub(crate) fn show(files: &[PathBuf], request: &str) -> eyre::Result<String> {
    let mut lines = Vec::new();
    for file in files {
        lines.extend(read_lines(file).wrap_err_with(|| file.display().to_string())?);
    }
    lines.sort_by(|a, b| a.timestamp.cmp(&b.timestamp));
    let request_lines: Vec<&Line> = lines.iter().filter(|it| it.is_for(request)).collect();
    if request_lines.is_empty() {
        let n_omitted = lines.iter().filter(|it| it.message == "lines left out").count();
        bail!(
            "no line names request {request}; {n_omitted} lines say that others were left out: \
             raise log_lines_s, or look at the metrics"
        );
    }
    let mut res = String::new();
    for it in &request_lines {
        writeln!(res, "{}", it.format())?;
    }
    let upstream_lines = find_upstream_lines(&lines, &request_lines);
    if !upstream_lines.is_empty() {
        writeln!(res, "\nits upstreams, meanwhile:")?;
    }
    for it in upstream_lines {
        writeln!(res, "{}", it.format())?;
    }
    writeln!(res, "\n{}", describe_outcome(&request_lines))?;
    Ok(res)
}

fn read_lines(file: &Path) -> io::Result<Vec<Line>> {
    let reader: Box<dyn BufRead> = match file.to_str() {
        Some(STDIN) => Box::new(io::stdin().lock()),
        _ => Box::new(BufReader::new(File::open(file)?)),
    };
    let mut res = Vec::new();
    for line in reader.lines() {
        let line = line?;
        let Some(start) = line.find('{') else { continue };
        let Ok(mut it) = serde_json::from_str::<Line>(&line[start..]) else { continue };
        line[..start].trim().clone_into(&mut it.origin);
        res.push(it);
    }
    Ok(res)
}

/// Returns the lines on the request's upstreams that name no request, between the request's first
/// and last line.
fn find_upstream_lines<'a>(lines: &'a [Line], request_lines: &[&Line]) -> Vec<&'a Line> {
    let (Some(first), Some(last)) = (request_lines.first(), request_lines.last()) else {
        return Vec::new();
    };
    let upstreams: BTreeSet<String> = request_lines
        .iter()
        .filter(|it| it.kvs.contains_key("upstream"))
        .map(|it| it.value_text("upstream"))
        .collect();
    let is_in_between =
        |it: &&Line| first.timestamp <= it.timestamp && it.timestamp <= last.timestamp;
    let is_upstream_line = |it: &&Line| {
        !it.kvs.contains_key("request") && upstreams.contains(&it.value_text("upstream"))
    };
    lines.iter().filter(is_in_between).filter(is_upstream_line).collect()
}

/// Describes in a sentence how the request ended and why.
fn describe_outcome(request_lines: &[&Line]) -> String {
    let find_last = |message: &str| request_lines.iter().rfind(|it| it.message == message);
    if let Some(it) = find_last("answered") {
        let estimate =
            find_last("placed").map_or("?".to_owned(), |it| it.value_text("estimate_ms"));
        return format!(
            "answered with {} after {} ms, the first event after {} ms where {estimate} ms were \
             estimated",
            it.value_text("status"),
            it.value_text("total_ms"),
            it.value_text("first_ms"),
        );
    }
    if let Some(it) = find_last("rejected") {
        return format!("rejected with {}: {}", it.value_text("status"), it.value_text("reason"));
    }
    if let Some(it) = find_last("not resumed") {
        return format!(
            "refused: the stream that attempt {} began cannot be resumed, {}; its caller has to send it anew",
            it.value_text("resumes"),
            it.value_text("reason"),
        );
    }
    if let Some(it) = find_last("in quarantine") {
        let part = it.kvs.get("part").and_then(Value::as_str).filter(|it| !it.is_empty());
        let (cause, key) = match part {
            Some(it) => ("requests with the prompt part", it.to_owned()),
            None => ("it (fingerprint", it.value_text("fingerprint")),
        };
        let close = if part.is_some() { "" } else { ")" };
        return format!(
            "refused: {} upstreams ended while they ran {cause} {key}{close}, quarantined for another {} s; \
             `portfieldctl quarantine HOST --lift {key}` lets it run again",
            it.value_text("n_ends"),
            it.value_text("left_s"),
        );
    }
    let backed_off = find_last("not placed").filter(|it| it.value_text("reason") == "Backoff");
    if let Some(it) = backed_off {
        return format!(
            "refused: the remaining upstreams had sent Retry-After, the first to expire in {} ms",
            it.value_text("estimate_ms"),
        );
    }
    let broken = find_last("answer broke").or(find_last("attempt failed"));
    if let Some(it) = broken {
        return format!(
            "failed at upstream {} ({}): {}",
            it.value_text("upstream"),
            it.value_text("outcome"),
            it.value_text("cause"),
        );
    }
    if let Some(it) = find_last("not placed") {
        let room = match it.kvs.contains_key("room") {
            true => format!(
                ", {} of the engines' capacity left ({} ms of unread prompts each), told to retry after \
                 {} ms (booked: {} ms), earlier attempts took {} ms",
                it.value_text("room"),
                it.value_text("queue_ms"),
                it.value_text("retry_ms"),
                it.value_text("invited_ms"),
                it.value_text("earlier_ms"),
            ),
            // A line of an older version.
            false => String::new(),
        };
        return format!(
            "refused, {}: estimated {} ms to the first event against an objective of {} ms, workspace \
             at {} times its share, {} hosts known, configuration {}, list {}{room}",
            it.value_text("reason"),
            it.value_text("estimate_ms"),
            it.value_text("objective_ms"),
            it.value_text("share"),
            it.value_text("hosts"),
            it.value_text("config"),
            it.value_text("list"),
        );
    }
    if let Some(it) = find_last("not finished") {
        let waited = it.value_text("waited_ms");
        return format!("the caller left, or its host ended, after {waited} ms");
    }
    "still running at the end of the logs, or its host was killed".to_owned()
}
