//! Interface to the file system.

use std::io;

/// A folder of files. Changes are durable only after a sync.
pub trait Disk {
    /// The names of all files.
    fn list(&self) -> io::Result<Vec<String>>;

    /// The whole content of a file.
    fn read(&self, name: &str) -> io::Result<Vec<u8>>;

    /// Creates a file with this content, or replaces an existing one.
    fn create(&mut self, name: &str, content: &[u8]) -> io::Result<()>;

    /// Appends to a file.
    fn append(&mut self, name: &str, content: &[u8]) -> io::Result<()>;

    /// Makes the content of a file durable.
    fn sync(&mut self, name: &str) -> io::Result<()>;

    /// Renames a file; replaces a file that has the new name.
    fn rename(&mut self, from: &str, to: &str) -> io::Result<()>;

    /// Removes a file.
    fn remove(&mut self, name: &str) -> io::Result<()>;

    /// Makes the creation, renaming and removal of files durable.
    fn sync_folder(&mut self) -> io::Result<()>;
}
