//! A fake disk that loses unsynced writes, tears files, fills up and fails.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::io;
use std::rc::Rc;

use eelgrassdyke_control::store::Disk;
use rand::RngExt as _;
use rand_chacha::ChaCha8Rng;

#[derive(Clone, Default)]
struct File {
    content: Vec<u8>,
    synced_content: Vec<u8>,
}

#[derive(Default)]
struct Inner {
    files: Vec<File>,
    names: BTreeMap<String, usize>,
    synced_names: BTreeMap<String, usize>,
    /// Bytes that can be written before the disk fails; `None` without a failure.
    bytes_left: Option<usize>,
    failure_kind: Option<io::ErrorKind>,
    fail_sync: bool,
}

/// A fake disk; clones share the content.
#[derive(Clone, Default)]
pub struct FakeDisk(Rc<RefCell<Inner>>);

impl FakeDisk {
    /// Fails after `bytes` more bytes, as a full disk or a crash does.
    pub fn fail_after(&self, bytes: usize, kind: io::ErrorKind) {
        let mut inner = self.0.borrow_mut();
        inner.bytes_left = Some(bytes);
        inner.failure_kind = Some(kind);
    }

    /// Ends the failure; writes succeed again.
    pub fn recover(&self) {
        self.0.borrow_mut().bytes_left = None;
    }

    /// Makes all further syncs of files fail.
    pub fn fail_sync(&self) {
        self.0.borrow_mut().fail_sync = true;
    }

    /// Whether it has failed.
    pub fn has_failed(&self) -> bool {
        self.0.borrow().bytes_left == Some(0)
    }

    /// Leaves the content after a power loss; `keep` chooses how many of `n` unsynced bytes or
    /// changes survive.
    pub fn crash(&self, mut keep: impl FnMut(usize) -> usize) {
        let mut inner = self.0.borrow_mut();
        inner.bytes_left = None;
        inner.fail_sync = false;
        let (names, synced_names) = (inner.names.clone(), inner.synced_names.clone());
        let mut remaining = synced_names.clone();
        // Each unsynced change of the folder may survive or not.
        for (name, file) in &names {
            if synced_names.get(name) != Some(file) && keep(1) == 1 {
                remaining.insert(name.clone(), *file);
            }
        }
        for name in synced_names.keys() {
            if !names.contains_key(name) && keep(1) == 1 {
                remaining.remove(name);
            }
        }
        for file in &mut inner.files {
            if file.content.starts_with(&file.synced_content) {
                let unsynced = file.content.len() - file.synced_content.len();
                let kept = file.synced_content.len() + keep(unsynced).min(unsynced);
                file.content.truncate(kept);
            } else {
                file.content = file.synced_content.clone();
            }
            file.synced_content = file.content.clone();
        }
        inner.names = remaining.clone();
        inner.synced_names = remaining;
    }

    /// Removes all content.
    pub fn wipe(&self) {
        *self.0.borrow_mut() = Inner::default();
    }

    /// Flips one bit of the byte at `offset` in a file.
    pub fn flip_bit(&self, name: &str, offset: usize) {
        let mut inner = self.0.borrow_mut();
        let file = inner.names[name];
        inner.files[file].content[offset] ^= 1;
    }
}

impl Inner {
    /// Takes up to `bytes` from the remaining bytes and returns how many can be written.
    fn consume(&mut self, bytes: usize) -> usize {
        let Some(bytes_left) = &mut self.bytes_left else {
            return bytes;
        };
        let written = bytes.min(*bytes_left);
        *bytes_left -= written;
        written
    }

    /// The file of that name, unless the disk has failed.
    fn find_file(&self, name: &str) -> io::Result<usize> {
        if self.bytes_left == Some(0) {
            return Err(self.failure_kind.unwrap_or(io::ErrorKind::Other).into());
        }
        let file = self.names.get(name).copied();
        file.ok_or_else(|| io::ErrorKind::NotFound.into())
    }

    fn append_content(&mut self, file: usize, content: &[u8]) -> io::Result<()> {
        let written = self.consume(content.len());
        self.files[file]
            .content
            .extend_from_slice(&content[..written]);
        match written == content.len() {
            true => Ok(()),
            false => Err(self.failure_kind.unwrap_or(io::ErrorKind::Other).into()),
        }
    }
}

impl Disk for FakeDisk {
    fn list(&self) -> io::Result<Vec<String>> {
        Ok(self.0.borrow().names.keys().cloned().collect())
    }

    fn read(&self, name: &str) -> io::Result<Vec<u8>> {
        let inner = self.0.borrow();
        let file = inner.names.get(name).ok_or(io::ErrorKind::NotFound)?;
        Ok(inner.files[*file].content.clone())
    }

    fn create(&mut self, name: &str, content: &[u8]) -> io::Result<()> {
        let mut inner = self.0.borrow_mut();
        if inner.bytes_left == Some(0) {
            return Err(inner.failure_kind.unwrap_or(io::ErrorKind::Other).into());
        }
        inner.files.push(File::default());
        let file = inner.files.len() - 1;
        inner.names.insert(name.to_owned(), file);
        inner.append_content(file, content)
    }

    fn append(&mut self, name: &str, content: &[u8]) -> io::Result<()> {
        let mut inner = self.0.borrow_mut();
        let file = inner.find_file(name)?;
        inner.append_content(file, content)
    }

    fn sync(&mut self, name: &str) -> io::Result<()> {
        let mut inner = self.0.borrow_mut();
        // Each operation consumes a byte, so that a failure can occur between any two operations.
        inner.consume(1);
        let file = inner.find_file(name)?;
        if inner.fail_sync {
            return Err(io::Error::other("input/output error"));
        }
        inner.files[file].synced_content = inner.files[file].content.clone();
        Ok(())
    }

    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        let mut inner = self.0.borrow_mut();
        inner.consume(1);
        let file = inner.find_file(from)?;
        inner.names.remove(from);
        inner.names.insert(to.to_owned(), file);
        Ok(())
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        let mut inner = self.0.borrow_mut();
        inner.consume(1);
        inner.find_file(name)?;
        inner.names.remove(name);
        Ok(())
    }

    fn sync_folder(&mut self) -> io::Result<()> {
        let mut inner = self.0.borrow_mut();
        inner.consume(1);
        if inner.bytes_left == Some(0) {
            return Err(inner.failure_kind.unwrap_or(io::ErrorKind::Other).into());
        }
        inner.synced_names = inner.names.clone();
        Ok(())
    }
}

/// Keeps a random part of the unsynced content.
pub fn keep_random(rng: &mut ChaCha8Rng) -> impl FnMut(usize) -> usize {
    move |count| rng.random_range(0..=count)
}
