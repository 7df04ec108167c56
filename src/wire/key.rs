//! Keys that processes of this system share, and what they sign.

use crate::common::*;
use hmac::{Hmac, Mac};
use sha2::{Digest, Sha256};
use subtle::ConstantTimeEq;

/// Shortest key, in characters.
pub const MIN_BYTES: usize = 16;

/// A shared key; it never shows in logs or dumps.
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
    /// Signature of parts, none of which can pass for another.
    ///
    /// # Panics
    /// Never: any length is a key.
    #[must_use]
    pub fn sign(&self, parts: &[&[u8]]) -> [u8; 32] {
        let mut mac = Hmac::<Sha256>::new_from_slice(&self.0).expect("any length is a key");
        for part in parts {
            mac.update(&(part.len() as u64).to_be_bytes());
            mac.update(part);
        }
        mac.finalize().into_bytes().into()
    }

    /// A key for one purpose.
    #[must_use]
    pub fn derive(&self, parts: &[&[u8]]) -> Self {
        Self(self.sign(parts).to_vec())
    }

    /// Whether a signature of parts is right; takes the same time for all wrong ones.
    #[must_use]
    pub fn verify(&self, parts: &[&[u8]], tag: &[u8]) -> bool {
        self.sign(parts).as_slice().ct_eq(tag).into()
    }
}

/// One or two keys: the first signs, any is accepted. Two are given while a key is rotated.
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
    /// Key that signs.
    #[must_use]
    pub fn signing_key(&self) -> &Key {
        &self.0[0]
    }

    /// All accepted keys.
    #[must_use]
    pub fn accepted_keys(&self) -> &[Key] {
        &self.0
    }

    /// The accepted key under which a signature is right.
    #[must_use]
    pub fn find(&self, parts: &[&[u8]], tag: &[u8]) -> Option<&Key> {
        self.0.iter().find(|key| key.verify(parts, tag))
    }
}

/// SHA-256 in hex.
#[must_use]
pub fn digest(text: &[u8]) -> String {
    hex(&Sha256::digest(text))
}

/// Bytes in hex.
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

/// Bytes out of hex, none where it is no hex.
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
