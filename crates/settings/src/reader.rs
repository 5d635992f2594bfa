//! Reads and validates the values of a settings file one by one.
//!
//! The code that reads a key also defines its unit, range, default and meaning.
//! [`ReadContext`] collects these as [`SettingSpec`]s, so that the generated
//! documentation always matches the reader. An invalid value is reported and replaced
//! by a placeholder; the caller discards the result if there are faults.

use crate::{
    units::{format_duration, format_size, parse_duration, parse_size},
    SettingsFault,
};
use jsonc_parser::{
    ast::{Object, Value},
    common::Ranged,
};
use std::{
    net::{Ipv4Addr, SocketAddr},
    ops::RangeInclusive,
    time::Duration,
};

/// Placeholder for an invalid address.
const PLACEHOLDER: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(Ipv4Addr::UNSPECIFIED), 0);

/// Length of a SHA-256 in hexadecimal digits.
const HASH_DIGITS: usize = 64;

/// How a value with a unit is parsed and formatted.
struct QuantityCodec<T> {
    kind: &'static str,
    parse: fn(&str) -> Option<T>,
    format: fn(T) -> String,
}

/// Parser and formatter of a duration.
const DURATION_CODEC: QuantityCodec<Duration> = QuantityCodec {
    kind: "a duration (ms, s, min, h)",
    parse: parse_duration,
    format: format_duration,
};

/// Parser and formatter of a size in bytes.
const SIZE_CODEC: QuantityCodec<u64> = QuantityCodec {
    kind: "a size (B, KiB, MiB, GiB)",
    parse: parse_size,
    format: format_size,
};

/// Documentation of one key.
pub(crate) struct SettingSpec {
    pub(crate) key: String,
    pub(crate) allowed: String,
    pub(crate) default: String,
    pub(crate) meaning: &'static str,
}

/// State collected while a file is read.
pub(crate) struct ReadContext<'a> {
    text: &'a str,
    pub(crate) faults: Vec<SettingsFault>,
    pub(crate) specs: Vec<SettingSpec>,
    /// Keys that are present with their lines; sorted by key after reading.
    pub(crate) lines: Vec<(String, usize)>,
}

impl<'a> ReadContext<'a> {
    pub(crate) fn new(text: &'a str) -> Self {
        Self {
            text,
            faults: Vec::new(),
            specs: Vec::new(),
            lines: Vec::new(),
        }
    }

    /// Returns the line of a byte offset, starting at 1.
    fn line_at(&self, offset: usize) -> usize {
        let before = self.text.as_bytes().iter().take(offset);
        1 + before.filter(|&&byte| byte == b'\n').count()
    }
}

/// Reads the keys of one object of the file.
pub(crate) struct SectionReader<'r, 'a> {
    context: &'r mut ReadContext<'a>,
    object: Option<&'r Object<'a>>,
    prefix: String,
    line: usize,
    known: Vec<&'static str>,
}

impl<'r, 'a> SectionReader<'r, 'a> {
    /// Creates a reader of the top-level object.
    pub(crate) fn new(context: &'r mut ReadContext<'a>, object: Option<&'r Object<'a>>) -> Self {
        let line = object.map_or(1, |object| context.line_at(object.start()));
        Self {
            context,
            object,
            prefix: String::new(),
            line,
            known: Vec::new(),
        }
    }

    /// Reads the section called `name` with `read`.
    pub(crate) fn section<T>(
        &mut self,
        name: &'static str,
        read: impl FnOnce(&mut SectionReader<'_, 'a>) -> T,
    ) -> T {
        self.known.push(name);
        let value = self.find(name);
        let object = value.and_then(Value::as_object);
        let line = value.map_or(self.line, |value| self.context.line_at(value.start()));
        if let (Some(value), None) = (value, object) {
            self.add_fault(line, name, describe_value(value), "an object");
        }
        let mut section = SectionReader {
            context: self.context,
            object,
            prefix: format!("{}{name}.", self.prefix),
            line,
            known: Vec::new(),
        };
        let result = read(&mut section);
        section.finish();
        result
    }

    /// Reports unknown and duplicate keys.
    pub(crate) fn finish(self) {
        let Some(object) = self.object else { return };
        for (index, property) in object.properties.iter().enumerate() {
            let name = property.name.as_str();
            let key = format!("{}{name}", self.prefix);
            let line = self.context.line_at(property.start());
            let earlier = object.properties.iter().take(index);
            let is_duplicate = earlier.filter(|other| other.name.as_str() == name).count() > 0;
            let (found, allowed) = if !self.known.contains(&name) {
                (
                    "an unknown key",
                    format!("one of {}", self.known.join(", ")),
                )
            } else if is_duplicate {
                ("a duplicate key", "each key once".to_owned())
            } else {
                continue;
            };
            self.context.faults.push(SettingsFault {
                line,
                key,
                found: found.to_owned(),
                allowed,
            });
        }
    }

