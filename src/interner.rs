//! Outside ids become small indices that are reused, and turn back into outside ids on the way out.

use std::borrow::Borrow;
use std::hash::{BuildHasher, Hash, RandomState};

use hashbrown::HashTable;

/// Outside ids on one side, small indices on the other; each id is held once. Looked up only, never iterated over.
#[derive(Debug)]
pub struct Interner<K> {
    /// Indices, by the hash of their ids.
    inside: HashTable<u32>,
    hasher: RandomState,
    outside: Vec<Option<K>>,
    free: Vec<u32>,
}

impl<K> Default for Interner<K> {
    fn default() -> Self {
        Interner {
            inside: HashTable::new(),
            hasher: RandomState::new(),
            outside: Vec::new(),
            free: Vec::new(),
        }
    }
}

impl<K: Eq + Hash> Interner<K> {
    /// The index of an id, a free one if it is new here.
    pub fn intern(&mut self, id: K) -> usize {
        if let Some(index) = self.get(&id) {
            return index;
        }
        let index = self.free.pop().unwrap_or_else(|| {
            self.outside.push(None);
            // More would not fit into any memory.
            (self.outside.len() - 1) as u32
        });
        let (hasher, outside) = (&self.hasher, &mut self.outside);
        let hash = hasher.hash_one(&id);
        outside[index as usize] = Some(id);
        let hash_of = |&other: &u32| outside[other as usize].as_ref().map_or(0, |id| hasher.hash_one(id));
        self.inside.insert_unique(hash, index, hash_of);
        index as usize
    }

    /// By the id, or by what it can be lent as.
    pub fn get<Q: Eq + Hash + ?Sized>(&self, id: &Q) -> Option<usize>
    where
        K: Borrow<Q>,
    {
        let is_it = |&index: &u32| self.outside[index as usize].as_ref().map(K::borrow) == Some(id);
        self.inside.find(self.hasher.hash_one(id), is_it).map(|&index| index as usize)
    }

    pub fn id(&self, index: usize) -> Option<&K> {
        self.outside.get(index)?.as_ref()
    }

    /// Ids that have an index now.
    pub fn len(&self) -> usize {
        self.inside.len()
    }

    pub fn is_empty(&self) -> bool {
        self.inside.is_empty()
    }

    /// The index may be given to another id from now on.
    pub fn release(&mut self, index: usize) {
        let Some(id) = self.outside.get_mut(index).and_then(Option::take) else { return };
        if let Ok(entry) = self.inside.find_entry(self.hasher.hash_one(&id), |&other| other as usize == index)
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
        let mut door = Interner::default();
        assert_eq!([door.intern(70), door.intern(9), door.intern(70)], [0, 1, 0]);
        door.release(0);
        door.release(0);
        assert_eq!((door.get(&70), door.id(0)), (None, None));
        assert_eq!([door.intern(5), door.intern(6)], [0, 2]);
        assert_eq!((door.id(0), door.id(9)), (Some(&5), None));
        assert_eq!((door.len(), door.is_empty()), (3, false));
    }

    #[test]
    fn it_holds_what_a_map_holds_over_many_comings_and_goings() {
        let (mut door, mut known) = (Interner::<Box<[u8]>>::default(), std::collections::BTreeMap::new());
        let mut chance = fastrand::Rng::with_seed(7);
        for _ in 0..40_000 {
            let name = chance.u64(..3000).to_string().into_bytes();
            assert_eq!(door.get(&name[..]), known.get(&name).copied());
            if chance.bool() {
                let index = door.intern(name.clone().into());
                assert_eq!((door.get(&name[..]), &door.id(index).unwrap()[..]), (Some(index), &name[..]));
                known.insert(name, index);
            } else if let Some(index) = known.remove(&name) {
                door.release(index);
                assert_eq!((door.get(&name[..]), door.id(index)), (None, None));
            }
            assert_eq!(door.len(), known.len());
        }
        let mut indices: Vec<usize> = known.into_values().collect();
        indices.sort_unstable();
        indices.dedup();
        assert!(indices.len() == door.len() && indices.last() < Some(&3000));
    }
}
