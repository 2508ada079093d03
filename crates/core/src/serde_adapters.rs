//! `serde_with` adapters for values that people write in YAML.
//!
//! A quantity is a whole number in the unit that the field name ends in, or a text with its own
//! unit (`2s` in a field that ends in `_ms`). It is always serialized as a whole number.

use std::fmt::{self, Display};
use std::marker::PhantomData;
use std::net::SocketAddr;
use std::str::FromStr;

use serde::de::{Error, Unexpected, Visitor};
use serde::{Deserializer, Serialize, Serializer};
use serde_with::{DeserializeAs, SerializeAs};

use crate::units::MAX_QUANTITY;

/// Adapter for a quantity: a whole number, or a text with a unit.
pub struct Quantity;

struct QuantityVisitor<T>(PhantomData<T>);

impl<T> Visitor<'_> for QuantityVisitor<T>
where
    T: FromStr + From<u64>,
    T::Err: Display,
{
    type Value = T;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(
            "a whole number in the unit that the field ends in, or a text with its unit such as 2s",
        )
    }

    fn visit_u64<E: Error>(self, value: u64) -> Result<T, E> {
        if value > MAX_QUANTITY {
            return Err(E::custom(format!("bad quantity {value}: too large")));
        }
        Ok(T::from(value))
    }

    fn visit_i64<E: Error>(self, value: i64) -> Result<T, E> {
        let value =
            u64::try_from(value).map_err(|_| E::invalid_value(Unexpected::Signed(value), &self))?;
        self.visit_u64(value)
    }

    fn visit_str<E: Error>(self, value: &str) -> Result<T, E> {
        value.parse().map_err(E::custom)
    }
}

impl<'de, T> DeserializeAs<'de, T> for Quantity
where
    T: FromStr + From<u64>,
    T::Err: Display,
{
    fn deserialize_as<D: Deserializer<'de>>(deserializer: D) -> Result<T, D::Error> {
        deserializer.deserialize_any(QuantityVisitor(PhantomData))
    }
}

impl<T: Serialize> SerializeAs<T> for Quantity {
    fn serialize_as<S: Serializer>(source: &T, serializer: S) -> Result<S::Ok, S::Error> {
        source.serialize(serializer)
    }
}

/// Adapter for an IP address and port; host names are refused.
pub struct IpAndPort;

struct IpAndPortVisitor;

impl Visitor<'_> for IpAndPortVisitor {
    type Value = SocketAddr;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("an IP number and port such as 10.0.0.7:8080")
    }

    fn visit_str<E: Error>(self, value: &str) -> Result<SocketAddr, E> {
        value.parse().map_err(|_| {
            E::custom(format!(
                "bad address {value:?}: write an IP number and port such as 10.0.0.7:8080"
            ))
        })
    }
}

impl<'de> DeserializeAs<'de, SocketAddr> for IpAndPort {
    fn deserialize_as<D: Deserializer<'de>>(deserializer: D) -> Result<SocketAddr, D::Error> {
        deserializer.deserialize_str(IpAndPortVisitor)
    }
}

impl SerializeAs<SocketAddr> for IpAndPort {
    fn serialize_as<S: Serializer>(source: &SocketAddr, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(source)
    }
}
