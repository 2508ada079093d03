//! Matching of plain calls to the configured routes.

use crate::config::Configuration;
use crate::config::document::Route;
use crate::ids::RouteId;

/// The route that matches a method and path; a path segment in braces matches any non-empty
/// segment.
pub fn match_route<'a>(
    configuration: &'a Configuration,
    method: &str,
    path: &str,
) -> Option<(&'a RouteId, &'a Route)> {
    let routes = configuration.routes.iter();
    routes.into_iter().find(|(_, route)| route.method == method && matches_path(&route.path, path))
}

fn matches_path(pattern: &str, path: &str) -> bool {
    let mut segments = path.split('/');
    for expected in pattern.split('/') {
        let Some(segment) = segments.next() else {
            return false;
        };
        let is_variable = expected.starts_with('{') && expected.ends_with('}');
        let is_match = if is_variable { !segment.is_empty() } else { expected == segment };
        if !is_match {
            return false;
        }
    }
    segments.next().is_none()
}
