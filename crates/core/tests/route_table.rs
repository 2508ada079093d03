//! Routes by host and longest path prefix, weighted services, and versions of the table that only
//! increase.

mod forward_support;

use std::collections::BTreeSet;

use forward_support::{REQUEST_LIMITS, forwarder, mixed, route, service, table};
use turmericrail_core::forward::{RouteTable, TableError, WeightedService};
use turmericrail_core::ids::ConfigVersion;

#[test]
fn longest_prefix_wins() {
    let routes = vec![
        route("all", "a.example", "/"),
        route("short", "a.example", "/x/"),
        route("long", "a.example", "/x/y/"),
        route("other", "b.example", "/x/y/z/"),
    ];
    let table = table(1, routes);
    let find = |host, path| table.find(host, path).map(|route| route.name.as_str());
    assert_eq!(find("a.example", "/x/y/z/1"), Some("long"));
    assert_eq!(find("a.example", "/x/y"), Some("short"));
    assert_eq!(find("a.example", "/x"), Some("all"));
    assert_eq!(find("b.example", "/x/y/"), None);
    assert_eq!(find("c.example", "/"), None);
}

#[test]
fn nested_prefixes() {
    // Guards against a look-up that misses a shorter prefix behind a sibling, or takes another than
    // the longest one.
    let texts =
        ["/", "/a/", "/a/b/", "/a/b/c/", "/a/ba/", "/aa/", "/a-/", "/\u{e9}/", "/\u{e8}/x/"];
    let prefixes: Vec<String> = (0..512)
        .map(|number| format!("{}{}", texts[number % 9], &texts[number / 9 % 9][1..]))
        .collect();
    for seed in 0..200 {
        let chosen = (0..8).map(|index| &prefixes[mixed(seed * 8 + index) as usize % 512]);
        let chosen: BTreeSet<&String> = chosen.collect();
        let routes = chosen.iter().enumerate();
        let routes =
            routes.map(|(index, prefix)| route(&format!("r{index}"), "a", prefix)).collect();
        let table = table(1, routes);
        for path in prefixes.iter().flat_map(|prefix| [prefix.clone(), format!("{prefix}z")]) {
            let longest = chosen.iter().filter(|prefix| path.starts_with(prefix.as_str()));
            let longest = longest.max_by_key(|prefix| prefix.len()).map(|prefix| prefix.as_str());
            let found = table.find("a", &path).map(|route| route.path_prefix.as_str());
            assert_eq!(found, longest, "{path} among {chosen:?}");
        }
    }
}

#[test]
fn service_weights() {
    let mut shared = route("r", "a", "/");
    let weighted_service =
        |name: &str, weight| WeightedService { service: name.parse().unwrap(), weight };
    shared.services =
        vec![weighted_service("one", 90), weighted_service("none", 0), weighted_service("two", 10)];
    let count = |name: &str| {
        (0..1_000).filter(|random| shared.pick_service(*random).unwrap().as_str() == name).count()
    };
    assert_eq!((count("one"), count("none"), count("two")), (900, 0, 100));
}

#[test]
fn increasing_versions() {
    let mut forwarder = forwarder(&[]);
    let routes = |name: &str| vec![route(name, "a.example", "/")];
    assert!(forwarder.apply_table(table(7, routes("seven"))));
    assert!(!forwarder.apply_table(table(5, routes("five"))));
    assert!(!forwarder.apply_table(table(7, routes("again"))));
    let found = forwarder.table().unwrap().find("a.example", "/").unwrap().name.to_string();
    assert_eq!(found, "seven");
}

#[test]
fn invalid_routes() {
    let build = |services| {
        let mut invalid = route("r", "a", "/");
        invalid.services = services;
        RouteTable::new(ConfigVersion(1), REQUEST_LIMITS, vec![service()], vec![invalid])
            .map(|_| ())
    };
    let unknown = WeightedService { service: "none".parse().unwrap(), weight: 1 };
    assert!(matches!(build(vec![unknown]), Err(TableError::UnknownService { .. })));
    assert!(matches!(build(vec![]), Err(TableError::NoService { .. })));
}
