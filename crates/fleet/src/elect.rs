//! Deterministic election of the members that perform a task: couriers with the same view choose the same
//! members without exchanging messages.

use std::hash::Hasher;

use siphasher::sip::SipHasher13;

use crate::view::{Member, View};

/// Rendezvous hash of a task and a member; the address breaks ties. The hash keys and the input format are
/// fixed, so that every machine and every version computes the same rank.
fn rank(task: &str, member: &Member) -> (u64, std::net::SocketAddrV4) {
    let mut hash = SipHasher13::new_with_keys(0, 0);
    hash.write(task.as_bytes());
    // Separator: 0xff does not occur in UTF-8, so that no two pairs of task and name hash the same bytes.
    hash.write(&[0xff]);
    hash.write(member.name.as_bytes());
    (hash.finish(), member.at)
}

impl View {
    /// The `n` members that are to perform `task`, in order of preference; fewer if fewer are up. Suspected
    /// members remain eligible: a suspicion is confirmed or cleared within seconds, and an election that
    /// changes back and forth would have the work done twice. Each side of a network partition elects among
    /// its own members.
    pub fn elected(&self, task: &str, n: usize) -> Vec<&Member> {
        let mut all: Vec<_> = self.up().map(|member| (rank(task, member), member)).collect();
        all.sort_unstable_by_key(|(rank, _)| *rank);
        all.truncate(n);
        all.into_iter().map(|(_, member)| member).collect()
    }

    /// Whether this courier is one of the `n` elected members.
    pub fn is_own_elected(&self, task: &str, n: usize) -> bool {
        let own = rank(task, self.own());
        self.up().filter(|member| rank(task, member) < own).count() < n
    }
}
