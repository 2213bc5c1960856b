//! Extracts the list versions that pass over a link from the raw bytes: each list text begins with its version.

/// The start of each list text. Entries cannot contain it, because they begin with their name.
const MARK: &[u8] = b"{\"index\":";

/// Incremental parser of one connection's responses.
#[derive(Default)]
pub struct Versions {
    /// The number of bytes of `MARK` matched so far.
    matched: usize,
    /// The version, from the digits read so far.
    version: Option<u64>,
}

impl Versions {
    pub fn read(&mut self, mut piece: &[u8], mut found: impl FnMut(u64)) {
        loop {
            if let Some(version) = &mut self.version {
                let Some((&byte, rest)) = piece.split_first() else { return };
                if byte.is_ascii_digit() {
                    *version = version.saturating_mul(10).saturating_add(u64::from(byte - b'0'));
                    piece = rest;
                    continue;
                }
                found(*version);
                self.version = None;
            }
            if self.matched == 0 {
                let Some(at) = piece.iter().position(|&byte| byte == MARK[0]) else { return };
                (piece, self.matched) = (&piece[at + 1..], 1);
            }
            let Some(&byte) = piece.first() else { return };
            if byte != MARK[self.matched] {
                // The first byte of `MARK` occurs in it only once, so only this byte can start a new match.
                self.matched = 0;
                continue;
            }
            (piece, self.matched) = (&piece[1..], self.matched + 1);
            if self.matched == MARK.len() {
                (self.matched, self.version) = (0, Some(0));
            }
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn versions_are_read_with_any_chunk_boundaries() {
        let text = b"HTTP/1.1 200 OK\r\n\r\n3a\r\n{\"index\":12,\"snapshot\":true,\"endpoints\":[{\"name\":\"{\"},{{\"in\
            \"},{\"epoch\":0,\"index\":99}]}\n\r\n{{\"index\":7,\"snapshot\":false}\n{\"index\":18446744073709551615}";
        for size in 1..text.len() {
            let (mut versions, mut found) = (Versions::default(), Vec::new());
            text.chunks(size).for_each(|piece| versions.read(piece, |version| found.push(version)));
            assert_eq!(found, [12, 7, u64::MAX], "in pieces of {size}");
        }
    }
}