    /// Reads a required name and converts it with `convert`.
    pub(crate) fn name<T, E: std::fmt::Display>(
        &mut self,
        name: &'static str,
        convert: impl Fn(&str) -> Result<T, E>,
        meaning: &'static str,
    ) -> Option<T> {
        let allowed = "1 to 96 ASCII letters, digits, '.', '_', '-', '/'";
        let value = self.value(name, allowed, "required", meaning)?;
        let converted = value
            .as_string_lit()
            .and_then(|text| convert(&text.value).ok());
        self.checked(name, value, converted, allowed)
    }

    /// Reads a required SHA-256 in hexadecimal; returns it in lower case.
    pub(crate) fn hash(&mut self, name: &'static str, meaning: &'static str) -> String {
        let allowed = "a SHA-256 as 64 hexadecimal digits";
        let Some(value) = self.value(name, allowed, "required", meaning) else {
            return String::new();
        };
        let is_hash = |text: &str| {
            text.len() == HASH_DIGITS && text.bytes().all(|byte| byte.is_ascii_hexdigit())
        };
        let text = value
            .as_string_lit()
            .map(|text| text.value.to_ascii_lowercase());
        let hash = text.filter(|text| is_hash(text));
        self.checked(name, value, hash, allowed).unwrap_or_default()
    }

    /// Reads a required address to listen on or to connect to.
    pub(crate) fn address(&mut self, name: &'static str, meaning: &'static str) -> SocketAddr {
        let allowed = "an IP address with a port, such as \"127.0.0.1:7000\"";
        let Some(value) = self.value(name, allowed, "required", meaning) else {
            return PLACEHOLDER;
        };
        let address = value
            .as_string_lit()
            .and_then(|text| text.value.parse().ok());
        self.checked(name, value, address, allowed)
            .unwrap_or(PLACEHOLDER)
    }

    /// Reads an optional address.
    pub(crate) fn optional_address(
        &mut self,
        name: &'static str,
        default: &str,
        meaning: &'static str,
    ) -> Option<SocketAddr> {
        let allowed = "an IP address with a port, such as \"127.0.0.1:7000\"";
        let value = self.value(name, allowed, default, meaning)?;
        let address = value
            .as_string_lit()
            .and_then(|text| text.value.parse().ok());
        self.checked(name, value, address, allowed)
    }

    /// Reads an optional list of addresses; empty by default.
    pub(crate) fn addresses(
        &mut self,
        name: &'static str,
        meaning: &'static str,
    ) -> Vec<SocketAddr> {
        let allowed = "a list of IP addresses with ports";
        let Some(value) = self.value(name, allowed, "[]", meaning) else {
            return Vec::new();
        };
        let Some(array) = value.as_array() else {
            self.checked::<()>(name, value, None, allowed);
            return Vec::new();
        };
        let mut addresses = Vec::new();
        for element in &array.elements {
            let address: Option<SocketAddr> = element
                .as_string_lit()
                .and_then(|text| text.value.parse().ok());
            addresses.extend(self.checked(name, element, address, allowed));
        }
        addresses
    }

    /// Reads a duration with a unit.
    pub(crate) fn duration(
        &mut self,
        name: &'static str,
        default: Duration,
        range: RangeInclusive<Duration>,
        meaning: &'static str,
    ) -> Duration {
        let codec = DURATION_CODEC;
        self.quantity(name, default, range, codec, meaning)
    }

    /// Reads a size with a unit; returns it in bytes.
    pub(crate) fn size(
        &mut self,
        name: &'static str,
        default: u64,
        range: RangeInclusive<u64>,
        meaning: &'static str,
    ) -> usize {
        let codec = SIZE_CODEC;
        let size = self.quantity(name, default, range, codec, meaning);
        usize::try_from(size).unwrap_or(usize::MAX)
    }

    /// Reads an integer without a unit.
    pub(crate) fn count(
        &mut self,
        name: &'static str,
        default: usize,
        range: RangeInclusive<usize>,
        meaning: &'static str,
    ) -> usize {
        self.number(name, "an integer", default, range, meaning)
    }

    /// Reads a number from 0 to 1.
    pub(crate) fn fraction(
        &mut self,
        name: &'static str,
        default: f64,
        meaning: &'static str,
    ) -> f64 {
        self.number(name, "a number", default, 0.0..=1.0, meaning)
    }

