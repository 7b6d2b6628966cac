//! Frames: numbered sections of a file with length and checksum.
//!
//! A frame consists of a magic number (4 bytes), its sequence number (8), the length of its body
//! (4), a CRC-32 (4) and the body; integers are little-endian. The checksum covers the sequence
//! number, the length, the body and a salt, so that bytes within a body aren't mistaken for a
//! frame.

/// First bytes of every frame.
const MAGIC: [u8; 4] = *b"EGD\x01";

/// Length of a frame before its body.
const HEADER_BYTES: usize = 20;

/// Appends a frame to `file`.
pub fn write(file: &mut Vec<u8>, salt: u64, number: u64, body: &[u8]) {
    file.extend_from_slice(&MAGIC);
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

    /// Offset of the next frame, in bytes.
    pub fn offset(&self) -> usize {
        self.offset
    }

    /// Sequence number of the next frame.
    pub fn number(&self) -> u64 {
        self.number
    }

    /// Whether the file has been read to its end.
    pub fn is_done(&self) -> bool {
        self.offset == self.file.len()
    }

    /// Body of the next frame; `None` if it is invalid or out of sequence.
    pub fn read_next(&mut self, salt: u64) -> Option<&'a [u8]> {
        let (number, body) = frame_at(self.file, self.offset, salt)?;
        if number != self.number {
            return None;
        }
        self.offset += HEADER_BYTES + body.len();
        self.number += 1;
        Some(body)
    }

    /// Offset of the first valid frame after the present offset, if there is one.
    pub fn find_valid_frame(&self, salt: u64) -> Option<usize> {
        let mut offset = self.offset + 1;
        while offset + HEADER_BYTES <= self.file.len() {
            if let Some((number, _)) = frame_at(self.file, offset, salt)
                && number >= self.number
            {
                return Some(offset);
            }
            offset += 1;
        }
        None
    }
}

/// Sequence number and body of the frame at `offset`, if it is valid.
fn frame_at(file: &[u8], offset: usize, salt: u64) -> Option<(u64, &[u8])> {
    let header = file.get(offset..offset.checked_add(HEADER_BYTES)?)?;
    if header[..4] != MAGIC {
        return None;
    }
    let number = u64::from_le_bytes(header[4..12].try_into().ok()?);
    let length = u32::from_le_bytes(header[12..16].try_into().ok()?) as usize;
    let expected = u32::from_le_bytes(header[16..20].try_into().ok()?);
    let start = offset + HEADER_BYTES;
    let body = file.get(start..start.checked_add(length)?)?;
    (checksum(salt, number, body) == expected).then_some((number, body))
}
