//! Which versions of the list go over a link, read from the bytes themselves: each text of a list begins with its version.

/// What each text begins with; no entry has it, for they begin with their name.
const MARK: &[u8] = b"{\"index\":";

/// Reads one connection's answers piece by piece.
#[derive(Default)]
pub struct Versions {
    /// How much of the mark has come.
    matched: usize,
    /// The version, as far as its digits have come.
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
                // The mark's first byte comes in it once: this one may begin it anew.
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
    fn versions_are_read_however_the_bytes_are_cut() {
        let text = b"HTTP/1.1 200 OK\r\n\r\n3a\r\n{\"index\":12,\"snapshot\":true,\"endpoints\":[{\"name\":\"{\"},{{\"in\
            \"},{\"epoch\":0,\"index\":99}]}\n\r\n{{\"index\":7,\"snapshot\":false}\n{\"index\":18446744073709551615}";
        for size in 1..text.len() {
            let (mut versions, mut found) = (Versions::default(), Vec::new());
            text.chunks(size).for_each(|piece| versions.read(piece, |version| found.push(version)));
            assert_eq!(found, [12, 7, u64::MAX], "in pieces of {size}");
        }
    }
}