    /// Reads one of the named values of an enum.
    pub(crate) fn choice<T>(
        &mut self,
        name: &'static str,
        default: T,
        choices: &[(&'static str, T)],
        meaning: &'static str,
    ) -> T
    where
        T: Copy + PartialEq,
    {
        let names: Vec<_> = choices
            .iter()
            .map(|(text, _)| format!("\"{text}\""))
            .collect();
        let allowed = format!("one of {}", names.join(", "));
        let chosen = choices.iter().find(|(_, choice)| *choice == default);
        let default_text = chosen.map_or(String::new(), |(text, _)| format!("\"{text}\""));
        let Some(value) = self.value(name, &allowed, &default_text, meaning) else {
            return default;
        };
        let text = value.as_string_lit().map(|text| text.value.as_ref());
        let choice = choices
            .iter()
            .find(|(choice, _)| text == Some(choice))
            .map(|&(_, choice)| choice);
        self.checked(name, value, choice, &allowed)
            .unwrap_or(default)
    }

    /// Reads a number without a unit, within `range`.
    fn number<T>(
        &mut self,
        name: &'static str,
        kind: &str,
        default: T,
        range: RangeInclusive<T>,
        meaning: &'static str,
    ) -> T
    where
        T: PartialOrd + std::fmt::Display + std::str::FromStr + Copy,
    {
        let allowed = format!("{kind} from {} to {}", range.start(), range.end());
        let Some(value) = self.value(name, &allowed, &default.to_string(), meaning) else {
            return default;
        };
        let number = value
            .as_number_lit()
            .and_then(|number| number.value.parse().ok());
        let number = number.filter(|number| range.contains(number));
        self.checked(name, value, number, &allowed)
            .unwrap_or(default)
    }

    /// Reads a quantity with a unit, within `range`.
    fn quantity<T: PartialOrd + Copy>(
        &mut self,
        name: &'static str,
        default: T,
        range: RangeInclusive<T>,
        codec: QuantityCodec<T>,
        meaning: &'static str,
    ) -> T {
        let QuantityCodec {
            kind,
            parse,
            format,
        } = codec;
        let (low, high) = (format(*range.start()), format(*range.end()));
        let allowed = format!("{kind} from {low} to {high}");
        let default_text = format!("\"{}\"", format(default));
        let Some(value) = self.value(name, &allowed, &default_text, meaning) else {
            return default;
        };
        let quantity = value.as_string_lit().and_then(|text| parse(&text.value));
        let quantity = quantity.filter(|quantity| range.contains(quantity));
        self.checked(name, value, quantity, &allowed)
            .unwrap_or(default)
    }

    /// Returns the value of key `name`, and records the key's line and documentation.
    fn value(
        &mut self,
        name: &'static str,
        allowed: &str,
        default: &str,
        meaning: &'static str,
    ) -> Option<&'r Value<'a>> {
        let key = format!("{}{name}", self.prefix);
        self.known.push(name);
        self.context.specs.push(SettingSpec {
            key: key.clone(),
            allowed: allowed.to_owned(),
            default: default.to_owned(),
            meaning,
        });
        let value = self.find(name);
        match value {
            Some(value) => {
                let line = self.context.line_at(value.start());
                self.context.lines.push((key, line));
            }
            None if default == "required" => {
                self.add_fault(self.line, name, "nothing".to_owned(), allowed)
            }
            None => {}
        }
        value
    }

    /// Returns the value of key `name`, if the section contains it.
    fn find(&self, name: &str) -> Option<&'r Value<'a>> {
        let properties = &self.object?.properties;
        let property = properties
            .iter()
            .find(|property| property.name.as_str() == name);
        property.map(|property| &property.value)
    }

    /// Returns `result`, and reports `value` as invalid if it is `None`.
    fn checked<T>(
        &mut self,
        name: &str,
        value: &Value<'a>,
        result: Option<T>,
        allowed: &str,
    ) -> Option<T> {
        if result.is_none() {
            let line = self.context.line_at(value.start());
            self.add_fault(line, name, describe_value(value), allowed);
        }
        result
    }

    fn add_fault(&mut self, line: usize, name: &str, found: String, allowed: &str) {
        let key = format!("{}{name}", self.prefix);
        let allowed = allowed.to_owned();
        self.context.faults.push(SettingsFault {
            line,
            key,
            found,
            allowed,
        });
    }
}

/// Describes a value for a fault.
fn describe_value(value: &Value<'_>) -> String {
    match value {
        Value::StringLit(text) => format!("{:?}", text.value),
        Value::NumberLit(number) => format!("the number {}", number.value),
        Value::BooleanLit(boolean) => boolean.value.to_string(),
        Value::Object(_) => "an object".to_owned(),
        Value::Array(_) => "a list".to_owned(),
        Value::NullKeyword(_) => "null".to_owned(),
    }
}
