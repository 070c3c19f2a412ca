//! Named secrets: keys that sign links and tokens, and credentials that allow requests to issue them.
use super::error::UnknownKey;
use base64::engine::general_purpose::URL_SAFE_NO_PAD;
use base64::Engine;
use hmac::{Hmac, Mac};
use sha2::Sha256;

/// A named secret.
#[derive(Clone)]
pub struct Secret {
    /// The name of the secret.
    pub name: String,
    secret: Vec<u8>,
}

impl std::fmt::Debug for Secret {
    /// Writes only the name, so that no secret is logged.
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(formatter, "Secret({})", self.name)
    }
}

impl Secret {
    /// Creates a secret with this name.
    pub fn new(name: String, secret: Vec<u8>) -> Self {
        Secret { name, secret }
    }

    fn mac(&self, text: &[u8]) -> Option<Hmac<Sha256>> {
        let mut mac = Hmac::<Sha256>::new_from_slice(&self.secret).ok()?;
        mac.update(text);
        Some(mac)
    }

    /// The HMAC-SHA256 of a text.
    pub(super) fn sign(&self, text: &[u8]) -> Vec<u8> {
        self.mac(text).map_or_else(Vec::new, |mac| mac.finalize().into_bytes().to_vec())
    }

    /// Whether a signature of a text is valid; compares in constant time.
    pub(super) fn verifies(&self, text: &[u8], signature: &[u8]) -> bool {
        self.mac(text).is_some_and(|mac| mac.verify_slice(signature).is_ok())
    }

    /// Whether a credential equals this secret. Compares HMACs in constant time, so that timing reveals nothing.
    pub(super) fn matches(&self, credential: &[u8]) -> bool {
        self.verifies(&self.secret, &self.sign(credential))
    }
}

/// The named keys. The first one signs and all of them verify, so that keys can be rotated one at a time.
#[derive(Debug, Clone, Default)]
pub struct Keys(pub Vec<Secret>);

impl Keys {
    /// The key with this name.
    pub(super) fn named(&self, name: &str) -> Option<&Secret> {
        self.0.iter().find(|key| key.name == name)
    }

    /// All keys.
    pub(super) fn all(&self) -> impl Iterator<Item = &Secret> {
        self.0.iter()
    }

    /// The key to sign with: the one with this name, or the first one if no name is given.
    pub(super) fn signing(&self, name: Option<&str>) -> Result<&Secret, UnknownKey> {
        let key = name.map_or(self.0.first(), |name| self.named(name));
        key.ok_or_else(|| UnknownKey(name.unwrap_or("").to_string()))
    }
}

/// Encodes bytes in base64url without padding (RFC 4648, section 5).
pub(super) fn encode_base64url(bytes: &[u8]) -> String {
    URL_SAFE_NO_PAD.encode(bytes)
}

/// Decodes base64url without padding.
pub(super) fn decode_base64url(text: &str) -> Option<Vec<u8>> {
    URL_SAFE_NO_PAD.decode(text).ok()
}
