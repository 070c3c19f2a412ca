//! The file of the front for signed links and tokens.
use super::error::{FileError, SecretError, SignedFrontError};
use crate::json_fields::{address, integer, list, parse, text, texts, KeyError, KeyProblem};
use crate::operator_file::read_text;
use crate::signed::{token::Parties, FrontSettings, Keys, Secret};
use miniserde::json::Value;

/// Seconds for which a link is valid at most, if the file states no other limit.
const DEFAULT_MAX_LIFETIME_S: u64 = 604_800;
/// Bytes that a secret has at least.
const MIN_SECRET_BYTES: usize = 16;
/// The schemes with which the links that clients see begin.
const SCHEMES: [&str; 2] = ["http://", "https://"];

/// How a secret is written.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Encoding {
    Hexadecimal,
    Plain,
}

/// Reads the file at a path; secrets may be left to the environment.
pub fn front_file(path: &str) -> Result<FrontSettings, FileError> {
    let text = read_text(path)?;
    front(&text, |name| std::env::var(name).ok()).map_err(|error| FileError::invalid(path, error))
}

/// Reads the text of the file; `environment` gives the value of a variable.
pub fn front(
    file: &str,
    environment: impl Fn(&str) -> Option<String>,
) -> Result<FrontSettings, SignedFrontError> {
    let all = parse(file)?;
    let base = read_base(&all)?;
    let classes = texts(&all, "classes")?;
    if classes.is_empty() {
        return Err(KeyError::new("classes", KeyProblem::MissingOrEmpty).into());
    }
    let keys = read_secrets(&all, "keys", &environment, Encoding::Hexadecimal)?;
    if keys.is_empty() {
        return Err(KeyError::new("keys", KeyProblem::MissingOrEmpty).into());
    }
    Ok(FrontSettings {
        listen: address(&all, "listen")?.ok_or_else(|| KeyError::new("listen", KeyProblem::Missing))?,
        base,
        classes,
        keys: Keys(keys),
        holders: read_secrets(&all, "holders", &environment, Encoding::Plain)?,
        parties: Parties {
            issuers: texts(&all, "issuers")?,
            audience: text(&all, "audience")?.map(str::to_string),
        },
        max_lifetime_s: integer(&all, "longest_s", DEFAULT_MAX_LIFETIME_S, 1)?,
    })
}

fn read_base(all: &Value) -> Result<String, SignedFrontError> {
    let base = text(all, "base")?.ok_or_else(|| KeyError::new("base", KeyProblem::Missing))?;
    let base = base.trim_end_matches('/').to_string();
    if !SCHEMES.iter().any(|scheme| base.starts_with(scheme)) {
        return Err(SignedFrontError::Scheme(base));
    }
    Ok(base)
}

/// Reads a list of named secrets: each has `secret`, or `secret_env` with the variable that holds it.
fn read_secrets(
    all: &Value,
    key: &'static str,
    environment: &impl Fn(&str) -> Option<String>,
    encoding: Encoding,
) -> Result<Vec<Secret>, SignedFrontError> {
    let mut secrets: Vec<Secret> = Vec::new();
    for entry in list(all, key)? {
        let secret = read_secret(entry, &secrets, environment, encoding)
            .map_err(|source| SignedFrontError::Secret { list: key, source })?;
        secrets.push(secret);
    }
    Ok(secrets)
}

fn read_secret(
    entry: &Value,
    others: &[Secret],
    environment: &impl Fn(&str) -> Option<String>,
    encoding: Encoding,
) -> Result<Secret, SecretError> {
    let name = text(entry, "name")?.unwrap_or("").to_string();
    let plain = |byte: u8| byte.is_ascii_alphanumeric() || b"._-".contains(&byte);
    if name.is_empty() || !name.bytes().all(plain) {
        return Err(SecretError::InvalidName(name));
    }
    if others.iter().any(|other| other.name == name) {
        return Err(SecretError::DuplicateName(name));
    }
    let written = match (text(entry, "secret")?, text(entry, "secret_env")?) {
        (Some(secret), None) => secret.to_string(),
        (None, Some(variable)) => environment(variable)
            .ok_or_else(|| SecretError::NotSet { name: name.clone(), variable: variable.to_string() })?,
        _ => return Err(SecretError::NotGivenOnce(name)),
    };
    let bytes = decode(written.trim(), encoding).ok_or_else(|| SecretError::NotHexadecimal(name.clone()))?;
    if bytes.len() < MIN_SECRET_BYTES {
        return Err(SecretError::TooShort(name));
    }
    Ok(Secret::new(name, bytes))
}

fn decode(text: &str, encoding: Encoding) -> Option<Vec<u8>> {
    match encoding {
        Encoding::Plain => Some(text.as_bytes().to_vec()),
        Encoding::Hexadecimal => decode_hexadecimal(text),
    }
}

fn decode_hexadecimal(text: &str) -> Option<Vec<u8>> {
    if !text.len().is_multiple_of(2) || !text.bytes().all(|byte| byte.is_ascii_hexdigit()) {
        return None;
    }
    (0..text.len()).step_by(2).map(|at| u8::from_str_radix(&text[at..at + 2], 16).ok()).collect()
}
