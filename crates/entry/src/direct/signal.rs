//! Handling of what servers say about themselves in their responses: that they leave, or that they want
//! no requests for a time.

use std::time::Duration;

use eelgrassdyke_core::event::{Code, Event};
use eelgrassdyke_core::id::{Incarnation, Server};
use eelgrassdyke_core::time::Instant;

use super::io::{Output, Pause, ServerSignal};
use super::path::Direct;

/// Maximum time for which a server is sent nothing because it asked for it; a longer one is taken for
/// a mistake.
const PAUSE_MAX: Duration = Duration::from_secs(3600);

impl Direct {
    pub(super) fn handle_server_signal(
        &mut self,
        now: Instant,
        server: &Server,
        incarnation: Incarnation,
        signal: ServerSignal,
        out: &mut Vec<Output>,
    ) {
        if signal.is_leaving && self.pool.record_leaving(server, incarnation) {
            let event = Event::new(Code::ServerLeaving, format!("incarnation {incarnation}"));
            out.push(Output::Event(event.server(server)));
        }
        let pause = match signal.pause {
            None => return,
            Some(Pause::For(pause)) if pause <= PAUSE_MAX => pause,
            Some(Pause::For(pause)) => {
                record_bad_pause(server, &format!("{pause:?}, limited to {PAUSE_MAX:?}"), out);
                PAUSE_MAX
            }
            Some(Pause::Unreadable) => {
                record_bad_pause(server, "not a number of seconds, ignored", out);
                return;
            }
        };
        if self.pool.record_pause(now, server, incarnation, pause) {
            let event = Event::new(Code::ServerPaused, "").with_fact("pause_ms", pause);
            out.push(Output::Event(event.server(server)));
        }
    }
}

fn record_bad_pause(server: &Server, problem: &str, out: &mut Vec<Output>) {
    let event = Event::new(Code::InputRefused, format!("retry-after time: {problem}"));
    out.push(Output::Event(event.server(server)));
}
