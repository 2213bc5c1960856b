//! Numbers of classes over the versions of the settings: what was taken on keeps the number of its class, and the number
//! means for it what it meant. No I/O.

use std::collections::{BTreeSet, HashMap};

use bytes::Bytes;
use meadowhold::interface::QueueClass;

use crate::journal::{Terms, MOST_CLASSES};

/// The module's classes by number.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Classes {
    pub classes: Vec<QueueClass>,
    /// What a message of each is taken on with.
    pub terms: Vec<Terms>,
    /// Those that a message may be taken on with now.
    pub by_name: HashMap<Bytes, usize>,
}

/// What a message keeps of its class to its end.
fn fixed_rules(c: &QueueClass) -> (meadowhold::interface::Effect, bool, meadowhold::interface::Time, bool) {
    (c.effect, c.dedup_by_zone, c.dedup_window, c.ordered)
}

impl Classes {
    /// Those of a version that follows, with at least one class. A class of which only targets and worths change keeps
    /// its number; one with other rules gets one that nothing is held by (`is_used`), or a new one. What is left goes
    /// on by its own rules; what a delay of it costs follows the class of its name, or else one that is alike, as after
    /// a restart.
    ///
    /// # Errors
    /// Words, where too many classes of earlier versions still have messages.
    pub fn next_version(
        &self,
        names: &[String],
        new: &[QueueClass],
        is_used: impl Fn(usize) -> bool,
    ) -> Result<Classes, &'static str> {
        let mut next = Classes { by_name: HashMap::new(), ..self.clone() };
        let mut claimed: BTreeSet<usize> = BTreeSet::new();
        let mut moved = Vec::new();
        // Of two with one name the last counts, as at a start.
        let last = |&(i, _): &(usize, (&String, _))| !names[i + 1..].contains(&names[i]);
        for (_, (name, class)) in names.iter().zip(new).enumerate().filter(last) {
            let current = self.by_name.get(name.as_bytes()).copied();
            match current.filter(|&number| {
                fixed_rules(&self.classes[number]) == fixed_rules(class) && claimed.insert(number)
            }) {
                Some(number) => next.set(number, name, class),
                None => moved.push((name, class)),
            }
        }
        for (name, class) in moved {
            let free = (0..next.classes.len()).find(|&number| !claimed.contains(&number) && !is_used(number));
            let number = free.unwrap_or(next.classes.len());
            claimed.insert(number);
            next.set(number, name, class);
        }
        if next.classes.len() > MOST_CLASSES {
            return Err("are too many with those that still have messages");
        }
        for number in (0..next.classes.len()).filter(|number| !claimed.contains(number)) {
            let current = &self.classes[number];
            let same = names.iter().rposition(|name| name.as_bytes() == self.terms[number].class);
            let base = same.or_else(|| new.iter().position(|class| class.effect == current.effect));
            let (effect, by_zone, window, in_turn) = fixed_rules(current);
            let base = new[base.unwrap_or_default()].clone();
            next.classes[number] =
                QueueClass { effect, dedup_by_zone: by_zone, dedup_window: window, ordered: in_turn, ..base };
        }
        Ok(next)
    }

    fn set(&mut self, number: usize, name: &str, class: &QueueClass) {
        let terms = Terms::new(name, class);
        self.by_name.insert(terms.class.clone(), number);
        if number == self.classes.len() {
            self.classes.push(class.clone());
            self.terms.push(terms);
        } else {
            (self.classes[number], self.terms[number]) = (class.clone(), terms);
        }
    }
}
