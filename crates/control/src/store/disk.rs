//! The edge to the file system.

use std::io;

/// A folder of files. Nothing lasts until it is synced.
pub trait Disk {
    /// The names of all files.
    fn list(&self) -> io::Result<Vec<String>>;

    /// The whole content of a file.
    fn read(&self, name: &str) -> io::Result<Vec<u8>>;

    /// Makes a new file with this content, in place of any other.
    fn create(&mut self, name: &str, content: &[u8]) -> io::Result<()>;

    /// Adds to the end of a file.
    fn append(&mut self, name: &str, content: &[u8]) -> io::Result<()>;

    /// Makes the content of a file last.
    fn sync(&mut self, name: &str) -> io::Result<()>;

    /// Gives a file another name, in place of any other file.
    fn rename(&mut self, from: &str, to: &str) -> io::Result<()>;

    /// Removes a file.
    fn remove(&mut self, name: &str) -> io::Result<()>;

    /// Makes new, renamed and removed names last.
    fn sync_folder(&mut self) -> io::Result<()>;
}
