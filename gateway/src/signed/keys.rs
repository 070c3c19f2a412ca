//! Named secrets: keys that sign links and tokens, and credentials of those who may have some issued.
use super::error::UnknownKey;
use base64::engine::general_purpose::URL_SAFE_NO_PAD;
use base64::Engine;
use hmac::{Hmac, Mac};
use sha2::Sha256;

/// A named secret.
#[derive(Clone)]
pub struct Secret {
    /// Its name.
    pub name: String,
    secret: Vec<u8>,
}

impl std::fmt::Debug for Secret {
    /// Writes the name only: secrets must not reach a log.
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(formatter, "Secret({})", self.name)
    }
}

impl Secret {
    /// A secret under a name.
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

    /// Whether a signature is right, compared in constant time.
    pub(super) fn verifies(&self, text: &[u8], signature: &[u8]) -> bool {
        self.mac(text).is_some_and(|mac| mac.verify_slice(signature).is_ok())
    }

    /// Whether a credential is this secret: both are put through the HMAC, so the time taken shows nothing.
    pub(super) fn matches(&self, credential: &[u8]) -> bool {
        self.verifies(&self.secret, &self.sign(credential))
    }
}

/// The named keys: the first one signs, all of them verify, so that keys can be changed one at a time.
#[derive(Debug, Clone, Default)]
pub struct Keys(pub Vec<Secret>);

impl Keys {
    /// The key of a name.
    pub(super) fn named(&self, name: &str) -> Option<&Secret> {
        self.0.iter().find(|key| key.name == name)
    }

    /// All keys.
    pub(super) fn all(&self) -> impl Iterator<Item = &Secret> {
        self.0.iter()
    }

    /// The key that signs: the one of this name, or the first one.
    pub(super) fn signing(&self, name: Option<&str>) -> Result<&Secret, UnknownKey> {
        let key = name.map_or(self.0.first(), |name| self.named(name));
        key.ok_or_else(|| UnknownKey(name.unwrap_or("").to_string()))
    }
}

/// Bytes in base64url without padding (RFC 4648, section 5).
pub(super) fn encode_base64url(bytes: &[u8]) -> String {
    URL_SAFE_NO_PAD.encode(bytes)
}

/// The bytes of a text in base64url without padding.
pub(super) fn decode_base64url(text: &str) -> Option<Vec<u8>> {
    URL_SAFE_NO_PAD.decode(text).ok()
}
