//! The front for signed links (called the second front in the documentation): HTTP/1.1 with signed URLs and URI Signing
//! tokens. It authorizes requests; the core decides how they are served, as for the platform's front.
//!
//! [`Session`] is the state of one client connection. It decodes requests, replies to those that need no decision, and
//! passes requests for objects to its owner as actions.
mod admission;
mod arrivals;
mod error;
pub mod http;
mod issue;
mod keys;
pub mod link;
mod path;
mod request;
mod session;
mod settings;
pub mod token;
mod validity;

pub use error::{Denied, IssueError, PathError, RequestError, UnknownKey};
pub use issue::{issue, Issued};
pub use keys::{Keys, Secret};
pub use path::{parse_path, ObjectPath};
pub use session::{Action, AfterReply, Context, Handled, Session, REQUEST_TIMEOUT};
pub use settings::FrontSettings;

#[cfg(test)]
pub(crate) mod tests;
