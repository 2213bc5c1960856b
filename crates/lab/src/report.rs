//! Renders a run as one self-contained HTML page: figures, charts, and the histories of selected mails.

use std::fmt::Write;

use meadowhold_emulator::decider::DeciderFactory;
use meadowhold_emulator::figures::{worth, Figures};
use meadowhold_emulator::history;
use meadowhold_emulator::world::RunResult;

use crate::charts::{svg, Chart};
use crate::load::{CommandError, NamedScenario};

/// Maximum number of mails whose history is shown.
const MAX_HISTORIES: usize = 3;

fn escape_html(text: &str) -> String {
    text.replace('&', "&amp;").replace('<', "&lt;").replace('>', "&gt;")
}

/// Selects the mails whose history is shown: those of broken rules, or else those that lost most importance.
fn mails_to_show(ended: &RunResult) -> Vec<u32> {
    let mut shown: Vec<u32> = ended.judge.broken.iter().map(|b| b.mail).collect();
    shown.dedup();
    if shown.is_empty() {
        let day = &ended.day;
        let importance_lost = |m: u32| {
            let mail = &ended.mails[m as usize];
            let importance = day.classes[usize::from(mail.class)].settings.importance;
            importance - mail.relayed_at.map_or(0.0, |at| worth(day, mail, at))
        };
        let all = (0..ended.mails.len() as u32).map(|m| (importance_lost(m), m));
        let mut all: Vec<(f64, u32)> = all.filter(|(lost, _)| *lost > 0.0).collect();
        all.sort_by(|a, b| b.0.total_cmp(&a.0));
        shown = all.into_iter().map(|(_, m)| m).collect();
    }
    shown.truncate(MAX_HISTORIES);
    shown
}

pub fn page(
    named: &NamedScenario,
    decider: &str,
    maker: &DeciderFactory,
    ended: &RunResult,
) -> Result<String, CommandError> {
    let f = Figures::of(ended);
    let mut page = String::new();
    let title = format!("{} · {decider} · seed {}", named.name, f.seed);
    let style = "body{font:15px sans-serif;max-width:1000px;margin:2em auto;padding:0 1em}\
        table{border-collapse:collapse}td,th{border:1px solid #ccc;padding:.25em .6em;text-align:right}\
        td:first-child,th:first-child{text-align:left}pre{background:#f6f6f6;padding:.8em;overflow:auto}\
        .broken{color:#b00020}svg{max-width:100%;height:auto}";
    let mut push = |text: String| page.push_str(&text);
    push(format!(
        "<!doctype html><html lang=\"en\"><meta charset=\"utf-8\"><title>{}</title><style>{style}</style>",
        escape_html(&title)
    ));
    push(format!("<h1>{}</h1><p>{}</p>", escape_html(&title), escape_html(&named.scenario.about)));
    push(format!(
        "<p>Simulated time and simulated partners, {} couriers, {} endpoints, {} mails. G {:.3}: whole {:.3}, worst \
         ten seconds {:.3} from {:.1} s on, worst queue class {:.3}. Waste {:.3}, handshakes {:.3}, refusals {:.3}, \
         connects {:.3} a mail. Trace {}.</p>",
        f.couriers,
        f.endpoints,
        f.mails,
        f.g,
        f.whole,
        f.worst_window,
        f.worst_at_s,
        f.worst_class,
        f.waste,
        f.handshakes,
        f.refused,
        f.connects,
        f.trace
    ));
    push(
        "<table><tr><th>queue class</th><th>mails</th><th>relayed</th><th>service</th><th>p50 ms</th>\
         <th>p90</th><th>p99</th><th>max</th></tr>"
            .into(),
    );
    for c in &f.classes {
        push(format!(
            "<tr><td>{}</td><td>{}</td><td>{}</td><td>{:.3}</td><td>{}</td><td>{}</td><td>{}</td><td>{}</td></tr>",
            escape_html(&c.name),
            c.mails,
            c.relayed,
            c.service,
            c.p50_ms,
            c.p90_ms,
            c.p99_ms,
            c.max_ms
        ));
    }
    push("</table>".into());
    if f.rules_broken > 0 {
        push(format!("<h2 class=\"broken\">{} times a rule was broken</h2><ul>", f.rules_broken));
        for b in &f.broken {
            let at = b.at as f64 / 10_000.0;
            let words = escape_html(&b.words);
            push(format!(
                "<li>{:?} at {at:.2} s, mail {}, courier {}: {words}</li>",
                b.rule, b.mail, b.courier
            ));
        }
        push("</ul>".into());
    }
    for (chart, _) in Chart::ALL {
        push(svg(chart, ended)?);
    }
    for mail in mails_to_show(ended) {
        push(format!("<h2>Mail {mail}</h2><pre>"));
        for line in history(&named.scenario, f.seed, maker, mail) {
            push(escape_html(&line) + "\n");
        }
        push("</pre>".into());
    }
    let _ = write!(page, "</html>");
    Ok(page)
}
