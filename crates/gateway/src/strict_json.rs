//! JSON objects in which no field may stand twice.

use serde::de::{DeserializeSeed, Error, MapAccess, SeqAccess, Visitor};
use serde_json::{Map, Number, Value};
use std::fmt;

const DUPLICATE_MARK: &str = "duplicate field ";

/// Why a body is no object.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum JsonFault {
    /// It is no JSON, or no object.
    Invalid(String),
    /// This field stands twice.
    Duplicate(String),
}

/// Reads an object.
///
/// # Errors
/// [`JsonFault`].
pub fn read_object(bytes: &[u8]) -> Result<Map<String, Value>, JsonFault> {
    let mut reader = serde_json::Deserializer::from_slice(bytes);
    let value = StrictValue.deserialize(&mut reader).and_then(|value| reader.end().map(|()| value));
    match value {
        Ok(Value::Object(object)) => Ok(object),
        Ok(_) => Err(JsonFault::Invalid("the body is no object".into())),
        Err(fault) => Err(classify(&fault.to_string())),
    }
}

fn classify(text: &str) -> JsonFault {
    match text.strip_prefix(DUPLICATE_MARK) {
        Some(rest) => JsonFault::Duplicate(rest.split(" at line").next().unwrap_or(rest).to_owned()),
        None => JsonFault::Invalid(text.to_owned()),
    }
}

struct StrictValue;

impl<'de> DeserializeSeed<'de> for StrictValue {
    type Value = Value;

    fn deserialize<D: serde::Deserializer<'de>>(self, deserializer: D) -> Result<Value, D::Error> {
        deserializer.deserialize_any(self)
    }
}

impl<'de> Visitor<'de> for StrictValue {
    type Value = Value;

    fn expecting(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("a JSON value")
    }

    fn visit_bool<E>(self, value: bool) -> Result<Value, E> {
        Ok(Value::Bool(value))
    }

    fn visit_i64<E>(self, value: i64) -> Result<Value, E> {
        Ok(value.into())
    }

    fn visit_u64<E>(self, value: u64) -> Result<Value, E> {
        Ok(value.into())
    }

    fn visit_f64<E>(self, value: f64) -> Result<Value, E> {
        Ok(Number::from_f64(value).map_or(Value::Null, Value::Number))
    }

    fn visit_str<E>(self, value: &str) -> Result<Value, E> {
        Ok(Value::String(value.to_owned()))
    }

    fn visit_unit<E>(self) -> Result<Value, E> {
        Ok(Value::Null)
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut sequence: A) -> Result<Value, A::Error> {
        let mut values = Vec::new();
        while let Some(value) = sequence.next_element_seed(StrictValue)? {
            values.push(value);
        }
        Ok(Value::Array(values))
    }

    fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<Value, A::Error> {
        let mut object = Map::new();
        while let Some(key) = map.next_key::<String>()? {
            let value = map.next_value_seed(StrictValue)?;
            if object.insert(key.clone(), value).is_some() {
                return Err(A::Error::custom(format!("{DUPLICATE_MARK}{key}")));
            }
        }
        Ok(Value::Object(object))
    }
}
