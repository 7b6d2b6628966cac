//! Runs `monoio` on its legacy driver.

use std::future::Future;

use crate::errors::{Error, Result};

/// Runs `future` to completion on this thread, with epoll and timers.
pub fn block_on<F: Future>(future: F) -> Result<F::Output> {
    let builder = monoio::RuntimeBuilder::<monoio::LegacyDriver>::new().enable_timer();
    let mut runtime = builder.build().map_err(Error::Runtime)?;
    Ok(runtime.block_on(future))
}
