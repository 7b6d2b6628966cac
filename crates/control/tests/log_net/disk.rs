//! A disk that forgets what was not synced, tears files, fills up and fails.

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
    synced: Vec<u8>,
}

#[derive(Default)]
struct Inner {
    files: Vec<File>,
    names: BTreeMap<String, usize>,
    synced_names: BTreeMap<String, usize>,
    /// Bytes that may still be written before the disk breaks off.
    budget: Option<usize>,
    kind: Option<io::ErrorKind>,
    fail_sync: bool,
}

/// A fake disk; clones share it.
#[derive(Clone, Default)]
pub struct FakeDisk(Rc<RefCell<Inner>>);

impl FakeDisk {
    /// Breaks off after `bytes` more bytes, as a full disk or as a crash does.
    pub fn break_after(&self, bytes: usize, kind: io::ErrorKind) {
        let mut inner = self.0.borrow_mut();
        inner.budget = Some(bytes);
        inner.kind = Some(kind);
    }

    /// Takes writes again.
    pub fn mend(&self) {
        self.0.borrow_mut().budget = None;
    }

    /// Fails each sync of a file from now on.
    pub fn fail_sync(&self) {
        self.0.borrow_mut().fail_sync = true;
    }

    /// Whether it broke off.
    pub fn is_broken(&self) -> bool {
        self.0.borrow().budget == Some(0)
    }

    /// What is there after the machine crashed; `keep` picks how much of `n` unsynced things stays.
    pub fn crash(&self, mut keep: impl FnMut(usize) -> usize) {
        let mut inner = self.0.borrow_mut();
        inner.budget = None;
        inner.fail_sync = false;
        let (names, synced_names) = (inner.names.clone(), inner.synced_names.clone());
        let mut left = synced_names.clone();
        // Each unsynced change of the folder may have been kept or not.
        for (name, file) in &names {
            if synced_names.get(name) != Some(file) && keep(1) == 1 {
                left.insert(name.clone(), *file);
            }
        }
        for name in synced_names.keys() {
            if !names.contains_key(name) && keep(1) == 1 {
                left.remove(name);
            }
        }
        for file in &mut inner.files {
            if file.content.starts_with(&file.synced) {
                let extra = file.content.len() - file.synced.len();
                let kept = file.synced.len() + keep(extra).min(extra);
                file.content.truncate(kept);
            } else {
                file.content = file.synced.clone();
            }
            file.synced = file.content.clone();
        }
        inner.names = left.clone();
        inner.synced_names = left;
    }

    /// Loses everything.
    pub fn wipe(&self) {
        *self.0.borrow_mut() = Inner::default();
    }

    /// Flips one bit of a file's byte, counted from the start.
    pub fn damage(&self, name: &str, at: usize) {
        let mut inner = self.0.borrow_mut();
        let file = inner.names[name];
        inner.files[file].content[at] ^= 1;
    }
}

impl Inner {
    /// How many of `bytes` can be written.
    fn spend(&mut self, bytes: usize) -> usize {
        let Some(budget) = &mut self.budget else {
            return bytes;
        };
        let spent = bytes.min(*budget);
        *budget -= spent;
        spent
    }

    fn check(&self, name: &str) -> io::Result<usize> {
        if self.budget == Some(0) {
            return Err(self.kind.unwrap_or(io::ErrorKind::Other).into());
        }
        let file = self.names.get(name).copied();
        file.ok_or_else(|| io::ErrorKind::NotFound.into())
    }

    fn fill(&mut self, file: usize, content: &[u8]) -> io::Result<()> {
        let spent = self.spend(content.len());
        self.files[file]
            .content
            .extend_from_slice(&content[..spent]);
        match spent == content.len() {
            true => Ok(()),
            false => Err(self.kind.unwrap_or(io::ErrorKind::Other).into()),
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
        if inner.budget == Some(0) {
            return Err(inner.kind.unwrap_or(io::ErrorKind::Other).into());
        }
        inner.files.push(File::default());
        let file = inner.files.len() - 1;
        inner.names.insert(name.to_owned(), file);
        inner.fill(file, content)
    }

    fn append(&mut self, name: &str, content: &[u8]) -> io::Result<()> {
        let mut inner = self.0.borrow_mut();
        let file = inner.check(name)?;
        inner.fill(file, content)
    }

    fn sync(&mut self, name: &str) -> io::Result<()> {
        let mut inner = self.0.borrow_mut();
        // A step costs a byte, so that a budget can end between any two steps.
        inner.spend(1);
        let file = inner.check(name)?;
        if inner.fail_sync {
            return Err(io::Error::other("input/output error"));
        }
        inner.files[file].synced = inner.files[file].content.clone();
        Ok(())
    }

    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        let mut inner = self.0.borrow_mut();
        inner.spend(1);
        let file = inner.check(from)?;
        inner.names.remove(from);
        inner.names.insert(to.to_owned(), file);
        Ok(())
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        let mut inner = self.0.borrow_mut();
        inner.spend(1);
        inner.check(name)?;
        inner.names.remove(name);
        Ok(())
    }

    fn sync_folder(&mut self) -> io::Result<()> {
        let mut inner = self.0.borrow_mut();
        inner.spend(1);
        if inner.budget == Some(0) {
            return Err(inner.kind.unwrap_or(io::ErrorKind::Other).into());
        }
        inner.synced_names = inner.names.clone();
        Ok(())
    }
}

/// Keeps a random part of what was not synced.
pub fn random(rng: &mut ChaCha8Rng) -> impl FnMut(usize) -> usize {
    move |most| rng.random_range(0..=most)
}
