//! Runs of one day at several fleet sizes, and how the measured values grow with the size.

use std::fmt;

use serde::Serialize;

use super::report::{Phase, Report};
use crate::fit::{Fit, Point};

/// Growth of one figure with the number of couriers.
#[derive(Clone, Debug, Serialize)]
pub struct Slope {
    pub name: String,
    /// The unit of the values; sizes are numbers of couriers.
    pub unit: String,
    pub points: Vec<Point>,
    /// Power law fitted to the logarithms, `value = scale x couriers ^ exponent`, or the reason why none can be fitted.
    #[serde(serialize_with = "plainly")]
    pub fit: Result<Fit, String>,
    /// The largest size that has a value, and why there is none for larger sizes.
    pub largest: f64,
    pub stopped_by: String,
}

/// Serializes the fit, or the reason in its place.
fn plainly<S: serde::Serializer>(fit: &Result<Fit, String>, to: S) -> Result<S::Ok, S::Error> {
    match fit {
        Ok(fit) => fit.serialize(to),
        Err(words) => words.serialize(to),
    }
}

#[derive(Clone, Debug, Serialize)]
pub struct Series {
    pub slopes: Vec<Slope>,
    pub reports: Vec<Report>,
}

type Figure = fn(&Report) -> Option<f64>;

/// Fitted figures: name, unit and value. Phases that were not run have no value.
const FIGURES: [(&str, &str, Figure); 13] = [
    ("core of a hollow courier at rest", "of a core", |r| Some(r.phase("rest")?.hollow.core)),
    ("core of a hollow courier with changes", "of a core", |r| Some(r.phase("changes")?.hollow.core)),
    ("core of a real courier with changes", "of a core", |r| Some(r.phase("changes")?.real.core)),
    ("resident bytes of a hollow courier", "bytes", |r| Some(r.phase("changes")?.hollow.resident)),
    ("bytes a second to a hollow courier", "bytes a second", |r| {
        Some(r.phase("changes")?.hollow.from_source)
    }),
    ("datagrams a second of a courier at rest", "a second", |r| Some(r.phase("rest")?.datagrams)),
    ("core of the source with changes", "of a core", |r| Some(r.phase("changes")?.source_core)),
    ("seconds until in force at the last", "s", |r| r.phase("changes")?.in_force.last_s),
    ("core of a relay at rest", "of a core", |r| of_relay(r, "rest", |p| p.relay.core)),
    ("core of a relay with changes", "of a core", |r| of_relay(r, "changes", |p| p.relay.core)),
    ("resident bytes of a relay", "bytes", |r| of_relay(r, "changes", |p| p.relay.resident)),
    ("bytes a second to a relay", "bytes a second", |r| of_relay(r, "changes", |p| p.relay.from_source)),
    ("bytes a second from a relay", "bytes a second", |r| of_relay(r, "changes", |p| p.followed[1])),
];

fn of_relay(report: &Report, phase: &str, figure: fn(&Phase) -> f64) -> Option<f64> {
    report.phase(phase).filter(|_| report.relays > 0).map(figure)
}

impl Series {
    pub fn new(reports: Vec<Report>) -> Series {
        let slopes = FIGURES.iter().map(|(name, unit, figure)| {
            let points =
                reports.iter().filter_map(|report| Some(Point::new(report.couriers as f64, figure(report)?)));
            let points: Vec<Point> = points.collect();
            let fit = Fit::power(&points).map_err(|e| e.to_string());
            let last = points.last().map_or(0.0, |point| point.size);
            let beyond = reports.iter().find(|report| report.couriers as f64 > last);
            let stopped_by = beyond.map_or("the largest size that was asked for".to_string(), |report| {
                report.refused.clone().unwrap_or(format!("no figure at {}", report.couriers))
            });
            let (name, unit) = (name.to_string(), unit.to_string());
            Slope { name, unit, points, fit, largest: last, stopped_by }
        });
        Series { slopes: slopes.collect(), reports }
    }

    pub fn kept(&self) -> bool {
        self.reports.iter().all(Report::kept)
    }
}

impl fmt::Display for Series {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        writeln!(f, "grows with the couriers' number to the power of")?;
        for slope in self.slopes.iter().filter(|slope| !slope.points.is_empty()) {
            let values: Vec<String> =
                slope.points.iter().map(|point| format!("{}: {:.4e}", point.size, point.value)).collect();
            match &slope.fit {
                Ok(Fit::Power { exponent, residual, .. }) => {
                    write!(f, "{:<48} {exponent:>6.2} (residual {residual:.2})", slope.name)?;
                }
                Ok(fit) => write!(f, "{:<48} {fit:?}", slope.name)?,
                Err(words) => write!(f, "{:<48} no fit: {words}", slope.name)?,
            }
            writeln!(f, "   {}", values.join(", "))?;
        }
        Ok(())
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn report(couriers: usize, phases: &[(&str, f64)]) -> Report {
        let phase = |&(name, core): &(&str, f64)| {
            let mut phase = Phase { name: name.to_string(), ..Phase::default() };
            phase.hollow.core = core;
            phase
        };
        Report { couriers, phases: phases.iter().map(phase).collect(), ..Report::default() }
    }

    #[test]
    fn figures_are_fitted_over_the_sizes_that_have_them() {
        let sizes = [100, 300, 650];
        let reports = sizes.map(|n| report(n, &[("rest", 1e-4 * n as f64), ("changes", 5e-4)]));
        let refused = Report { refused: Some("too long".to_string()), ..report(1300, &[]) };
        let series = Series::new([reports.to_vec(), vec![refused]].concat());
        let exponent = |name: &str| {
            let slope = series.slopes.iter().find(|slope| slope.name == name).unwrap();
            assert_eq!(slope.points.len(), 3, "{name}");
            match slope.fit {
                Ok(Fit::Power { exponent, .. }) => Some((exponent * 1e6).round() / 1e6),
                _ => None,
            }
        };
        assert_eq!(exponent("core of a hollow courier at rest"), Some(1.0));
        assert_eq!(exponent("core of a hollow courier with changes"), Some(0.0));
        assert_eq!((series.slopes[0].largest, series.slopes[0].stopped_by.as_str()), (650.0, "too long"));
        // Without relays, the figures of relays have no points.
        let mut of_relays = series.slopes.iter().filter(|slope| slope.name.contains("relay"));
        assert!(of_relays.clone().count() == 5 && of_relays.all(|slope| slope.points.is_empty()));
        let json = serde_json::to_value(&series).unwrap();
        assert_eq!(json["slopes"][0]["fit"]["kind"], "power", "{json}");
        // A figure that is 0 throughout has no exponent, and the table gives the reason.
        assert_eq!(exponent("core of the source with changes"), None);
        assert!(series.to_string().contains("no fit: a point at or below 0 has no logarithm"), "{series}");
    }
}
