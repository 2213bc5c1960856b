//! Divides the memory limit of the settings among those that hold bytes. `docs/configuration.md` has the table.

/// Shares of the limit, in percent. The rest is for the program, the list, the settings and remembered requests.
const CLIENT_INPUT_PERCENT: u64 = 20;
const MESSAGES_PERCENT: u64 = 15;
const RECEIVE_BUFFERS_PERCENT: u64 = 25;
const ANSWERS_PERCENT: u64 = 10;
/// Bounds of a socket's receive buffer, in bytes.
const RECEIVE_BUFFER: (u64, u64) = (16 << 10, 64 << 10);

/// What each holder of bytes may hold, in bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MemoryBudget {
    pub limit: u64,
    /// Commands of clients that are read in part and longer than one read.
    pub client_input: u64,
    /// Messages in hand.
    pub messages: u64,
    /// Bodies of endpoints' answers while they are read.
    pub answers: u64,
    /// What the system holds for one connection until it is read.
    pub receive_buffer: u64,
}

impl MemoryBudget {
    /// Divides a limit in bytes; `sockets` is the most connections of the process.
    pub fn of(limit: u64, sockets: usize) -> MemoryBudget {
        let percent = |share: u64| limit / 100 * share;
        let (least, most) = RECEIVE_BUFFER;
        MemoryBudget {
            limit,
            client_input: percent(CLIENT_INPUT_PERCENT),
            messages: percent(MESSAGES_PERCENT),
            answers: percent(ANSWERS_PERCENT),
            receive_buffer: (percent(RECEIVE_BUFFERS_PERCENT) / sockets.max(1) as u64).clamp(least, most),
        }
    }

    /// The value to set a socket's receive buffer to: the system doubles it.
    pub fn receive_buffer_setting(&self) -> u32 {
        (self.receive_buffer / 2) as u32
    }
}
