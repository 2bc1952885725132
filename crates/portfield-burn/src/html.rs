//! The report as a self-contained HTML page.

use std::fmt::Write;

use portfield::slo::{Alert, FAST_BURN_RATE, SLOW_BURN_RATE};

use crate::report::{Report, Row};

const STYLE: &str = "body{font:15px/1.5 system-ui,sans-serif;margin:2.5rem auto;max-width:60rem;\
color:#1c2430;background:#fbfbf9}h1{font-size:1.4rem;margin:0}p{color:#56606e;margin:.3rem 0 1.5rem}\
table{border-collapse:collapse;width:100%;margin-bottom:2rem}th{font-weight:600;color:#56606e;\
text-align:right;border-bottom:2px solid #d5d9de;padding:.35rem .6rem}\
td{text-align:right;border-bottom:1px solid #e6e8eb;padding:.35rem .6rem;\
font-variant-numeric:tabular-nums}th.l,td.l{text-align:left}.fast{background:#b3261e;color:#fff}\
.slow{background:#f4c95d}.tag{border-radius:.3rem;padding:.05rem .5rem;font-size:.85em}\
.hot{color:#b3261e;font-weight:600}.warm{color:#8a5a00;font-weight:600}.note{color:#b3261e}";

/// Renders the report as an HTML page.
pub(crate) fn render(report: &Report) -> String {
    let mut res = format!(
        "<!doctype html><html lang=en><meta charset=utf-8><title>Burn report</title>\
         <style>{STYLE}</style><h1>How fast error budgets burn</h1>\
         <p>1.00 uses a budget up exactly. Failed: not answered. Late: first byte after the \
         objective. Slow: tokens further apart than the objective. {} routers answered.</p>",
        report.n_routers
    );
    for it in &report.missing_hosts {
        let text = escape(it);
        let _ = write!(
            res,
            "<p class=note>The router at {text} did not answer; its requests are missing.</p>"
        );
    }
    res += "<table><tr><th class=l>workspace<th class=l>service<th>requests<th>failed<th>late\
            <th>slow<th>5 min<th>30 min<th>1 h<th>6 h<th class=l>alert</tr>";
    report.rows.iter().for_each(|it| write_row(&mut res, it));
    res += "</table><table><tr><th class=l>first byte, ms<th>p50<th>p95<th>p99</tr>";
    for it in &report.first_bytes {
        let (name, p50, p95, p99) = (escape(&it.service), it.p50_ms, it.p95_ms, it.p99_ms);
        let _ = write!(res, "<tr><td class=l>{name}<td>{p50}<td>{p95}<td>{p99}</tr>");
    }
    res + "</table></html>\n"
}

/// Appends the table row of one workspace and service.
fn write_row(res: &mut String, it: &Row) {
    let longest_window = it.tallies[it.tallies.len() - 1];
    let (workspace, service) = (escape(&it.workspace), escape(&it.service));
    let _ = write!(
        res,
        "<tr><td class=l>{workspace}<td class=l>{service}<td>{}<td>{}<td>{}<td>{}",
        longest_window.total, longest_window.failed, longest_window.late, longest_window.slow
    );
    for burn in it.burns {
        let class = match burn {
            it if FAST_BURN_RATE <= it => "hot",
            it if SLOW_BURN_RATE <= it => "warm",
            _ => "",
        };
        let _ = write!(res, "<td class=\"{class}\">{burn:.2}");
    }
    let tag = match it.alert {
        Alert::None => "",
        Alert::Slow => "<span class=\"tag slow\">slow</span>",
        Alert::Fast => "<span class=\"tag fast\">fast</span>",
    };
    let _ = write!(res, "<td class=l>{tag}</tr>");
}

fn escape(text: &str) -> String {
    text.replace('&', "&amp;").replace('<', "&lt;").replace('>', "&gt;")
}
