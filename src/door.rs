//! The door: outside ids become small indices that are reused, and turn back into outside ids on the way out.

use std::collections::HashMap;
use std::hash::Hash;

/// Outside ids on one side, small indices on the other. Looked up only, never iterated over.
#[derive(Debug)]
pub struct Door<K> {
    inside: HashMap<K, usize>,
    outside: Vec<Option<K>>,
    free: Vec<usize>,
}

impl<K> Default for Door<K> {
    fn default() -> Self {
        Door { inside: HashMap::new(), outside: Vec::new(), free: Vec::new() }
    }
}

impl<K: Clone + Eq + Hash> Door<K> {
    /// The index of an id, a free one if it is new here.
    pub fn enter(&mut self, id: K) -> usize {
        if let Some(&index) = self.inside.get(&id) {
            return index;
        }
        let index = self.free.pop().unwrap_or_else(|| {
            self.outside.push(None);
            self.outside.len() - 1
        });
        self.outside[index] = Some(id.clone());
        self.inside.insert(id, index);
        index
    }

    pub fn find(&self, id: &K) -> Option<usize> {
        self.inside.get(id).copied()
    }

    pub fn outside(&self, index: usize) -> Option<&K> {
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
    pub fn leave(&mut self, index: usize) {
        if let Some(id) = self.outside.get_mut(index).and_then(Option::take) {
            self.inside.remove(&id);
            self.free.push(index);
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn indices_are_small_stable_and_reused() {
        let mut door = Door::default();
        assert_eq!([door.enter(70), door.enter(9), door.enter(70)], [0, 1, 0]);
        door.leave(0);
        door.leave(0);
        assert_eq!((door.find(&70), door.outside(0)), (None, None));
        assert_eq!([door.enter(5), door.enter(6)], [0, 2]);
        assert_eq!((door.outside(0), door.outside(9)), (Some(&5), None));
    }
}
