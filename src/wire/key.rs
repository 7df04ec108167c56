//! Shared keys of this system's processes, and signatures by them.

use crate::common::*;
use hmac::{Hmac, Mac};
use sha2::{Digest, Sha256};
use subtle::ConstantTimeEq;

/// Minimum length of a key.
pub const MIN_BYTES: usize = 16;

/// A shared key; its `Debug` output hides it from logs and dumps.
#[derive(Clone, PartialEq, Eq)]
pub struct Key(Vec<u8>);

impl fmt::Debug for Key {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.write_str("Key(hidden)")
    }
}

impl FromStr for Key {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self> {
        if text.len() < MIN_BYTES {
            let text = format!("a key has at least {MIN_BYTES} characters: choose a longer one");
            return Err(Error::Usage { text });
        }
        Ok(Self(text.as_bytes().to_vec()))
    }
}

impl Key {
    /// Returns the HMAC-SHA-256 of the parts. Each part is prefixed with its length, so that bytes
    /// cannot be moved between parts without changing the signature.
    ///
    /// # Panics
    /// Never: HMAC accepts keys of any length.
    #[must_use]
    pub fn sign(&self, parts: &[&[u8]]) -> [u8; 32] {
        let mut mac =
            Hmac::<Sha256>::new_from_slice(&self.0).expect("HMAC accepts keys of any length");
        for part in parts {
            mac.update(&(part.len() as u64).to_be_bytes());
            mac.update(part);
        }
        mac.finalize().into_bytes().into()
    }

    /// Derives a key for the purpose that the parts name.
    #[must_use]
    pub fn derive(&self, parts: &[&[u8]]) -> Self {
        Self(self.sign(parts).to_vec())
    }

    /// Verifies a signature of the parts, in constant time.
    #[must_use]
    pub fn verify(&self, parts: &[&[u8]], tag: &[u8]) -> bool {
        self.sign(parts).as_slice().ct_eq(tag).into()
    }
}

/// One or two keys: the first signs, both are accepted. There are two while a key is being rotated.
#[derive(Debug, Clone)]
pub struct Ring(Vec<Key>);

impl FromStr for Ring {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self> {
        let keys: Result<Vec<Key>> = text.split(',').map(str::parse).collect();
        let keys = keys?;
        if keys.len() > 2 {
            return Err(Error::Usage {
                text: "at most two keys: the new one, then the old one".into(),
            });
        }
        Ok(Self(keys))
    }
}

impl Ring {
    /// Returns the key that signs.
    #[must_use]
    pub fn signing_key(&self) -> &Key {
        &self.0[0]
    }

    /// Returns all keys whose signatures are accepted.
    #[must_use]
    pub fn accepted_keys(&self) -> &[Key] {
        &self.0
    }

    /// Returns the accepted key that made a signature.
    #[must_use]
    pub fn find(&self, parts: &[&[u8]], tag: &[u8]) -> Option<&Key> {
        self.0.iter().find(|key| key.verify(parts, tag))
    }
}

/// Returns the SHA-256 in hex.
#[must_use]
pub fn digest(text: &[u8]) -> String {
    hex(&Sha256::digest(text))
}

/// Encodes bytes as hex.
#[must_use]
pub fn hex(bytes: &[u8]) -> String {
    use std::fmt::Write;
    bytes
        .iter()
        .fold(String::with_capacity(bytes.len() * 2), |mut text, byte| {
            let _ = write!(text, "{byte:02x}");
            text
        })
}

/// Decodes hex; returns `None` if the text is not valid hex.
#[must_use]
pub fn unhex(text: &str) -> Option<Vec<u8>> {
    if !text.len().is_multiple_of(2) || !text.is_ascii() {
        return None;
    }
    (0..text.len())
        .step_by(2)
        .map(|at| u8::from_str_radix(&text[at..at + 2], 16).ok())
        .collect()
}
