//! Who does a task for all: the same choice at each courier that knows the same members, with no word exchanged.

use std::hash::Hasher;

use siphasher::sip::SipHasher13;

use crate::view::{Member, View};

/// A member's rank for a task. The same on every machine and in every version: the keys and the form are fixed.
fn rank(task: &str, member: &Member) -> (u64, std::net::SocketAddrV4) {
    let mut hash = SipHasher13::new_with_keys(0, 0);
    hash.write(task.as_bytes());
    // No name holds this byte, so that no task and name run into each other.
    hash.write(&[0xff]);
    hash.write(member.name.as_bytes());
    (hash.finish(), member.at)
}

impl View {
    /// The `n` members that are to do `task`, first choice first; fewer when fewer are up. Who is suspected is still
    /// chosen: a suspicion passes within seconds, one way or the other, and a choice that wavers does work twice.
    /// A part that is cut off chooses among its own.
    pub fn elected(&self, task: &str, n: usize) -> Vec<&Member> {
        let mut all: Vec<_> = self.up().map(|member| (rank(task, member), member)).collect();
        all.sort_unstable_by_key(|(rank, _)| *rank);
        all.truncate(n);
        all.into_iter().map(|(_, member)| member).collect()
    }

    /// Whether this courier is one of the `n`.
    pub fn is_own_elected(&self, task: &str, n: usize) -> bool {
        let own = rank(task, self.own());
        self.up().filter(|member| rank(task, member) < own).count() < n
    }
}
