//! Logging to standard error, in lines such as
//! `[2026-12-02T00:22:46.012345Z INFO  meadowhold_courier::clients] message`.

use std::fmt::{Debug, Result as FmtResult};
use std::time::{SystemTime, UNIX_EPOCH};

use tracing_subscriber::field::Visit;
use tracing_subscriber::filter::{LevelFilter, Targets};
use tracing_subscriber::fmt::format::{FormatEvent, FormatFields, Writer};
use tracing_subscriber::fmt::{layer, FmtContext};
use tracing_subscriber::layer::SubscriberExt;
use tracing_subscriber::registry::LookupSpan;
use tracing_subscriber::util::SubscriberInitExt;

/// Starts logging as `RUST_LOG` asks for, including the records that this program and its dependencies write through
/// the `log` crate.
pub fn start() -> Result<(), String> {
    let directives = std::env::var("RUST_LOG").unwrap_or_default();
    let (targets, invalid) = parse_targets(&directives);
    let lines = layer().event_format(LineFormat).with_writer(std::io::stderr).with_ansi(false);
    tracing_subscriber::registry().with(targets).with(lines).try_init().map_err(|e| e.to_string())?;
    invalid.iter().for_each(|item| log::warn!("RUST_LOG: ignoring invalid directive {item}"));
    Ok(())
}

/// Parses levels by target, such as `debug` or `warn,meadowhold_courier::discovery=debug`. Also returns the invalid
/// items, which are ignored.
fn parse_targets(directives: &str) -> (Targets, Vec<&str>) {
    let items = directives.split(',').map(str::trim).filter(|item| !item.is_empty());
    let (valid, invalid): (Vec<&str>, Vec<&str>) = items.partition(|item| item.parse::<Targets>().is_ok());
    let targets = valid.join(",").parse().ok().filter(|_| !valid.is_empty());
    (targets.unwrap_or(Targets::new().with_default(LevelFilter::INFO)), invalid)
}

/// Formats a line of the log. The library's own format takes twice as long for records of the `log` crate, which nearly
/// all are: it rebuilds the metadata for each line and looks for spans.
struct LineFormat;

impl<S, N> FormatEvent<S, N> for LineFormat
where
    S: tracing_core::Subscriber + for<'a> LookupSpan<'a>,
    N: for<'a> FormatFields<'a> + 'static,
{
    fn format_event(
        &self,
        context: &FmtContext<'_, S, N>,
        mut to: Writer<'_>,
        event: &tracing_core::Event<'_>,
    ) -> FmtResult {
        let metadata = event.metadata();
        // Times before 1970 cannot be formatted.
        let now = humantime::format_rfc3339_micros(SystemTime::now().max(UNIX_EPOCH));
        write!(to, "[{now} {:<5} ", metadata.level().as_str())?;
        // The target of a record of the `log` crate; its message and its real target are fields.
        if metadata.target() == "log" {
            event.record(&mut SingleField("log.target", to.by_ref()));
            to.write_str("] ")?;
            event.record(&mut SingleField("message", to.by_ref()));
        } else {
            write!(to, "{}] ", metadata.target())?;
            context.format_fields(to.by_ref(), event)?;
        }
        writeln!(to)
    }
}

/// Writes only the field of this name.
struct SingleField<'a>(&'static str, Writer<'a>);

impl Visit for SingleField<'_> {
    fn record_debug(&mut self, field: &tracing_core::Field, value: &dyn Debug) {
        if field.name() == self.0 {
            // An error of the log itself cannot be reported.
            let _ = write!(self.1, "{value:?}");
        }
    }

    fn record_str(&mut self, field: &tracing_core::Field, value: &str) {
        if field.name() == self.0 {
            let _ = self.1.write_str(value);
        }
    }
}
