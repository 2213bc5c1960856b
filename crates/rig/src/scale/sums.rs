//! Cumulative resource use by process, and the average use of a courier of each role between two such samples.

use std::sync::Arc;

use serde::Serialize;

use super::gauge::{self, ResourceUse};
use crate::relay::PassedBytes;

/// Cumulative totals at one moment; lists are indexed by courier process unless noted.
#[derive(Clone, Debug, Default)]
pub struct ResourceTotals {
    /// Microseconds since the start of the run.
    pub at: u64,
    /// Processor time in seconds, summed over restarts of the process.
    pub processor_s: Vec<f64>,
    pub resident: Vec<u64>,
    /// Bytes to and from the provider of the list, which is the source or a relay.
    pub passed: Vec<[u64; 2]>,
    /// Bytes from and to the followers of a relay, by relay.
    pub followed: Vec<[u64; 2]>,
    pub source_s: f64,
    pub own_s: f64,
    pub own_resident: u64,
    /// UDP datagrams sent by the whole machine.
    pub datagrams: u64,
}

/// Samples resource use and carries the totals over restarts of a process.
pub struct ResourceSampler {
    last: Vec<Option<(u32, ResourceUse)>>,
    /// The links to the provider of the list, by process; `followers` has those to a relay's followers, by relay.
    links: Vec<Vec<Arc<PassedBytes>>>,
    followers: Vec<Vec<Arc<PassedBytes>>>,
    source: i32,
    pub sums: ResourceTotals,
}

impl ResourceSampler {
    pub fn new(
        links: Vec<Vec<Arc<PassedBytes>>>,
        followers: Vec<Vec<Arc<PassedBytes>>>,
        source: i32,
    ) -> ResourceSampler {
        let many = links.len();
        let sums = ResourceTotals {
            processor_s: vec![0.0; many],
            resident: vec![0; many],
            passed: vec![[0; 2]; many],
            followed: vec![[0; 2]; followers.len()],
            ..ResourceTotals::default()
        };
        ResourceSampler { last: vec![None; many], links, followers, source, sums }
    }

    /// Takes a sample; `ids` are the processes that run now. Use between the last sample of a process and its end is
    /// not counted.
    pub fn sample(&mut self, at: u64, ids: &[Option<u32>]) -> &ResourceTotals {
        self.sums.at = at;
        for (number, &id) in ids.iter().enumerate() {
            let now = id.and_then(|id| Some((id, gauge::of_process(id)?)));
            self.record(number, now);
        }
        let of = |links: &Vec<Arc<PassedBytes>>| {
            links
                .iter()
                .map(|link| link.both())
                .fold([0; 2], |sum, both| [sum[0] + both[0], sum[1] + both[1]])
        };
        self.sums.passed = self.links.iter().map(of).collect();
        self.sums.followed = self.followers.iter().map(of).collect();
        self.sums.source_s =
            gauge::of_thread(self.source).map_or(self.sums.source_s, |taken| taken.processor_s);
        let own = gauge::of_self();
        (self.sums.own_s, self.sums.own_resident) = (own.processor_s, own.resident);
        self.sums.datagrams = gauge::datagrams();
        &self.sums
    }

    fn record(&mut self, number: usize, now: Option<(u32, ResourceUse)>) {
        let before = match (self.last[number], now) {
            (Some((was, taken)), Some((is, _))) if was == is => taken.processor_s,
            _ => 0.0,
        };
        if let Some((_, taken)) = now {
            self.sums.processor_s[number] += (taken.processor_s - before).max(0.0);
        }
        self.sums.resident[number] = now.map_or(0, |(_, taken)| taken.resident);
        self.last[number] = now;
    }

    /// Resident bytes of couriers, relays and this process.
    pub fn resident(&self) -> u64 {
        self.sums.resident.iter().sum::<u64>() + self.sums.own_resident
    }
}

/// Average resource use of one courier of a role, or of one relay.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Each {
    pub couriers: usize,
    /// Processor use as a fraction of one core.
    pub core: f64,
    /// Resident bytes at the end of the interval.
    pub resident: f64,
    /// Bytes per second to and from the source.
    pub to_source: f64,
    pub from_source: f64,
}

/// `processes`: the numbers of the role's processes; `couriers`: the number of couriers in them.
pub fn each(from: &ResourceTotals, to: &ResourceTotals, processes: &[usize], couriers: usize) -> Each {
    let seconds = (to.at.saturating_sub(from.at)) as f64 / 1e6;
    let sum = |of: &dyn Fn(usize) -> f64| processes.iter().map(|&number| of(number)).sum::<f64>();
    let part = |value: f64, by: f64| if by > 0.0 { value / by } else { 0.0 };
    let many = couriers as f64;
    let bytes = |way: usize| sum(&|i| (to.passed[i][way] - from.passed[i][way]) as f64);
    Each {
        couriers,
        core: part(sum(&|i| to.processor_s[i] - from.processor_s[i]), seconds * many),
        resident: part(sum(&|i| to.resident[i] as f64), many),
        to_source: part(bytes(0), seconds * many),
        from_source: part(bytes(1), seconds * many),
    }
}

/// Average bytes per second of one relay, from its followers and to them.
pub fn follower_rates(from: &ResourceTotals, to: &ResourceTotals) -> [f64; 2] {
    let seconds = (to.at.saturating_sub(from.at)) as f64 / 1e6;
    let many = to.followed.len();
    let bytes = |way: usize| {
        let all = to.followed.iter().zip(&from.followed).map(|(to, from)| (to[way] - from[way]) as f64);
        if many > 0 && seconds > 0.0 {
            all.sum::<f64>() / seconds / many as f64
        } else {
            0.0
        }
    };
    [bytes(0), bytes(1)]
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn resource_use_is_summed_over_a_restart() {
        let mut sampler = ResourceSampler::new(vec![Vec::new(), Vec::new()], Vec::new(), 0);
        let taken = |processor_s, resident| ResourceUse { processor_s, resident, started: 0 };
        sampler.record(0, Some((5, taken(1.0, 100))));
        sampler.record(1, Some((6, taken(2.0, 300))));
        let from = sampler.sums.clone();
        sampler.record(0, Some((5, taken(1.5, 100))));
        sampler.record(0, None);
        sampler.record(0, Some((7, taken(0.25, 200))));
        sampler.record(1, Some((6, taken(2.25, 300))));
        let mut to = sampler.sums.clone();
        to.at = 10_000_000;
        to.passed = vec![[100, 4000], [300, 0]];
        let each = each(&from, &to, &[0, 1], 4);
        let expected =
            Each { couriers: 4, core: 1.0 / 40.0, resident: 125.0, to_source: 10.0, from_source: 100.0 };
        assert_eq!(each, expected);
    }
}
