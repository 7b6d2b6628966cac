//! Disturbances from outside the processes, as other programs of a busy machine cause them.

use std::fs::File;
use std::os::unix::fs::FileExt as _;
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::{self, JoinHandle};
use std::time::Duration;

use nix::sys::signal::{Signal, kill};
use rand::{RngExt as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;

use super::{Pids, lock};
use crate::errors::{Error, Result};

/// Bytes that a writer writes between two syncs.
const WRITE_BYTES: usize = 8 << 20;

/// Size at which a writer begins its file anew.
const FILE_BYTES: u64 = 64 << 20;

/// Shortest and longest suspension of a process, in milliseconds.
const SUSPENSION_MS: std::ops::RangeInclusive<u64> = 50..=400;

/// Threads that disturb the processes until this is dropped.
#[derive(Default)]
pub struct Disturbance {
    stop: Arc<AtomicBool>,
    threads: Vec<JoinHandle<()>>,
}

impl Disturbance {
    fn spawn(&mut self, mut step: impl FnMut() + Send + 'static) {
        let stop = self.stop.clone();
        self.threads.push(thread::spawn(move || {
            while !stop.load(Ordering::Relaxed) {
                step();
            }
        }));
    }

    /// Writes and syncs a file in `folder` without a pause.
    pub fn load_disk(&mut self, folder: &Path, number: usize) -> Result<()> {
        let file = File::create(folder.join(format!("disk-load-{number}")));
        let file = file.map_err(Error::harness)?;
        let bytes = vec![0x5a; WRITE_BYTES];
        let mut offset = 0;
        self.spawn(move || {
            let _ = file
                .write_all_at(&bytes, offset)
                .and_then(|()| file.sync_all());
            offset = (offset + WRITE_BYTES as u64) % FILE_BYTES;
        });
        Ok(())
    }

    /// Keeps one core busy.
    pub fn load_core(&mut self) {
        self.spawn(|| {
            for _ in 0..1_000_000 {
                std::hint::spin_loop();
            }
        });
    }

    /// Suspends a process in short bursts, so that it runs for `share` of the time.
    pub fn suspend(&mut self, pids: &Pids, name: &str, share: f64, seed: u64) {
        let (pids, name) = (pids.clone(), name.to_owned());
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let signal = move |signal| {
            if let Some(pid) = lock(&pids).get(&name) {
                let _ = kill(*pid, signal);
            }
        };
        self.spawn(move || {
            let suspended_ms = rng.random_range(SUSPENSION_MS);
            signal(Signal::SIGSTOP);
            thread::sleep(Duration::from_millis(suspended_ms));
            signal(Signal::SIGCONT);
            let running_ms = suspended_ms as f64 * share / (1.0 - share);
            thread::sleep(Duration::from_secs_f64(running_ms / 1000.0));
        });
    }
}

impl Drop for Disturbance {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
        for thread in self.threads.drain(..) {
            let _ = thread.join();
        }
    }
}
