use super::{Fit, FitError, Kind, Point};

fn points(rows: &[(f64, f64)]) -> Vec<Point> {
    rows.iter().map(|&(size, value)| Point::new(size, value)).collect()
}

fn near(a: f64, b: f64) -> bool {
    (a - b).abs() <= 1e-9 * b.abs().max(1.0)
}

#[test]
fn a_straight_line_is_fitted_exactly() {
    for (slope, intercept) in [(2.5, 7.0), (-0.125, 40.0), (2_200.0, 3.4e6), (0.0, 12.0), (1e-6, 0.0)] {
        let row = |size: f64| Point::new(size, intercept + slope * size);
        let fit = Fit::linear(&[100.0, 1_000.0, 3_000.0, 10_000.0, 300_000.0].map(row)).unwrap();
        let Fit::Linear { slope: found, intercept: at_none, residual } = fit else { panic!("{fit:?}") };
        assert!(near(found, slope) && near(at_none, intercept), "{fit:?}");
        assert!(residual < 1e-6, "{fit:?}");
        assert!(near(fit.at(50_000.0), intercept + slope * 50_000.0));
    }
}

#[test]
fn points_off_the_line_are_fitted_by_least_squares() {
    // Calculated by hand: the means are 2 and 3, so the slope is (-1 * -2 + 1 * 1) / 2 and the errors are 0.5, 1 and 0.5.
    let fit = Fit::linear(&points(&[(1.0, 1.0), (2.0, 4.0), (3.0, 4.0)])).unwrap();
    let Fit::Linear { slope, intercept, residual } = fit else { panic!("{fit:?}") };
    assert!(near(slope, 1.5) && near(intercept, 0.0), "{fit:?}");
    let relative: [f64; 3] = [0.5 / 1.0, 1.0 / 4.0, 0.5 / 4.0];
    let expected = (relative.iter().map(|error| error * error).sum::<f64>() / 3.0).sqrt();
    assert!(near(residual, expected), "{fit:?}");
}

#[test]
fn an_exponent_is_fitted_over_several_decades() {
    for (exponent, scale) in [(1.0, 0.002), (2.0, 3.0), (0.5, 62.0), (-1.0, 9.0), (0.0, 4.0)] {
        let row = |size: f64| Point::new(size, scale * size.powf(exponent));
        let fit = Fit::power(&[10.0, 100.0, 1_000.0, 30_000.0].map(row)).unwrap();
        let Fit::Power { exponent: found, scale: at_one, residual } = fit else { panic!("{fit:?}") };
        assert!(near(found, exponent) && near(at_one, scale) && residual < 1e-9, "{fit:?}");
    }
}

#[test]
fn noise_of_ten_percent_changes_the_fit_by_less_than_five() {
    let mut random = fastrand::Rng::with_seed(7);
    let mut noisy = |value: f64| value * (0.9 + 0.2 * random.f64());
    let sizes: Vec<f64> = (1..200).map(|step| f64::from(step) * 50.0).collect();
    let linear: Vec<Point> = sizes.iter().map(|&size| Point::new(size, noisy(500.0 + 3.0 * size))).collect();
    let fit = Fit::linear(&linear).unwrap();
    let Fit::Linear { slope, .. } = fit else { panic!("{fit:?}") };
    assert!((slope / 3.0 - 1.0).abs() < 0.05, "{fit:?}");
    assert!((0.02..0.1).contains(&fit.residual()), "{fit:?}");
    let power: Vec<Point> = sizes.iter().map(|&size| Point::new(size, noisy(size.powf(1.5)))).collect();
    let fit = Fit::power(&power).unwrap();
    let Fit::Power { exponent, .. } = fit else { panic!("{fit:?}") };
    assert!((exponent - 1.5).abs() < 0.05 && (0.02..0.1).contains(&fit.residual()), "{fit:?}");
}

#[test]
fn points_that_cannot_be_fitted_are_rejected() {
    let rows: [(&[(f64, f64)], FitError); 6] = [
        (&[], FitError::TooFew),
        (&[(1.0, 1.0)], FitError::TooFew),
        (&[(5.0, 1.0), (5.0, 2.0), (5.0, 3.0)], FitError::OneSize),
        (&[(1.0, f64::NAN), (2.0, 2.0)], FitError::NotFinite),
        (&[(1.0, 1.0), (2.0, f64::INFINITY)], FitError::NotFinite),
        (&[(f64::NAN, 1.0), (2.0, 2.0)], FitError::NotFinite),
    ];
    for (rows, why) in rows {
        for kind in [Kind::Linear, Kind::Power] {
            assert_eq!(Fit::of(kind, &points(rows)), Err(why), "{kind:?} of {rows:?}");
        }
    }
}

#[test]
fn only_a_power_fit_requires_positive_points() {
    for rows in [
        [(0.0, 1.0), (2.0, 2.0)],
        [(1.0, 0.0), (2.0, 2.0)],
        [(1.0, -1.0), (2.0, 2.0)],
        [(-1.0, 1.0), (2.0, 2.0)],
    ] {
        assert_eq!(Fit::power(&points(&rows)), Err(FitError::NotPositive), "{rows:?}");
        assert!(Fit::linear(&points(&rows)).is_ok(), "{rows:?}");
    }
}

#[test]
fn errors_at_a_value_of_0_are_relative_to_the_largest_value() {
    let fit = Fit::linear(&points(&[(1.0, 0.0), (2.0, 0.0), (3.0, 0.0)])).unwrap();
    assert_eq!(fit.residual(), 0.0);
    // The line is 10/3, 4/3, -2/3. The errors 2/3, 4/3 and 2/3 are relative to the largest value where 0 was measured.
    let fit = Fit::linear(&points(&[(1.0, 4.0), (2.0, 0.0), (3.0, 0.0)])).unwrap();
    let relative: [f64; 3] = [2.0 / 3.0 / 4.0, 4.0 / 3.0 / 4.0, 2.0 / 3.0 / 4.0];
    let expected = (relative.iter().map(|error| error * error).sum::<f64>() / 3.0).sqrt();
    assert!(near(fit.residual(), expected), "{fit:?}");
}

#[test]
fn a_fit_is_serialized_with_its_kind() {
    let fit = Fit::linear(&points(&[(0.0, 1.0), (2.0, 5.0)])).unwrap();
    let written = serde_json::to_value(fit).unwrap();
    assert_eq!(written["kind"], "linear");
    assert_eq!((written["slope"].as_f64(), written["intercept"].as_f64()), (Some(2.0), Some(1.0)));
    let fit = Fit::power(&points(&[(1.0, 1.0), (2.0, 4.0)])).unwrap();
    assert_eq!(serde_json::to_value(fit).unwrap()["kind"], "power");
}
