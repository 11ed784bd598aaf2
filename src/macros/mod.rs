//! Derive sets shared by the plain data types of the crate.
//!
//! Every value that crosses a port is cloned, compared in tests, printed in
//! logs and serialized by `serde`. The macro keeps those derives in one place.

/// Declares data types with the derive set of serializable values.
///
/// The set is `Clone`, `Debug`, `PartialEq`, `Eq`, `Serialize` and
/// `Deserialize`. Further attributes on the item are kept as they are.
#[macro_export]
macro_rules! value_types {
    ($($(#[$meta:meta])* $vis:vis $kind:ident $name:ident $body:tt)*) => {
        $(
            #[derive(
                Clone,
                Debug,
                PartialEq,
                Eq,
                ::serde::Serialize,
                ::serde::Deserialize,
            )]
            $(#[$meta])*
            $vis $kind $name $body
        )*
    };
}
