//! Notes between couriers, one datagram each: what one courier observed of an endpoint. Notes may be late or lost, and
//! none is acknowledged. Without `peers` in the configuration there is no socket.

use std::net::SocketAddr;

use bytes::Bytes;
use meadowhold::interface::{PeerNote, Time};
use tokio::net::UdpSocket;
use tokio::sync::mpsc::UnboundedReceiver;

use crate::exchange::Shared;

/// First byte of a note; another format needs another value.
const FORMAT_VERSION: u8 = 1;
const MAX_NAME: usize = 200;
/// Longest wait that a note can carry, in milliseconds. A wait of a minute counts as an outage.
const MAX_WAIT: u16 = 60_000;

/// Encodes a note: format version, code of the event, wait in milliseconds (rounded up), and the endpoint's name.
pub fn encode(name: &[u8], event: PeerNote) -> Vec<u8> {
    let (code, wait) = match event {
        PeerNote::Refusing(wait) => (0, wait.div_ceil(10).min(MAX_WAIT.into()) as u16),
        PeerNote::Down => (1, 0),
        PeerNote::Recovered => (2, 0),
    };
    let [high, low] = wait.to_be_bytes();
    [&[FORMAT_VERSION, code, high, low], name].concat()
}

/// Decodes a note. Returns `None` for an unknown format or event, and for an empty or overlong name.
pub fn decode(note: &[u8]) -> Option<(&[u8], PeerNote)> {
    let [FORMAT_VERSION, code, high, low, name @ ..] = note else { return None };
    let event = match code {
        0 => PeerNote::Refusing(Time::from(u16::from_be_bytes([*high, *low]).min(MAX_WAIT)) * 10),
        1 => PeerNote::Down,
        2 => PeerNote::Recovered,
        _ => return None,
    };
    (!name.is_empty() && name.len() <= MAX_NAME).then_some((name, event))
}

/// Sends the notes of this courier to `others` and receives theirs. Datagrams from other addresses are ignored.
pub async fn run(
    shared: Shared,
    socket: UdpSocket,
    others: Vec<SocketAddr>,
    mut outgoing: UnboundedReceiver<(Bytes, PeerNote)>,
) {
    let mut buffer = [0; MAX_NAME + 5];
    loop {
        tokio::select! {
            received = socket.recv_from(&mut buffer) => match received {
                Ok((length, from)) if others.contains(&from) => {
                    if let Some((name, event)) = decode(&buffer[..length]) {
                        shared.borrow_mut().note_received(name, event);
                    }
                }
                // An error reports that an earlier note could not be delivered.
                Ok(_) | Err(_) => tokio::task::yield_now().await,
            },
            outgoing = outgoing.recv() => {
                let Some((name, event)) = outgoing else { return };
                let note = encode(&name, event);
                for &other in &others {
                    // If the send buffer is full the note is dropped, as waiting would delay incoming notes.
                    let _ = socket.try_send_to(&note, other);
                }
            }
        }
    }
}
