//! What a build that doesn't know settled members sends, and what it keeps of what it receives.

use eelgrassdyke_core::wire::log::{Body, FormationStage, Members, Message, Payload, Record};

pub fn strip_members(members: &mut Members) {
    members.outgoing.clear();
    members.settled = false;
}

pub fn strip_record(record: &mut Record) {
    if let Payload::Members(members) = &mut record.payload {
        strip_members(members);
    }
}

pub fn strip_message(message: &mut Message) {
    match &mut message.body {
        Body::RequestVote { knows_settled, .. } | Body::AppendResponse { knows_settled, .. } => {
            *knows_settled = false;
        }
        Body::Append { records, .. } => records.iter_mut().for_each(strip_record),
        Body::InstallSnapshot { members, .. } => strip_members(members),
        Body::Hello {
            stage,
            challenge,
            answer,
            ..
        } => {
            (*challenge, *answer) = (0, 0);
            if let FormationStage::Formed(members) = stage {
                strip_members(members);
            }
        }
        _ => {}
    }
}
