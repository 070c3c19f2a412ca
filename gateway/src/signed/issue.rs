//! Issuing of links and of URLs with a token.
use super::error::IssueError;
use super::path::parse_path;
use super::settings::FrontSettings;
use super::{link, token};
use crate::json_fields::{integer, text};
use crate::wire_settings::WireSettings;
use larchway::settings::get;
use miniserde::json::Value;

/// Lifetime of a link in seconds if the request does not state one.
const DEFAULT_LIFETIME_S: u64 = 3600;

/// A link, or a URL with a token.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Issued {
    /// The URL.
    pub url: String,
    /// When it expires, in Unix seconds.
    pub expires: u64,
}

/// Issues what `issue_request` requests, for a holder of an issuing credential or an operator at the command line.
/// `now_unix_s`: the current Unix time.
pub fn issue(
    wire_settings: &WireSettings,
    front: &FrontSettings,
    issue_request: &Value,
    now_unix_s: u64,
) -> Result<Issued, IssueError> {
    let path = text(issue_request, "path")?.ok_or(IssueError::PathMissing)?;
    parse_path(wire_settings, front, path)?;
    let lifetime_s = integer(issue_request, "expires_in", DEFAULT_LIFETIME_S, 1)?;
    if lifetime_s > front.max_lifetime_s {
        return Err(IssueError::LifetimeTooLong(front.max_lifetime_s));
    }
    let not_before = match get(issue_request, "not_before") {
        None => None,
        Some(_) => Some(integer(issue_request, "not_before", 0, 0)?),
    };
    let method = text(issue_request, "method")?.unwrap_or("GET");
    if method != "GET" && method != "HEAD" {
        return Err(IssueError::Method);
    }
    let key = text(issue_request, "key")?;
    let expires = now_unix_s + lifetime_s;
    let url = match text(issue_request, "kind")?.unwrap_or("url") {
        "url" => {
            let grant = link::Grant { method, path, expires, not_before };
            format!("{}{}", front.base, link::issue(&front.keys, key, &grant)?)
        }
        "token" => {
            let uri = format!("{}{path}", front.base);
            let grant = token::Grant { uri: &uri, expires, not_before };
            let token = token::issue(&front.keys, key, &front.parties, &grant)?;
            format!("{uri}?{}={token}", token::PARAMETER)
        }
        other => return Err(IssueError::Kind(other.to_string())),
    };
    Ok(Issued { url, expires })
}
