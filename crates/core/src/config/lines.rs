//! Lines of a YAML text, so that an error found after parsing can name its line.

use std::fmt;

use serde::de::{MapAccess, SeqAccess, Visitor};
use serde::{Deserialize, Deserializer};
use serde_saphyr::{Location, Spanned};

use crate::config::key_path::KeyPath;

/// A place in a text; both numbers count from one.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Place {
    /// The line.
    pub line: u64,
    /// The column.
    pub column: u64,
}

impl From<Location> for Place {
    fn from(location: Location) -> Self {
        Self { line: location.line(), column: location.column() }
    }
}

/// The keys and items of a YAML text, each with its line.
#[derive(Debug, Default)]
pub struct LineTree {
    children: Vec<Child>,
}

#[derive(Debug)]
struct Child {
    key: String,
    place: Place,
    tree: LineTree,
}

impl LineTree {
    /// The lines of a text; empty where the text is no YAML.
    pub fn of(text: &str) -> Self {
        serde_saphyr::from_str(text).unwrap_or_default()
    }

    /// The line of the deepest key of the path that stands in the text.
    pub fn line_of(&self, path: &KeyPath) -> Option<u64> {
        let mut tree = self;
        let mut line = None;
        for key in &path.0 {
            let Some(child) = tree.children.iter().find(|child| child.key == *key) else {
                break;
            };
            line = Some(child.place.line);
            tree = &child.tree;
        }
        line
    }

    /// The path of the innermost key that stands at or before a place in the text.
    pub fn path_at(&self, place: Place) -> KeyPath {
        let mut keys = Vec::new();
        let mut tree = self;
        while let Some(child) = tree.children.iter().rfind(|child| child.place <= place) {
            keys.push(child.key.clone());
            tree = &child.tree;
        }
        KeyPath(keys)
    }
}

impl<'de> Deserialize<'de> for LineTree {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_any(LineTreeVisitor)
    }
}

struct LineTreeVisitor;

impl<'de> Visitor<'de> for LineTreeVisitor {
    type Value = LineTree;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("any value")
    }

    fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<LineTree, A::Error> {
        let mut children = Vec::new();
        while let Some((key, tree)) = map.next_entry::<Spanned<String>, LineTree>()? {
            children.push(Child { place: key.referenced.into(), key: key.value, tree });
        }
        Ok(LineTree { children })
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut items: A) -> Result<LineTree, A::Error> {
        let mut children = Vec::new();
        while let Some(item) = items.next_element::<Spanned<LineTree>>()? {
            let key = children.len().to_string();
            children.push(Child { key, place: item.referenced.into(), tree: item.value });
        }
        Ok(LineTree { children })
    }

    fn visit_bool<E>(self, _: bool) -> Result<LineTree, E> {
        Ok(LineTree::default())
    }

    fn visit_i64<E>(self, _: i64) -> Result<LineTree, E> {
        Ok(LineTree::default())
    }

    fn visit_u64<E>(self, _: u64) -> Result<LineTree, E> {
        Ok(LineTree::default())
    }

    fn visit_f64<E>(self, _: f64) -> Result<LineTree, E> {
        Ok(LineTree::default())
    }

    fn visit_str<E>(self, _: &str) -> Result<LineTree, E> {
        Ok(LineTree::default())
    }

    fn visit_unit<E>(self) -> Result<LineTree, E> {
        Ok(LineTree::default())
    }

    fn visit_none<E>(self) -> Result<LineTree, E> {
        Ok(LineTree::default())
    }
}
