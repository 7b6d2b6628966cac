//! Frames: numbered pieces of a file with length and checksum.
//!
//! A frame is a mark of 4 bytes, its number (8), the length of its body (4), a CRC-32 (4) and the
//! body; numbers are little-endian. The checksum covers the number, the length, the body and a salt,
//! so that no content of a body passes for a frame.

/// First bytes of each frame.
const MARK: [u8; 4] = *b"EGD\x01";

/// Bytes before the body of a frame.
const HEAD_BYTES: usize = 20;

/// Adds a frame to `file`.
pub fn write(file: &mut Vec<u8>, salt: u64, number: u64, body: &[u8]) {
    file.extend_from_slice(&MARK);
    file.extend_from_slice(&number.to_le_bytes());
    file.extend_from_slice(&(body.len() as u32).to_le_bytes());
    file.extend_from_slice(&checksum(salt, number, body).to_le_bytes());
    file.extend_from_slice(body);
}

fn checksum(salt: u64, number: u64, body: &[u8]) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(&salt.to_le_bytes());
    hasher.update(&number.to_le_bytes());
    hasher.update(&(body.len() as u32).to_le_bytes());
    hasher.update(body);
    hasher.finalize()
}

/// Reads the frames of a file in order.
#[derive(Clone, Debug)]
pub struct Reader<'a> {
    file: &'a [u8],
    offset: usize,
    number: u64,
}

impl<'a> Reader<'a> {
    /// A reader at the start of `file`.
    pub fn new(file: &'a [u8]) -> Self {
        Self {
            file,
            offset: 0,
            number: 0,
        }
    }

    /// Where the next frame begins, in bytes.
    pub fn offset(&self) -> usize {
        self.offset
    }

    /// Number of the next frame.
    pub fn number(&self) -> u64 {
        self.number
    }

    /// Whether the file has been read to its end.
    pub fn is_done(&self) -> bool {
        self.offset == self.file.len()
    }

    /// The body of the next frame; none when it does not read.
    pub fn next(&mut self, salt: u64) -> Option<&'a [u8]> {
        let (number, body) = frame(self.file, self.offset, salt)?;
        if number != self.number {
            return None;
        }
        self.offset += HEAD_BYTES + body.len();
        self.number += 1;
        Some(body)
    }

    /// Where a frame that reads follows the present place, if one does.
    pub fn find_later(&self, salt: u64) -> Option<usize> {
        let mut offset = self.offset + 1;
        while offset + HEAD_BYTES <= self.file.len() {
            if let Some((number, _)) = frame(self.file, offset, salt)
                && number >= self.number
            {
                return Some(offset);
            }
            offset += 1;
        }
        None
    }
}

/// The number and body of the frame at `offset`, if it reads.
fn frame(file: &[u8], offset: usize, salt: u64) -> Option<(u64, &[u8])> {
    let head = file.get(offset..offset.checked_add(HEAD_BYTES)?)?;
    if head[..4] != MARK {
        return None;
    }
    let number = u64::from_le_bytes(head[4..12].try_into().ok()?);
    let length = u32::from_le_bytes(head[12..16].try_into().ok()?) as usize;
    let sum = u32::from_le_bytes(head[16..20].try_into().ok()?);
    let start = offset + HEAD_BYTES;
    let body = file.get(start..start.checked_add(length)?)?;
    (checksum(salt, number, body) == sum).then_some((number, body))
}
