//! Several sizes of one day, and how what is measured grows with the fleet.

use std::fmt;

use serde::Serialize;

use super::report::Report;
use crate::fit::{Fit, Point};

/// How one figure grows.
#[derive(Clone, Debug, Serialize)]
pub struct Slope {
    pub name: String,
    pub points: Vec<Point>,
    /// Of the logarithms: `value = scale x couriers ^ exponent`; none, with the reason, where no line can be put through.
    pub fit: Result<Fit, String>,
}

#[derive(Clone, Debug, Serialize)]
pub struct Series {
    pub slopes: Vec<Slope>,
    pub reports: Vec<Report>,
}

type Figure = fn(&Report) -> Option<f64>;

/// What is fitted; phases that were not run have no figure.
const FIGURES: [(&str, Figure); 8] = [
    ("core of a hollow courier at rest", |r| Some(r.phase("rest")?.hollow.core)),
    ("core of a hollow courier with changes", |r| Some(r.phase("changes")?.hollow.core)),
    ("core of a real courier with changes", |r| Some(r.phase("changes")?.real.core)),
    ("resident bytes of a hollow courier", |r| Some(r.phase("changes")?.hollow.resident)),
    ("bytes a second from the source to a hollow one", |r| Some(r.phase("changes")?.hollow.from_source)),
    ("datagrams a second of a courier at rest", |r| Some(r.phase("rest")?.datagrams)),
    ("core of the source with changes", |r| Some(r.phase("changes")?.source_core)),
    ("seconds until in force at the last", |r| r.phase("changes")?.in_force.last_s),
];

impl Series {
    pub fn new(reports: Vec<Report>) -> Series {
        let slopes = FIGURES.iter().map(|(name, figure)| {
            let points =
                reports.iter().filter_map(|report| Some(Point::new(report.couriers as f64, figure(report)?)));
            let points: Vec<Point> = points.collect();
            let fit = Fit::power(&points).map_err(|e| e.to_string());
            Slope { name: name.to_string(), points, fit }
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
        for slope in &self.slopes {
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
    use crate::scale::report::Phase;

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
        let refused = report(1300, &[]);
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
        // What was 0 throughout has no exponent, and is said so.
        assert_eq!(exponent("core of the source with changes"), None);
        assert!(series.to_string().contains("no fit: a point at or below 0 has no logarithm"), "{series}");
    }
}
