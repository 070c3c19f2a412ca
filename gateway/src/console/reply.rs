//! Replies of the console.
use super::CallError;
use larchway_operations::manual_ejection::{EjectionAction, EjectionOutcome};

/// The status of a reply.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Status {
    /// 200.
    Ok,
    /// 400.
    BadRequest,
    /// 404.
    NotFound,
    /// 405.
    MethodNotAllowed,
    /// 408.
    RequestTimeout,
    /// 409.
    Conflict,
    /// 411.
    LengthRequired,
    /// 413.
    ContentTooLarge,
    /// 431.
    HeaderFieldsTooLarge,
    /// 503.
    ServiceUnavailable,
}

impl Status {
    /// The status code (RFC 9110, RFC 6585).
    pub fn code(self) -> u16 {
        match self {
            Status::Ok => 200,
            Status::BadRequest => 400,
            Status::NotFound => 404,
            Status::MethodNotAllowed => 405,
            Status::RequestTimeout => 408,
            Status::Conflict => 409,
            Status::LengthRequired => 411,
            Status::ContentTooLarge => 413,
            Status::HeaderFieldsTooLarge => 431,
            Status::ServiceUnavailable => 503,
        }
    }

    fn reason_phrase(self) -> &'static str {
        match self {
            Status::Ok => "OK",
            Status::BadRequest => "Bad Request",
            Status::NotFound => "Not Found",
            Status::MethodNotAllowed => "Method Not Allowed",
            Status::RequestTimeout => "Request Timeout",
            Status::Conflict => "Conflict",
            Status::LengthRequired => "Length Required",
            Status::ContentTooLarge => "Content Too Large",
            Status::HeaderFieldsTooLarge => "Request Header Fields Too Large",
            Status::ServiceUnavailable => "Service Unavailable",
        }
    }
}

/// A reply: status and text.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Reply {
    pub(super) status: Status,
    pub(super) text: String,
    /// The method that a path accepts, where another one was used.
    pub(super) allow: Option<&'static str>,
}

impl Reply {
    /// With this status and line of text.
    pub fn new(status: Status, text: impl Into<String>) -> Self {
        Reply { status, text: text.into(), allow: None }
    }

    /// The report of a part of the gateway; `absence`: why there is none.
    pub fn report(report: Option<String>, absence: &str) -> Self {
        match report {
            Some(report) => Reply::new(Status::Ok, report + "\n"),
            None => Reply::new(Status::NotFound, format!("{absence}\n")),
        }
    }

    /// The reply to a manual ejection or restoration; `unsaved`: why a restart would undo it.
    pub fn ejection(
        store: &str,
        action: EjectionAction,
        outcome: EjectionOutcome,
        unsaved: Option<&str>,
    ) -> Self {
        let store = store.escape_default();
        let state = match action {
            EjectionAction::Eject => "out",
            EjectionAction::Restore => "back",
        };
        match (outcome, unsaved) {
            (EjectionOutcome::Applied, None) => Reply::new(Status::Ok, format!("{store} is {state}\n")),
            (EjectionOutcome::Applied, Some(reason)) => {
                let text = format!("{store} is {state}, but a restart would forget it yet: {reason}\n");
                Reply::new(Status::Ok, text)
            }
            (EjectionOutcome::UnknownStore, _) => {
                Reply::new(Status::NotFound, format!("who: nobody has the id {store}\n"))
            }
            (EjectionOutcome::TooManyEjected, _) => {
                Reply::new(Status::Conflict, "who: too many stores are out\n")
            }
        }
    }

    /// The reply as HTTP/1.1.
    pub(super) fn encode(&self) -> Vec<u8> {
        let allow = self.allow.map_or(String::new(), |method| format!("Allow: {method}\r\n"));
        format!(
            "HTTP/1.1 {} {}\r\nContent-Type: text/plain; charset=utf-8\r\nContent-Length: {}\r\n\
             Cache-Control: no-store\r\n{allow}Connection: close\r\n\r\n{}",
            self.status.code(),
            self.status.reason_phrase(),
            self.text.len(),
            self.text
        )
        .into_bytes()
    }
}

impl From<CallError> for Reply {
    fn from(error: CallError) -> Self {
        let allow = match &error {
            CallError::WrongMethod { accepted, .. } => Some(*accepted),
            _ => None,
        };
        Reply { status: error.status(), text: format!("{error}\n"), allow }
    }
}
