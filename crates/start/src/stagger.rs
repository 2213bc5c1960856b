//! Derives a courier's position among all couriers from its name alone, so that their actions can be staggered
//! without coordination.

/// Fractional part of the golden ratio. Its first n multiples modulo 1 are nearly evenly spread for every n, so
/// consecutively numbered names get evenly spread positions.
const GOLDEN_FRACTION: f64 = 0.618_033_988_749_894_9;

/// The position of a courier in 0..1. Names that end in a number (`n0`, `n1`, ...) are spread evenly; others get
/// a pseudo-random position that is the same each time.
pub fn position(name: &str) -> f64 {
    let stem = name.trim_end_matches(|c: char| c.is_ascii_digit());
    // A number that does not fit into 32 bits is an id rather than a count.
    let count = name[stem.len()..].parse::<u32>();
    let base = hash_fraction(stem);
    count.map_or_else(|_| hash_fraction(name), |count| (base + f64::from(count) * GOLDEN_FRACTION).fract())
}

/// Rotates a position by the hash of `by`, so that a courier that is early for one purpose may be late for
/// another. All positions are rotated alike, so evenly spread ones stay so.
pub fn rotated(position: f64, by: &[u8]) -> f64 {
    (position + f64::from(crc32fast::hash(by)) / 4_294_967_296.0).fract()
}

fn hash_fraction(text: &str) -> f64 {
    f64::from(crc32fast::hash(text.as_bytes())) / 4_294_967_296.0
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn numbered_names_are_spread_evenly_also_after_a_rotation() {
        for couriers in [10, 60, 300, 1000] {
            let positions: Vec<f64> =
                (0..couriers).map(|i| rotated(position(&format!("n{i}")), b"x")).collect();
            for tenth in 0..10 {
                let (from, to) = (f64::from(tenth) / 10.0, f64::from(tenth + 1) / 10.0);
                let there = positions.iter().filter(|&&p| p >= from && p < to).count() as f64;
                let even = f64::from(couriers) / 10.0;
                assert!((there - even).abs() <= 3.0, "{couriers} couriers, tenth {tenth}: {there}");
            }
        }
    }

    #[test]
    fn every_name_has_a_position() {
        for name in ["", "n", "7", "n3", "courier-99999999999999999999", "\u{e9}t\u{e9}4"] {
            let p = position(name);
            assert!((0.0..1.0).contains(&p), "{name}: {p}");
            assert_eq!(p, position(name));
        }
        assert_ne!(position("a1"), position("a2"));
    }
}
