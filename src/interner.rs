//! Maps external ids to small indices that are reused, and back.

use std::borrow::Borrow;
use std::hash::{BuildHasher, Hash, RandomState};

use hashbrown::HashTable;

/// Each id has one index. Only looked up, never iterated over.
#[derive(Debug)]
pub struct Interner<K> {
    /// Indices, hashed by their ids.
    indices: HashTable<u32>,
    hasher: RandomState,
    ids: Vec<Option<K>>,
    free: Vec<u32>,
}

impl<K> Default for Interner<K> {
    fn default() -> Self {
        Interner { indices: HashTable::new(), hasher: RandomState::new(), ids: Vec::new(), free: Vec::new() }
    }
}

impl<K: Eq + Hash> Interner<K> {
    /// The index of an id; a new id gets a free index.
    pub fn intern(&mut self, id: K) -> usize {
        if let Some(index) = self.get(&id) {
            return index;
        }
        let index = self.free.pop().unwrap_or_else(|| {
            self.ids.push(None);
            // More than `u32::MAX` ids would not fit into memory.
            (self.ids.len() - 1) as u32
        });
        let (hasher, ids) = (&self.hasher, &mut self.ids);
        let hash = hasher.hash_one(&id);
        ids[index as usize] = Some(id);
        let hash_of = |&other: &u32| ids[other as usize].as_ref().map_or(0, |id| hasher.hash_one(id));
        self.indices.insert_unique(hash, index, hash_of);
        index as usize
    }

    /// Looks up an id, also in a borrowed form.
    pub fn get<Q: Eq + Hash + ?Sized>(&self, id: &Q) -> Option<usize>
    where
        K: Borrow<Q>,
    {
        let matches = |&index: &u32| self.ids[index as usize].as_ref().map(K::borrow) == Some(id);
        self.indices.find(self.hasher.hash_one(id), matches).map(|&index| index as usize)
    }

    pub fn id(&self, index: usize) -> Option<&K> {
        self.ids.get(index)?.as_ref()
    }

    /// Number of ids that have an index.
    pub fn len(&self) -> usize {
        self.indices.len()
    }

    pub fn is_empty(&self) -> bool {
        self.indices.is_empty()
    }

    /// Releases the index, which may then be given to another id.
    pub fn release(&mut self, index: usize) {
        let Some(id) = self.ids.get_mut(index).and_then(Option::take) else { return };
        if let Ok(entry) =
            self.indices.find_entry(self.hasher.hash_one(&id), |&other| other as usize == index)
        {
            entry.remove();
        }
        self.free.push(index as u32);
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn indices_are_small_stable_and_reused() {
        let mut interner = Interner::default();
        assert_eq!([interner.intern(70), interner.intern(9), interner.intern(70)], [0, 1, 0]);
        interner.release(0);
        interner.release(0);
        assert_eq!((interner.get(&70), interner.id(0)), (None, None));
        assert_eq!([interner.intern(5), interner.intern(6)], [0, 2]);
        assert_eq!((interner.id(0), interner.id(9)), (Some(&5), None));
        assert_eq!((interner.len(), interner.is_empty()), (3, false));
    }

    #[test]
    fn it_matches_a_map_over_many_inserts_and_removals() {
        let (mut interner, mut expected) =
            (Interner::<Box<[u8]>>::default(), std::collections::BTreeMap::new());
        let mut rng = fastrand::Rng::with_seed(7);
        for _ in 0..40_000 {
            let name = rng.u64(..3000).to_string().into_bytes();
            assert_eq!(interner.get(&name[..]), expected.get(&name).copied());
            if rng.bool() {
                let index = interner.intern(name.clone().into());
                assert_eq!(
                    (interner.get(&name[..]), &interner.id(index).unwrap()[..]),
                    (Some(index), &name[..])
                );
                expected.insert(name, index);
            } else if let Some(index) = expected.remove(&name) {
                interner.release(index);
                assert_eq!((interner.get(&name[..]), interner.id(index)), (None, None));
            }
            assert_eq!(interner.len(), expected.len());
        }
        let mut indices: Vec<usize> = expected.into_values().collect();
        indices.sort_unstable();
        indices.dedup();
        assert!(indices.len() == interner.len() && indices.last() < Some(&3000));
    }
}
