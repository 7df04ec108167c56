//! A small JSON value: parser, writer and Base64, with the standard library only.

use std::collections::BTreeMap;
use std::fmt::{Display, Formatter, Result as FmtResult, Write as _};

#[derive(Debug, Clone, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Table(BTreeMap<String, Json>),
}

impl Json {
    pub fn parse(text: &str) -> Option<Self> {
        let bytes = text.as_bytes();
        let mut at = 0;
        value(bytes, &mut at)
    }

    pub fn get(&self, key: &str) -> &Self {
        match self {
            Self::Table(table) => table.get(key).unwrap_or(&Self::Null),
            _ => &Self::Null,
        }
    }

    pub fn text(&self) -> &str {
        match self {
            Self::Text(text) => text,
            _ => "",
        }
    }

    pub fn list(&self) -> &[Self] {
        match self {
            Self::List(list) => list,
            _ => &[],
        }
    }

    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    pub fn number(&self) -> Option<u64> {
        match self {
            Self::Number(number) => Some(*number as u64),
            _ => None,
        }
    }
}

impl Display for Json {
    fn fmt(&self, f: &mut Formatter<'_>) -> FmtResult {
        match self {
            Self::Null => f.write_str("null"),
            Self::Bool(flag) => write!(f, "{flag}"),
            Self::Number(number) => write!(f, "{number}"),
            Self::Text(text) => f.write_str(&quote(text)),
            Self::List(list) => {
                f.write_char('[')?;
                for (index, item) in list.iter().enumerate() {
                    let comma = if index > 0 { "," } else { "" };
                    write!(f, "{comma}{item}")?;
                }
                f.write_char(']')
            }
            Self::Table(table) => {
                f.write_char('{')?;
                for (index, (key, item)) in table.iter().enumerate() {
                    let comma = if index > 0 { "," } else { "" };
                    write!(f, "{comma}{}:{item}", quote(key))?;
                }
                f.write_char('}')
            }
        }
    }
}

fn quote(text: &str) -> String {
    let mut quoted = String::from('"');
    for letter in text.chars() {
        match letter {
            '"' => quoted.push_str("\\\""),
            '\\' => quoted.push_str("\\\\"),
            '\n' => quoted.push_str("\\n"),
            '\r' => quoted.push_str("\\r"),
            '\t' => quoted.push_str("\\t"),
            letter => quoted.push(letter),
        }
    }
    quoted.push('"');
    quoted
}

fn skip(bytes: &[u8], at: &mut usize) {
    while bytes.get(*at).is_some_and(u8::is_ascii_whitespace) {
        *at += 1;
    }
}

fn value(bytes: &[u8], at: &mut usize) -> Option<Json> {
    skip(bytes, at);
    match bytes.get(*at)? {
        b'{' => table(bytes, at),
        b'[' => list(bytes, at),
        b'"' => Some(Json::Text(string(bytes, at)?)),
        b't' => word(bytes, at, "true", Json::Bool(true)),
        b'f' => word(bytes, at, "false", Json::Bool(false)),
        b'n' => word(bytes, at, "null", Json::Null),
        _ => {
            let from = *at;
            while bytes
                .get(*at)
                .is_some_and(|byte| matches!(byte, b'0'..=b'9' | b'-' | b'+' | b'.' | b'e' | b'E'))
            {
                *at += 1;
            }
            let text = std::str::from_utf8(&bytes[from..*at]).ok()?;
            text.parse().ok().map(Json::Number)
        }
    }
}

fn word(bytes: &[u8], at: &mut usize, text: &str, json: Json) -> Option<Json> {
    bytes.get(*at..)?.starts_with(text.as_bytes()).then(|| {
        *at += text.len();
        json
    })
}

fn table(bytes: &[u8], at: &mut usize) -> Option<Json> {
    let mut table = BTreeMap::new();
    *at += 1;
    loop {
        skip(bytes, at);
        match bytes.get(*at)? {
            b'}' => {
                *at += 1;
                return Some(Json::Table(table));
            }
            b',' => *at += 1,
            _ => {
                let key = string(bytes, at)?;
                skip(bytes, at);
                if *bytes.get(*at)? != b':' {
                    return None;
                }
                *at += 1;
                table.insert(key, value(bytes, at)?);
            }
        }
    }
}

fn list(bytes: &[u8], at: &mut usize) -> Option<Json> {
    let mut list = Vec::new();
    *at += 1;
    loop {
        skip(bytes, at);
        match bytes.get(*at)? {
            b']' => {
                *at += 1;
                return Some(Json::List(list));
            }
            b',' => *at += 1,
            _ => list.push(value(bytes, at)?),
        }
    }
}

fn string(bytes: &[u8], at: &mut usize) -> Option<String> {
    if *bytes.get(*at)? != b'"' {
        return None;
    }
    *at += 1;
    let mut text = Vec::new();
    loop {
        let byte = *bytes.get(*at)?;
        *at += 1;
        match byte {
            b'"' => return String::from_utf8(text).ok(),
            b'\\' => {
                let escaped = *bytes.get(*at)?;
                *at += 1;
                match escaped {
                    b'n' => text.push(b'\n'),
                    b'r' => text.push(b'\r'),
                    b't' => text.push(b'\t'),
                    b'u' => {
                        let digits = std::str::from_utf8(bytes.get(*at..*at + 4)?).ok()?;
                        let code = u32::from_str_radix(digits, 16).ok()?;
                        *at += 4;
                        let letter = char::from_u32(code).unwrap_or('?');
                        text.extend(letter.to_string().bytes());
                    }
                    other => text.push(other),
                }
            }
            byte => text.push(byte),
        }
    }
}

const LETTERS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

/// Encodes bytes as Base64.
pub fn base64(bytes: &[u8]) -> String {
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let number = chunk
            .iter()
            .chain([0, 0].iter())
            .take(3)
            .fold(0_usize, |number, byte| number << 8 | usize::from(*byte));
        for index in 0..4 {
            if index <= chunk.len() {
                text.push(char::from(LETTERS[number >> (18 - 6 * index) & 63]));
            } else {
                text.push('=');
            }
        }
    }
    text
}

/// Decodes Base64; letters that do not belong to it are skipped.
pub fn from_base64(text: &str) -> Vec<u8> {
    let (mut bytes, mut bits, mut count) = (Vec::new(), 0_usize, 0);
    for letter in text.bytes() {
        let Some(index) = LETTERS.iter().position(|known| *known == letter) else {
            continue;
        };
        bits = (bits << 6 | index) & 0xFF_FFFF;
        count += 6;
        if count >= 8 {
            count -= 8;
            bytes.push(u8::try_from(bits >> count & 255).unwrap_or(0));
        }
    }
    bytes
}
