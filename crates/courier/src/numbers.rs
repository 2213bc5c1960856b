//! Numbers of queue classes across versions of the settings. A mail keeps the number of the class that it was
//! accepted with, and for that mail the rules of the number do not change. No I/O.

use std::collections::{BTreeSet, HashMap};

use bytes::Bytes;
use meadowhold::interface::QueueClass;

use crate::journal::{ClassTerms, MAX_CLASSES};

/// The queue classes of the decision module, by number.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Classes {
    pub classes: Vec<QueueClass>,
    /// The terms under which mails of each class are accepted.
    pub terms: Vec<ClassTerms>,
    /// The classes that mails can be submitted with now.
    pub by_name: HashMap<Bytes, usize>,
}

/// The part of a class that stays fixed for a mail once it has been accepted.
fn fixed_rules(c: &QueueClass) -> (meadowhold::interface::Effect, bool, meadowhold::interface::Time, bool) {
    (c.effect, c.dedup_by_zone, c.dedup_window, c.ordered)
}

impl Classes {
    /// The classes under a new version of the settings, which has at least one class. A class whose fixed
    /// rules are unchanged keeps its number. One with other rules gets a number that no mail uses
    /// (`is_used`), or a new one. A class that has gone keeps its fixed rules for its remaining mails and
    /// takes its targets and importance from the class of the same name, or else from one with the same
    /// effect, as after a restart.
    ///
    /// # Errors
    /// A message if earlier classes that still have mails leave too few numbers.
    pub fn next_version(
        &self,
        names: &[String],
        new: &[QueueClass],
        is_used: impl Fn(usize) -> bool,
    ) -> Result<Classes, &'static str> {
        let mut next = Classes { by_name: HashMap::new(), ..self.clone() };
        let mut claimed: BTreeSet<usize> = BTreeSet::new();
        let mut moved = Vec::new();
        // Of two classes with the same name the last one counts, as at a start.
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
        if next.classes.len() > MAX_CLASSES {
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
        let terms = ClassTerms::new(name, class);
        self.by_name.insert(terms.class.clone(), number);
        if number == self.classes.len() {
            self.classes.push(class.clone());
            self.terms.push(terms);
        } else {
            (self.classes[number], self.terms[number]) = (class.clone(), terms);
        }
    }
}
