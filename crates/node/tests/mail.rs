//! Delivery of messages to other processes.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use eelgrassdyke_core::event::Code;
use eelgrassdyke_core::id::{Incarnation, Replica, Term};
use eelgrassdyke_core::wire::{self, Batch, Message, Sender, log};
use eelgrassdyke_node::clock::Clock;
use eelgrassdyke_node::http::pool::Pool;
use eelgrassdyke_node::http::server::{self, Handler, Options, Request, Responder};
use eelgrassdyke_node::mail::Outboxes;
use eelgrassdyke_node::runtime::block_on;
use eelgrassdyke_node::secret::PeerSecret;
use eelgrassdyke_node::timeline::Timeline;
use http::{HeaderMap, StatusCode};
use monoio::net::TcpListener;
use test_case::test_case;

/// Number of messages in the test, sent as one batch.
const MESSAGES: usize = 200;

/// Time limit that keeps a failing test from hanging.
const TEST_TIMEOUT: Duration = Duration::from_secs(20);

fn server_left(number: usize) -> Message {
    Message::ServerLeft(format!("server-{number}").parse().unwrap())
}

/// The outboxes of a process at an address, and its timeline.
fn outboxes(address: SocketAddr) -> (Rc<Outboxes>, Rc<Timeline>) {
    let me = Sender {
        process: "control-1".parse().unwrap(),
        incarnation: Incarnation(1),
        address,
    };
    let (process, clock) = (me.process.clone(), Clock::default());
    let timeline = Rc::new(Timeline::new(process, me.incarnation, clock, MESSAGES));
    let pool = Rc::new(Pool::default());
    let outboxes = Outboxes::new(me, &PeerSecret::trust_all(), pool, timeline.clone());
    (outboxes, timeline)
}

/// Responds as a build does that doesn't know [`Message::ReportResync`].
fn respond_as_earlier_build(
    delivered: &RefCell<Vec<Message>>,
    request: &Request,
    responder: Responder,
) {
    let batch: Batch = wire::decode(&request.body).unwrap();
    if batch.messages.contains(&Message::ReportResync) {
        responder.respond(StatusCode::BAD_REQUEST, HeaderMap::new(), "");
        return;
    }
    delivered.borrow_mut().extend(batch.messages);
    responder.respond(StatusCode::NO_CONTENT, HeaderMap::new(), "");
}

// A build that can't decode one message refuses the whole batch. The messages beside it, such as
// votes and heartbeats, must reach it once each and in order.
#[test_case(&[]; "none")]
#[test_case(&[0]; "first")]
#[test_case(&[199]; "last")]
#[test_case(&[3, 4, 77]; "several")]
fn messages_beside_an_unknown_one_are_delivered(unknown: &[usize]) {
    let (delivered, expected) = block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let delivered = Rc::new(RefCell::new(Vec::new()));
        let sink = delivered.clone();
        let handler: Handler = Rc::new(move |request, responder| {
            respond_as_earlier_build(&sink, &request, responder);
        });
        monoio::spawn(server::serve(listener, Options::default(), handler));
        let (outboxes, _) = outboxes(address);
        let mut expected = Vec::new();
        for number in 0..MESSAGES {
            if unknown.contains(&number) {
                outboxes.send(address, Message::ReportResync);
                continue;
            }
            outboxes.send(address, server_left(number));
            expected.push(server_left(number));
        }
        let started = std::time::Instant::now();
        while delivered.borrow().len() < expected.len() && started.elapsed() < TEST_TIMEOUT {
            monoio::time::sleep(Duration::from_millis(5)).await;
        }
        let delivered = delivered.borrow().clone();
        (delivered, expected)
    })
    .unwrap();
    assert_eq!(delivered, expected);
}

// A flood of one kind of message must show in the log of the process that sends it.
#[test]
fn messages_dropped_from_a_full_outbox_are_reported_once() {
    let events = block_on(async {
        let address = "127.0.0.1:9".parse().unwrap();
        let (outboxes, timeline) = outboxes(address);
        for number in 0..5_000 {
            outboxes.send(address, server_left(number));
        }
        timeline.events_after(0)
    })
    .unwrap();
    let dropped: Vec<_> = (events.iter())
        .filter(|record| record.event.code == Code::MessagesDropped)
        .collect();
    assert_eq!(dropped.len(), 1);
    let logged = serde_json::to_value(&dropped[0].event).unwrap();
    assert_eq!(logged["facts"]["kind"], "server_left");
}

// Votes and heartbeats of the log waited behind, and were dropped for, thousands of other messages.
#[test]
fn messages_of_the_log_overtake_a_flood_of_others() {
    let (delivered, elapsed) = block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let delivered = Rc::new(RefCell::new(0_u64));
        let sink = delivered.clone();
        let handler: Handler = Rc::new(move |request: Request, responder: Responder| {
            let batch: Batch = wire::decode(&request.body).unwrap();
            let is_log = |message: &&Message| matches!(message, Message::Log(_));
            *sink.borrow_mut() += batch.messages.iter().filter(is_log).count() as u64;
            monoio::spawn(async move {
                monoio::time::sleep(Duration::from_millis(200)).await;
                responder.respond(StatusCode::NO_CONTENT, HeaderMap::new(), "");
            });
        });
        monoio::spawn(server::serve(listener, Options::default(), handler));
        let (outboxes, _) = outboxes(address);
        let query = |query_number| {
            Message::Log(log::Message {
                cluster: 1,
                from: Replica(1),
                to: Replica(2),
                term: Term(1),
                body: log::Body::ReadIndex { query_number },
            })
        };
        let started = std::time::Instant::now();
        for number in 0..10_000 {
            if number % 1_000 == 0 {
                outboxes.send(address, query(number as u64));
            }
            outboxes.send(address, server_left(number));
        }
        while *delivered.borrow() < 10 && started.elapsed() < TEST_TIMEOUT {
            monoio::time::sleep(Duration::from_millis(5)).await;
        }
        let count = *delivered.borrow();
        (count, started.elapsed())
    })
    .unwrap();
    assert_eq!(delivered, 10);
    // The shortest election timeout is one second.
    assert!(elapsed < Duration::from_secs(1), "{elapsed:?}");
}
