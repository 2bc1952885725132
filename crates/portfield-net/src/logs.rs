//! Logs as JSON lines on standard error.

use logforth::{append::Stderr, layout::JsonLayout, record::Level, record::LevelFilter};

/// Sends the process's logs to standard error, one JSON object a line.
pub fn init() {
    logforth::starter_log::builder()
        .dispatch(|it| {
            it.filter(LevelFilter::MoreSevereEqual(Level::Info))
                .append(Stderr::default().with_layout(JsonLayout::default()))
        })
        .apply();
}
