//! Validation of the routes of a configuration.

use crate::config::check::check_servers;
use crate::config::document::{Configuration, Route, ServerRole};
use crate::config::error::ConfigError;
use crate::config::key_path::KeyPath;

const ALLOWED_METHODS: [&str; 7] = ["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"];
/// First path segments that the daemon serves itself.
const RESERVED_SEGMENTS: [&str; 6] = ["v1", "health", "ready", "metrics", "status", "decisions"];

pub(super) fn check_routes(configuration: &Configuration) -> Result<(), ConfigError> {
    let routes: Vec<_> = configuration.routes.iter().collect();
    for (index, (id, route)) in routes.iter().enumerate() {
        let path = KeyPath::new("routes").join(id);
        check_route(&path, route)?;
        let same = routes[..index].iter().find(|(_, other)| has_same_pattern(route, other));
        if let Some((other, _)) = same {
            let problem = format!(
                "duplicate route: {other} takes {} {} too, change one of them",
                route.method, route.path
            );
            return Err(ConfigError::at(path.join("path"), problem));
        }
        let is_plain = |role| role == ServerRole::Plain;
        check_servers(configuration, &path.join("servers"), &route.servers, "plain", is_plain)?;
    }
    Ok(())
}

fn check_route(path: &KeyPath, route: &Route) -> Result<(), ConfigError> {
    if !ALLOWED_METHODS.contains(&route.method.as_str()) {
        let problem =
            format!("unknown method {:?}: use one of {}", route.method, ALLOWED_METHODS.join(", "));
        return Err(ConfigError::at(path.join("method"), problem));
    }
    if route.timeout_ms.0 == 0 {
        return Err(ConfigError::at(path.join("timeout_ms"), "must be more than zero"));
    }
    check_pattern(&route.path).map_err(|problem| ConfigError::at(path.join("path"), problem))
}

fn check_pattern(pattern: &str) -> Result<(), String> {
    let invalid = |advice: &str| Err(format!("bad path pattern {pattern:?}: {advice}"));
    let Some(rest) = pattern.strip_prefix('/') else {
        return invalid("start it with /");
    };
    for segment in rest.split('/') {
        let name = segment.strip_prefix('{').and_then(|segment| segment.strip_suffix('}'));
        let text = name.unwrap_or(segment);
        if text.is_empty() {
            return invalid(
                "a segment is empty, remove the doubled or last /, or write a name in the braces",
            );
        }
        if text.contains(['{', '}']) {
            return invalid("braces must enclose a whole segment, as in /stock/{board}");
        }
        if text.contains(['?', '#', '*']) || text.contains(char::is_whitespace) {
            return invalid("leave out spaces, '?', '#' and '*'");
        }
    }
    let first = rest.split('/').next().unwrap_or_default();
    if RESERVED_SEGMENTS.contains(&first) {
        return invalid("the router serves this path itself, choose another first segment");
    }
    Ok(())
}

fn has_same_pattern(one: &Route, other: &Route) -> bool {
    let shape = |route: &Route| {
        let segments = route.path.split('/');
        let shapes = segments.map(|segment| if segment.starts_with('{') { "{}" } else { segment });
        shapes.collect::<Vec<_>>().join("/")
    };
    one.method == other.method && shape(one) == shape(other)
}
