//! Charts of one day. Each is drawn by one function that is generic over the backend: SVG or PNG.

use std::path::Path;
use std::sync::Once;

use meadowhold_emulator::figures::{importance_by_arrival, latencies};
use meadowhold_emulator::scenario::What;
use meadowhold_emulator::series::Sample;
use meadowhold_emulator::world::RunResult;
use plotters::coord::Shift;
use plotters::prelude::*;

use crate::load::CommandError;

const SIZE: (u32, u32) = (960, 360);
const COLOURS: [RGBColor; 8] = [
    RGBColor(31, 119, 180),
    RGBColor(214, 94, 0),
    RGBColor(44, 140, 60),
    RGBColor(180, 60, 140),
    RGBColor(120, 100, 200),
    RGBColor(130, 90, 70),
    RGBColor(90, 90, 90),
    RGBColor(0, 150, 160),
];
const TROUBLE_SHADE: RGBColor = RGBColor(250, 220, 200);

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Chart {
    Importance,
    Holds,
    Caps,
    Standings,
    Latency,
}

impl Chart {
    pub const ALL: [(Chart, &'static str); 5] = [
        (Chart::Importance, "importance"),
        (Chart::Holds, "holds"),
        (Chart::Caps, "caps"),
        (Chart::Standings, "standings"),
        (Chart::Latency, "latency"),
    ];

    fn title(self) -> &'static str {
        match self {
            Chart::Importance => "Importance asked for and delivered, by the second of the first try",
            Chart::Holds => "Mails in hand and calls out, all couriers",
            Chart::Caps => "Calls out, caps, and calls that the partner can serve at once (largest partners)",
            Chart::Standings => "Endpoints by standing, as the couriers hold them (largest partners)",
            Chart::Latency => "Share of relayed mails answered within a time, by queue class",
        }
    }
}

type ChartError = Box<dyn std::error::Error>;

/// Registers the embedded font: the `ab_glyph` feature of plotters draws text in registered fonts only.
fn register_font() {
    static ONCE: Once = Once::new();
    ONCE.call_once(|| {
        let face = epaint_default_fonts::UBUNTU_LIGHT;
        // Charts without labels are better than none, so an error is ignored.
        let _ = plotters::style::register_font("sans-serif", FontStyle::Normal, face);
    });
}

pub fn svg(chart: Chart, ended: &RunResult) -> Result<String, CommandError> {
    register_font();
    let mut text = String::new();
    {
        let area = SVGBackend::with_string(&mut text, SIZE).into_drawing_area();
        draw(chart, ended, &area).map_err(|e| CommandError::new(format!("cannot draw a chart: {e}")))?;
    }
    Ok(text)
}

pub fn png(chart: Chart, ended: &RunResult, path: &Path) -> Result<(), CommandError> {
    register_font();
    let area = BitMapBackend::new(path, SIZE).into_drawing_area();
    draw(chart, ended, &area).map_err(|e| CommandError::new(format!("{}: {e}", path.display())))
}

fn draw<B: DrawingBackend>(
    chart: Chart,
    ended: &RunResult,
    area: &DrawingArea<B, Shift>,
) -> Result<(), ChartError>
where
    B::ErrorType: 'static,
{
    area.fill(&WHITE)?;
    match chart {
        Chart::Importance => importance(ended, area)?,
        Chart::Holds => holds(ended, area)?,
        Chart::Caps => caps(ended, area)?,
        Chart::Standings => standings(ended, area)?,
        Chart::Latency => latency(ended, area)?,
    }
    area.present()?;
    Ok(())
}

fn day_seconds(ended: &RunResult) -> f64 {
    ended.day.length as f64 / 10_000.0
}

/// Returns start and end in seconds, and the name, of each trouble.
fn trouble_spans(ended: &RunResult) -> Vec<(f64, f64, String)> {
    let name = |what: What| format!("{what:?}").to_lowercase();
    let seconds = |t: u64| t as f64 / 10_000.0;
    ended.day.troubles.iter().map(|t| (seconds(t.from), seconds(t.until), name(t.what))).collect()
}

/// One line of a time chart, as points of seconds and value.
struct Line {
    name: String,
    points: Vec<(f64, f64)>,
}

