//! The roles of a server in a request, and values stored for each role.
use std::ops::Index;

/// The role of a server in a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Role {
    /// The edge cache that receives the request.
    Edge,
    /// The server that fills a miss at the edge cache.
    Source,
}

/// One value for each role, since observations of a cache differ much between the two.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
#[cfg_attr(
    feature = "serde",
    serde(
        from = "[T; 2]",
        into = "[T; 2]",
        bound = "T: Clone + serde::Serialize + serde::de::DeserializeOwned"
    )
)]
pub(crate) struct PerRole<T> {
    /// The value for [`Role::Edge`].
    pub edge: T,
    /// The value for [`Role::Source`].
    pub source: T,
}

impl<T> Index<Role> for PerRole<T> {
    type Output = T;

    fn index(&self, role: Role) -> &T {
        match role {
            Role::Edge => &self.edge,
            Role::Source => &self.source,
        }
    }
}

/// The serialized order: edge, then source.
impl<T> From<PerRole<T>> for [T; 2] {
    fn from(values: PerRole<T>) -> [T; 2] {
        [values.edge, values.source]
    }
}

impl<T> From<[T; 2]> for PerRole<T> {
    fn from([edge, source]: [T; 2]) -> PerRole<T> {
        PerRole { edge, source }
    }
}
