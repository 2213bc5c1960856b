//! Random streams. Each purpose, and each item within it, has a stream that depends only on the seed. A
//! decider's actions therefore do not change the draws of a day, and two deciders are compared on the same
//! day.

use rand::{RngExt, SeedableRng};
use rand_distr::{Distribution, Exp1, LogNormal};
use rand_pcg::Pcg64Mcg;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// What a stream is used for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Purpose {
    Figures,
    Destination,
    Trouble,
    Arrivals,
    Mail,
    Front,
    Service,
    Network,
    Answer,
    List,
    Decider,
}

pub struct Stream(Pcg64Mcg);

impl Stream {
    pub fn new(seed: u64, purpose: Purpose, index: u64) -> Stream {
        let mut name = [0; 16];
        name[..8].copy_from_slice(&(purpose as u64).to_le_bytes());
        name[8..].copy_from_slice(&index.to_le_bytes());
        Stream(Pcg64Mcg::seed_from_u64(xxh3_64_with_seed(&name, seed)))
    }

    /// Uniform in [0, 1).
    pub fn unit(&mut self) -> f64 {
        self.0.random::<f64>()
    }

    pub fn number(&mut self) -> u64 {
        self.0.random::<u64>()
    }

    /// Uniform in `0..count`; `count` must be at least one.
    pub fn below(&mut self, count: usize) -> usize {
        self.0.random_range(0..count)
    }

    pub fn chance(&mut self, share: f64) -> bool {
        share > 0.0 && self.unit() < share
    }

    pub fn between(&mut self, low: f64, high: f64) -> f64 {
        low + (high - low) * self.unit()
    }

    /// Exponentially distributed with mean one.
    pub fn exponential(&mut self) -> f64 {
        Exp1.sample(&mut self.0)
    }

    /// Lognormal with mean one and this coefficient of variation.
    pub fn lognormal(&mut self, ratio: f64) -> f64 {
        if ratio <= 0.0 {
            return 1.0;
        }
        let variance = (1.0 + ratio * ratio).ln();
        LogNormal::new(-variance / 2.0, variance.sqrt()).map_or(1.0, |d| d.sample(&mut self.0))
    }

    pub fn shuffle<T>(&mut self, items: &mut [T]) {
        for i in (1..items.len()).rev() {
            items.swap(i, self.below(i + 1));
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn streams_are_stable_and_apart() {
        let first = |purpose, index| Stream::new(7, purpose, index).number();
        assert_eq!(first(Purpose::Mail, 3), first(Purpose::Mail, 3));
        assert_ne!(first(Purpose::Mail, 3), first(Purpose::Mail, 4));
        assert_ne!(first(Purpose::Mail, 3), first(Purpose::Front, 3));
    }

    #[test]
    fn lognormal_has_mean_one() {
        let mut stream = Stream::new(1, Purpose::Service, 0);
        for ratio in [0.0, 0.3, 1.0] {
            let mean = (0..20_000).map(|_| stream.lognormal(ratio)).sum::<f64>() / 20_000.0;
            assert!((mean - 1.0).abs() < 0.04, "{ratio}: {mean}");
        }
    }
}
