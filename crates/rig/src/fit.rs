//! Least-squares fits: a straight line through the points, or through their logarithms for a power law.

use std::fmt;

use serde::Serialize;

/// One measured point; the units are those of its slope.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Point {
    pub size: f64,
    pub value: f64,
}

impl Point {
    pub fn new(size: f64, value: f64) -> Point {
        Point { size, value }
    }
}

/// The model that is fitted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// `value = intercept + slope * size`.
    Linear,
    /// `value = scale * size ^ exponent`, fitted on the logarithms of both.
    Power,
}

/// A fitted model. The residual is the root mean square of the points' relative errors. Each error is relative to the
/// measured value, or to the largest measured value where that is 0.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum Fit {
    /// `slope` in units of value per unit of size, `intercept` in units of value.
    Linear { slope: f64, intercept: f64, residual: f64 },
    /// `exponent` has no unit; `scale` is the value at size 1.
    Power { exponent: f64, scale: f64, residual: f64 },
}

/// Why points cannot be fitted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FitError {
    /// Fewer than two points.
    TooFew,
    /// All points have the same size.
    OneSize,
    /// A coordinate is NaN or infinite.
    NotFinite,
    /// A coordinate is 0 or negative and has no logarithm.
    NotPositive,
}

impl fmt::Display for FitError {
    fn fmt(&self, out: &mut fmt::Formatter) -> fmt::Result {
        out.write_str(match self {
            FitError::TooFew => "fewer than two points",
            FitError::OneSize => "all points are of one size",
            FitError::NotFinite => "a point is not a finite number",
            FitError::NotPositive => "a point at or below 0 has no logarithm",
        })
    }
}

impl std::error::Error for FitError {}

impl Fit {
    /// Fits the points with the given model.
    ///
    /// # Errors
    /// If the points cannot be fitted with it.
    pub fn of(kind: Kind, points: &[Point]) -> Result<Fit, FitError> {
        match kind {
            Kind::Linear => Fit::linear(points),
            Kind::Power => Fit::power(points),
        }
    }

    /// Fits `value = intercept + slope * size`.
    ///
    /// # Errors
    /// If there are fewer than two points, all have the same size, or any is not finite.
    pub fn linear(points: &[Point]) -> Result<Fit, FitError> {
        let (slope, intercept) = line(points)?;
        let residual = residual(points, |size| intercept + slope * size);
        Ok(Fit::Linear { slope, intercept, residual })
    }

    /// Fits `value = scale * size ^ exponent`.
    ///
    /// # Errors
    /// As for a linear fit, and if any size or value is 0 or negative.
    pub fn power(points: &[Point]) -> Result<Fit, FitError> {
        if points.iter().any(|point| point.size <= 0.0 || point.value <= 0.0) {
            return Err(FitError::NotPositive);
        }
        let logs: Vec<Point> = points.iter().map(|p| Point::new(p.size.ln(), p.value.ln())).collect();
        let (exponent, log_scale) = line(&logs)?;
        let residual = residual(points, |size| (log_scale + exponent * size.ln()).exp());
        Ok(Fit::Power { exponent, scale: log_scale.exp(), residual })
    }

    /// The value that the fit predicts at a size.
    pub fn at(&self, size: f64) -> f64 {
        match *self {
            Fit::Linear { slope, intercept, .. } => intercept + slope * size,
            Fit::Power { exponent, scale, .. } => scale * size.powf(exponent),
        }
    }

    pub fn residual(&self) -> f64 {
        match *self {
            Fit::Linear { residual, .. } | Fit::Power { residual, .. } => residual,
        }
    }
}

/// Slope and intercept by least squares. Sums are taken about the means, so that large sizes lose no precision.
fn line(points: &[Point]) -> Result<(f64, f64), FitError> {
    if points.len() < 2 {
        return Err(FitError::TooFew);
    }
    if points.iter().any(|point| !point.size.is_finite() || !point.value.is_finite()) {
        return Err(FitError::NotFinite);
    }
    if points.iter().all(|point| point.size == points[0].size) {
        return Err(FitError::OneSize);
    }
    let count = points.len() as f64;
    let size = points.iter().map(|point| point.size).sum::<f64>() / count;
    let value = points.iter().map(|point| point.value).sum::<f64>() / count;
    let spread: f64 = points.iter().map(|point| (point.size - size).powi(2)).sum();
    let shared: f64 = points.iter().map(|point| (point.size - size) * (point.value - value)).sum();
    let slope = shared / spread;
    Ok((slope, value - slope * size))
}

fn residual(points: &[Point], at: impl Fn(f64) -> f64) -> f64 {
    let largest = points.iter().map(|point| point.value.abs()).fold(0.0, f64::max);
    let square = |point: &Point| {
        let error = at(point.size) - point.value;
        let base = if point.value == 0.0 { largest } else { point.value };
        // All measured values are 0, and so is the fit.
        if base == 0.0 {
            0.0
        } else {
            (error / base).powi(2)
        }
    };
    (points.iter().map(square).sum::<f64>() / points.len() as f64).sqrt()
}

#[cfg(test)]
mod tests;
