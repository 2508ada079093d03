//! Lines of the keys of a YAML text, so that an error found after parsing can name its line.

use std::fmt;

use serde::de::{MapAccess, SeqAccess, Visitor};
use serde::{Deserialize, Deserializer};
use serde_saphyr::{Location, Spanned};

use crate::config::key_path::KeyPath;

/// A position in a text; both numbers count from one.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
#[expect(missing_docs, reason = "the names say it")]
pub struct Position {
    pub line: u64,
    pub column: u64,
}

impl From<Location> for Position {
    fn from(location: Location) -> Self {
        Self { line: location.line(), column: location.column() }
    }
}

/// Keys and items of a YAML text with their positions.
#[derive(Debug, Default)]
pub struct LineTree {
    children: Vec<Child>,
}

#[derive(Debug)]
struct Child {
    key: String,
    position: Position,
    tree: LineTree,
}

impl LineTree {
    /// Reads the positions in a text; empty where the text is not valid YAML.
    pub fn of(text: &str) -> Self {
        serde_saphyr::from_str(text).unwrap_or_default()
    }

    /// Line of the deepest key of the path that is in the text.
    pub fn line_of(&self, path: &KeyPath) -> Option<u64> {
        let mut tree = self;
        let mut line = None;
        for key in &path.0 {
            let Some(child) = tree.children.iter().find(|child| child.key == *key) else {
                break;
            };
            line = Some(child.position.line);
            tree = &child.tree;
        }
        line
    }

    /// Path of the innermost key at or before a position.
    pub fn path_at(&self, position: Position) -> KeyPath {
        let mut keys = Vec::new();
        let mut tree = self;
        while let Some(child) = tree.children.iter().rfind(|child| child.position <= position) {
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
            children.push(Child { position: key.referenced.into(), key: key.value, tree });
        }
        Ok(LineTree { children })
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut items: A) -> Result<LineTree, A::Error> {
        let mut children = Vec::new();
        while let Some(item) = items.next_element::<Spanned<LineTree>>()? {
            let key = children.len().to_string();
            children.push(Child { key, position: item.referenced.into(), tree: item.value });
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
