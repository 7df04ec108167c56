//! JSON and Base64, as far as transactions and orders need them.

use std::collections::BTreeMap;

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
    pub fn get(&self, name: &str) -> Option<&Json> {
        match self {
            Json::Table(table) => table.get(name),
            _ => None,
        }
    }

    pub fn text(&self, name: &str) -> String {
        match self.get(name) {
            Some(Json::Text(text)) => text.clone(),
            _ => String::new(),
        }
    }

    pub fn number(&self, name: &str) -> u64 {
        match self.get(name) {
            Some(Json::Number(number)) => *number as u64,
            _ => 0,
        }
    }

    pub fn list(&self, name: &str) -> &[Json] {
        match self.get(name) {
            Some(Json::List(list)) => list,
            _ => &[],
        }
    }
}

pub fn parse(text: &str) -> Option<Json> {
    value(&mut text.trim().chars().peekable())
}

type Chars<'a> = std::iter::Peekable<std::str::Chars<'a>>;

fn skip(chars: &mut Chars) {
    while chars
        .next_if(|it| it.is_whitespace() || *it == ',' || *it == ':')
        .is_some()
    {}
}

fn value(chars: &mut Chars) -> Option<Json> {
    skip(chars);
    match *chars.peek()? {
        '{' => {
            chars.next();
            let mut table = BTreeMap::new();
            loop {
                skip(chars);
                if chars.next_if_eq(&'}').is_some() {
                    return Some(Json::Table(table));
                }
                let name = string(chars)?;
                table.insert(name, value(chars)?);
            }
        }
        '[' => {
            chars.next();
            let mut list = Vec::new();
            loop {
                skip(chars);
                if chars.next_if_eq(&']').is_some() {
                    return Some(Json::List(list));
                }
                list.push(value(chars)?);
            }
        }
        '"' => string(chars).map(Json::Text),
        _ => {
            let mut word = String::new();
            while let Some(next) = chars.next_if(|it| it.is_alphanumeric() || "+-.".contains(*it)) {
                word.push(next);
            }
            match word.as_str() {
                "null" => Some(Json::Null),
                "true" => Some(Json::Bool(true)),
                "false" => Some(Json::Bool(false)),
                number => number.parse().ok().map(Json::Number),
            }
        }
    }
}

fn string(chars: &mut Chars) -> Option<String> {
    chars.next_if_eq(&'"')?;
    let mut text = String::new();
    loop {
        match chars.next()? {
            '"' => return Some(text),
            '\\' => text.push(match chars.next()? {
                'n' => '\n',
                't' => '\t',
                other => other,
            }),
            other => text.push(other),
        }
    }
}

const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

pub fn to_base64(bytes: &[u8]) -> String {
    let mut text = String::new();
    for group in bytes.chunks(3) {
        let mut bits = 0_u32;
        for index in 0..3 {
            bits = bits << 8 | u32::from(group.get(index).copied().unwrap_or(0));
        }
        for index in 0..4 {
            let digit = bits >> (18 - 6 * index) & 63;
            let is_used = index <= group.len();
            text.push(if is_used {
                char::from(DIGITS[digit as usize])
            } else {
                '='
            });
        }
    }
    text
}
