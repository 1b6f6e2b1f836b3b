//! What the core takes in and what it gives out: inputs, answers, tries, notices, orders. Knows no wire.
use crate::interface::{DestId, HostId, Listed, MsgId, Nanos, News, Outcome, Report};
use crate::journal::{End, Record};
use crate::request::RequestContext;
use std::sync::Arc;

/// What a client is told of a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Answer {
    Taken,
    /// A repeat of one that was delivered.
    Delivered,
    /// Coming again is harmless, after this time if told.
    Reject(Option<Nanos>),
    /// No member of the upstream group is for its dest.
    Unknown,
    Failed,
}

/// One member of the upstream group.
#[derive(Clone, Debug)]
pub struct Member {
    pub uid: String,
    pub address: String,
    pub zone: usize,
    pub kind: usize,
    pub dest: u64,
    pub state: Listed,
    pub rate: f64,
}

/// What was seen of an endpoint, by this forwarder or by a neighbour.
#[derive(Clone, Debug, PartialEq)]
pub struct Sighting {
    /// Discovery's name for the endpoint, the same for all forwarders. One that is replaced has another, also at the
    /// same address.
    pub uid: String,
    pub news: News,
    /// How long ago.
    pub age: Nanos,
}

/// What happened.
pub enum Input {
    Group {
        whole: bool,
        members: Vec<Member>,
    },
    Handed {
        id: MsgId,
        context: RequestContext,
    },
    /// The client went before its answer.
    Withdrawn(MsgId),
    /// `over`: the endpoint says that nothing more is owed.
    TryEnded {
        id: MsgId,
        attempt: u32,
        outcome: Outcome,
        over: bool,
        /// What the answer told of its destination's limit.
        report: Option<Report>,
    },
    /// A partner's word on when to come, told at this endpoint.
    ToldWait {
        host: HostId,
        dest: DestId,
        wait: Nanos,
    },
    NoticeHeard(MsgId),
    /// What neighbours saw.
    Hearsay(Vec<Sighting>),
    /// What the process that had the journal before says of its calls and of endpoints.
    ElderSaid(Vec<Record>),
    /// It has ended, or has no call out.
    ElderGone,
}

/// One attempt at delivery.
#[derive(Clone, Debug)]
pub struct Try {
    pub id: MsgId,
    pub attempt: u32,
    pub host: HostId,
    pub address: String,
    pub timeout: Nanos,
    /// It must not run twice: giving it up forfeits it.
    pub once: bool,
    pub context: Arc<RequestContext>,
}

/// What a client hears of a message that was taken on and not delivered.
#[derive(Clone, Debug)]
pub struct Notice {
    pub id: MsgId,
    pub name: String,
    /// The front that is to pass it on; empty for the platform's own.
    pub origin: String,
    pub end: End,
}

/// What is to be done.
pub enum Order {
    Answer(MsgId, Answer),
    /// One call: a single message, or several for one endpoint.
    Call(Vec<Try>),
    GiveUp {
        id: MsgId,
        attempt: u32,
    },
    Release(HostId),
    Notice(Notice),
}
