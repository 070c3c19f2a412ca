//! The watched paths of the ensemble, by the kind of their children.
use super::{EnsembleSettings, OwnInstance};

/// The kind of the child nodes of a watched path.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum WatchKind {
    /// Stores.
    Stores,
    /// Gateways.
    Gateways,
    /// Changes of the hierarchy.
    HierarchyChanges,
}

/// The watched paths; their indices are those in the configuration of the client.
#[derive(Debug)]
pub(super) struct Watches {
    paths: Vec<WatchedPath>,
}

#[derive(Debug)]
struct WatchedPath {
    kind: WatchKind,
    path: String,
}

impl Watches {
    /// Collects the paths that a configuration watches.
    pub(super) fn new(settings: &EnsembleSettings, own: &OwnInstance) -> Self {
        let gateways_path = settings.counts_gateways.then_some(&settings.registration_path);
        let paths = [
            (WatchKind::Stores, settings.stores_path.as_ref()),
            (WatchKind::Gateways, gateways_path),
            (WatchKind::HierarchyChanges, own.changes_path.as_ref()),
        ];
        let watched = |(kind, path): (WatchKind, Option<&String>)| {
            path.map(|path| WatchedPath { kind, path: path.clone() })
        };
        Watches { paths: paths.into_iter().filter_map(watched).collect() }
    }

    /// The paths, in the order of their indices.
    pub(super) fn paths(&self) -> Vec<String> {
        self.paths.iter().map(|watched| watched.path.clone()).collect()
    }

    /// The kind of the child nodes of the path with an index.
    pub(super) fn kind(&self, watch: usize) -> WatchKind {
        self.paths.get(watch).map_or(WatchKind::Gateways, |watched| watched.kind)
    }

    /// The path with an index.
    pub(super) fn path(&self, watch: usize) -> &str {
        self.paths.get(watch).map_or("", |watched| &watched.path)
    }
}