fn time_chart<B: DrawingBackend>(
    ended: &RunResult,
    area: &DrawingArea<B, Shift>,
    (title, unit): (&str, &str),
    lines: &[Line],
) -> Result<(), ChartError>
where
    B::ErrorType: 'static,
{
    let top = lines.iter().flat_map(|l| l.points.iter().map(|p| p.1)).fold(1.0, f64::max) * 1.1;
    let mut chart = ChartBuilder::on(area)
        .caption(title, ("sans-serif", 17))
        .margin(10)
        .x_label_area_size(32)
        .y_label_area_size(50)
        .build_cartesian_2d(0.0..day_seconds(ended), 0.0..top)?;
    let shaded = trouble_spans(ended);
    chart.draw_series(shaded.iter().map(|(from, until, _)| {
        Rectangle::new([(*from, 0.0), (until.min(day_seconds(ended)), top)], TROUBLE_SHADE.mix(0.6).filled())
    }))?;
    chart.configure_mesh().x_desc("seconds").y_desc(unit).label_style(("sans-serif", 13)).draw()?;
    chart.draw_series(shaded.iter().enumerate().map(|(i, (from, _, name))| {
        let at = (*from, top * (0.98 - 0.06 * (i % 4) as f64));
        Text::new(name.clone(), at, ("sans-serif", 13).into_font())
    }))?;
    for (i, line) in lines.iter().enumerate() {
        let colour = COLOURS[i % COLOURS.len()];
        chart
            .draw_series(LineSeries::new(line.points.iter().copied(), colour.stroke_width(2)))?
            .label(line.name.clone())
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 14, y)], colour.stroke_width(2)));
    }
    chart
        .configure_series_labels()
        .background_style(WHITE.mix(0.85))
        .border_style(BLACK.mix(0.3))
        .label_font(("sans-serif", 13))
        .position(SeriesLabelPosition::UpperRight)
        .draw()?;
    Ok(())
}

fn importance<B: DrawingBackend>(ended: &RunResult, area: &DrawingArea<B, Shift>) -> Result<(), ChartError>
where
    B::ErrorType: 'static,
{
    let bins = importance_by_arrival(&ended.day, &ended.mails);
    let seconds: Vec<(f64, f64)> = bins
        .chunks_exact(10)
        .map(|second| second.iter().fold((0.0, 0.0), |sum, bin| (sum.0 + bin.0, sum.1 + bin.1)))
        .collect();
    let line = |name: &str, of: &dyn Fn(&(f64, f64)) -> f64| Line {
        name: name.into(),
        points: seconds.iter().enumerate().map(|(i, bin)| (i as f64 + 0.5, of(bin))).collect(),
    };
    let lines = [line("asked for", &|bin| bin.0), line("delivered", &|bin| bin.1)];
    time_chart(ended, area, (Chart::Importance.title(), "importance a second"), &lines)
}

fn sampled_line(ended: &RunResult, name: &str, of: impl Fn(&Sample) -> f64) -> Line {
    let points = ended.samples.iter().map(|s| (s.at as f64 / 10_000.0, of(s))).collect();
    Line { name: name.to_string(), points }
}

fn holds<B: DrawingBackend>(ended: &RunResult, area: &DrawingArea<B, Shift>) -> Result<(), ChartError>
where
    B::ErrorType: 'static,
{
    let lines = [
        sampled_line(ended, "mails in hand", |s| s.open as f64),
        sampled_line(ended, "calls out", |s| s.out as f64),
        sampled_line(ended, "couriers alive", |s| s.alive as f64),
    ];
    time_chart(ended, area, (Chart::Holds.title(), "count"), &lines)
}

fn caps<B: DrawingBackend>(ended: &RunResult, area: &DrawingArea<B, Shift>) -> Result<(), ChartError>
where
    B::ErrorType: 'static,
{
    let shown = ended.day.destinations.len().min(2);
    let mut lines = Vec::new();
    for destination in 0..shown {
        let mean = ended.day.mean_service(destination) / 10_000.0;
        let of = |s: &Sample, get: &dyn Fn(&meadowhold_emulator::series::DestinationSample) -> f64| {
            s.dests.get(destination).map_or(0.0, get)
        };
        lines.push(sampled_line(ended, &format!("partner {destination}: out"), |s| of(s, &|d| d.out as f64)));
        lines
            .push(sampled_line(ended, &format!("partner {destination}: caps"), |s| of(s, &|d| d.cap as f64)));
        lines.push(sampled_line(ended, &format!("partner {destination}: can serve"), |s| {
            of(s, &|d| d.capacity * mean)
        }));
        lines.push(sampled_line(ended, &format!("partner {destination}: parked"), |s| {
            of(s, &|d| d.parked as f64)
        }));
    }
    time_chart(ended, area, (Chart::Caps.title(), "calls, mails"), &lines)
}

