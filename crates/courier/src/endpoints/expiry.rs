//! When the mails of a call are not waited for any longer: at times of their own, or all at the end of a shutdown that
//! expire before the next process begins its calls.

use std::time::Instant;

use meadowhold::interface::Time;
use tokio::sync::watch::{Receiver, Sender};
use tokio::time::sleep_until;

use crate::exchange::CallMail;

/// Tells all calls that mails with deadlines before a time are not waited for any longer.
pub type ExpirySender = Sender<Time>;

pub struct Expiry {
    end: Receiver<Time>,
    /// The time that has come last.
    reached: Time,
}

impl Expiry {
    pub fn new(sender: &ExpirySender) -> Expiry {
        let mut end = sender.subscribe();
        // What was told before counts too.
        end.mark_changed();
        Expiry { end, reached: 0 }
    }

    /// Waits until a time comes, or until more mails are not waited for.
    pub async fn wait(&mut self, next: Time, instant: Instant) {
        tokio::select! {
            () = sleep_until(instant.into()) => self.reached = next,
            // The sender outlives all calls.
            _ = self.end.changed() => {}
        }
    }

    /// Whether a mail is not waited for any longer, whose own time is this.
    pub fn is_over(&self, mail: &CallMail, own: Time) -> bool {
        own <= self.reached || mail.deadline < *self.end.borrow()
    }
}
