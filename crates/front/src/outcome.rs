//! What the end of an exchange means for evidence, log and caller.

use http_body_util::Full;
use toucanledge_steering::ServerEvidence;

use crate::answer;
use crate::answer::{CallerAnswer, RefusalReason};
use crate::attempt::RequestTrace;
use crate::exchange::{ExchangeEnd, ServerAnswer};

/// Time in milliseconds after which a refused caller may come back.
pub const COME_BACK_MS: u64 = 50;

/// Returns what an exchange showed about its backend server.
#[must_use]
pub fn evidence_of(end: &ExchangeEnd) -> ServerEvidence {
    match end {
        ExchangeEnd::Answered(answer) if answer.status.is_server_error() => {
            ServerEvidence::OwnError
        }
        ExchangeEnd::Answered(_) => ServerEvidence::Success,
        ExchangeEnd::Full | ExchangeEnd::WrongServer => ServerEvidence::Full,
        ExchangeEnd::Broken => ServerEvidence::Broken,
        ExchangeEnd::BadAnswer => ServerEvidence::BadAnswer,
        ExchangeEnd::Silent => ServerEvidence::Silent,
    }
}

/// Returns the name of an end for the log: the status of an answer, else what happened.
#[must_use]
pub fn end_name(end: &ExchangeEnd) -> String {
    match end {
        ExchangeEnd::Answered(answer) => answer.status.as_u16().to_string(),
        ExchangeEnd::Full => "full".to_owned(),
        ExchangeEnd::WrongServer => "wrong-server".to_owned(),
        ExchangeEnd::Broken => "broken".to_owned(),
        ExchangeEnd::BadAnswer => "bad-answer".to_owned(),
        ExchangeEnd::Silent => "silent".to_owned(),
    }
}

/// Answers with the last failure: the backend server's own answer where there is one.
pub fn give_up(
    (reason, server_answer): (RefusalReason, Option<ServerAnswer>),
    trace: &mut RequestTrace,
) -> CallerAnswer {
    trace.refused = Some(reason);
    match server_answer {
        Some(server_answer) => pass_on(server_answer),
        None => answer::refusal(reason, COME_BACK_MS),
    }
}

/// Passes an answer of a backend server on.
#[must_use]
pub fn pass_on(server_answer: ServerAnswer) -> CallerAnswer {
    let mut answer = hyper::Response::new(Full::new(server_answer.body));
    *answer.status_mut() = server_answer.status;
    *answer.headers_mut() = server_answer.headers;
    answer
}