fn standings<B: DrawingBackend>(ended: &RunResult, area: &DrawingArea<B, Shift>) -> Result<(), ChartError>
where
    B::ErrorType: 'static,
{
    let names = ["well", "doubted", "down", "returning"];
    let colours = [COLOURS[2], RGBColor(240, 190, 60), RGBColor(200, 50, 50), COLOURS[0]];
    let sums: Vec<(f64, [f64; 4])> = ended
        .samples
        .iter()
        .map(|s| {
            let mut sum = [0.0; 4];
            for destination in &s.dests {
                sum.iter_mut().zip(destination.standings).for_each(|(sum, part)| *sum += part as f64);
            }
            (s.at as f64 / 10_000.0, sum)
        })
        .collect();
    let top = sums.iter().map(|(_, sum)| sum.iter().sum::<f64>()).fold(1.0, f64::max);
    let mut chart = ChartBuilder::on(area)
        .caption(Chart::Standings.title(), ("sans-serif", 17))
        .margin(10)
        .x_label_area_size(32)
        .y_label_area_size(50)
        .build_cartesian_2d(0.0..day_seconds(ended), 0.0..top * 1.05)?;
    chart.configure_mesh().x_desc("seconds").y_desc("endpoints x couriers").draw()?;
    // Draws the bands from the largest sum to the smallest, so that each covers all but the top part of the one
    // before.
    for band in (0..4).rev() {
        let stacked = |sum: &[f64; 4]| sum[..=band].iter().sum::<f64>();
        let points: Vec<(f64, f64)> = sums.iter().map(|(at, sum)| (*at, stacked(sum))).collect();
        let colour = colours[band];
        chart
            .draw_series(AreaSeries::new(points, 0.0, colour.filled()))?
            .label(names[band])
            .legend(move |(x, y)| Rectangle::new([(x, y - 5), (x + 12, y + 5)], colour.filled()));
    }
    for (from, until, _) in trouble_spans(ended) {
        for at in [from, until.min(day_seconds(ended))] {
            let edge = [(at, 0.0), (at, top * 1.05)];
            chart.draw_series(LineSeries::new(edge, BLACK.mix(0.6)))?;
        }
    }
    chart.configure_series_labels().background_style(WHITE.mix(0.85)).border_style(BLACK.mix(0.3)).draw()?;
    Ok(())
}

fn latency<B: DrawingBackend>(ended: &RunResult, area: &DrawingArea<B, Shift>) -> Result<(), ChartError>
where
    B::ErrorType: 'static,
{
    let histograms: Vec<_> = (0..ended.day.classes.len()).map(|c| latencies(&ended.mails, c)).collect();
    let longest = histograms.iter().map(|h| h.max()).max().unwrap_or(1).max(10) as f64;
    let mut chart = ChartBuilder::on(area)
        .caption(Chart::Latency.title(), ("sans-serif", 17))
        .margin(10)
        .x_label_area_size(32)
        .y_label_area_size(50)
        .build_cartesian_2d((10.0..longest).log_scale(), 0.0..1.0)?;
    chart.configure_mesh().x_desc("milliseconds").y_desc("share").draw()?;
    for (i, (class, histogram)) in ended.day.classes.iter().zip(&histograms).enumerate() {
        let all = histogram.len().max(1) as f64;
        let mut sum = 0;
        let points: Vec<(f64, f64)> = histogram
            .iter_recorded()
            .map(|step| {
                sum += step.count_at_value();
                (step.value_iterated_to().max(10) as f64, sum as f64 / all)
            })
            .collect();
        let colour = COLOURS[i % COLOURS.len()];
        chart
            .draw_series(LineSeries::new(points, colour.stroke_width(2)))?
            .label(class.name.clone())
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 14, y)], colour.stroke_width(2)));
        // A vertical line at the target delay of the class, by which its curve should have reached the top.
        let target = (class.settings.target_delay as f64 / 10.0).max(10.0);
        chart.draw_series(LineSeries::new([(target, 0.0), (target, 1.0)], colour.mix(0.4)))?;
    }
    chart
        .configure_series_labels()
        .background_style(WHITE.mix(0.85))
        .border_style(BLACK.mix(0.3))
        .position(SeriesLabelPosition::LowerRight)
        .draw()?;
    Ok(())
}
