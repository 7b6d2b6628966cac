//! Derive sets used throughout the workspace.
//!
//! The macros define the derives of plain data types, of string identifiers and of numeric types in
//! one place.

/// Derives the traits of plain data types: `Clone`, `Debug`, `PartialEq` and the serde traits.
#[macro_export]
macro_rules! data {
    ($($item:item)*) => {
        $(
            #[derive(Clone, Debug, PartialEq, ::serde::Serialize, ::serde::Deserialize)]
            $item
        )*
    };
}

/// Declares string identifiers: 1 to 128 characters of `[A-Za-z0-9._:/-]`.
#[macro_export]
macro_rules! string_id {
    ($($(#[$meta:meta])* $name:ident;)*) => {
        $(
            $(#[$meta])*
            #[derive(
                Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord,
                ::serde::Serialize, ::serde::Deserialize,
            )]
            #[serde(try_from = "String", into = "String")]
            pub struct $name(::std::sync::Arc<str>);

            impl $name {
                /// The identifier as text.
                pub fn as_str(&self) -> &str {
                    &self.0
                }
            }

            impl ::std::fmt::Display for $name {
                fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
                    f.write_str(&self.0)
                }
            }

            impl ::std::str::FromStr for $name {
                type Err = $crate::id::Error;

                fn from_str(text: &str) -> $crate::id::Result<Self> {
                    $crate::id::check_name(text)?;
                    Ok(Self(text.into()))
                }
            }

            impl TryFrom<String> for $name {
                type Error = $crate::id::Error;

                fn try_from(text: String) -> $crate::id::Result<Self> {
                    text.parse()
                }
            }

            impl From<$name> for String {
                fn from(name: $name) -> Self {
                    name.0.to_string()
                }
            }
        )*
    };
}

/// Declares numeric types: a `u64` with ordering, display, parsing and saturating arithmetic.
#[macro_export]
macro_rules! quantity {
    ($($(#[$meta:meta])* $name:ident;)*) => {
        $(
            $(#[$meta])*
            #[derive(
                Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord,
                ::serde::Serialize, ::serde::Deserialize,
            )]
            #[serde(transparent)]
            pub struct $name(pub u64);

            impl $name {
                /// The value plus one, saturating.
                #[must_use]
                pub fn next(self) -> Self {
                    Self(self.0.saturating_add(1))
                }
            }

            impl ::std::fmt::Display for $name {
                fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
                    ::std::fmt::Display::fmt(&self.0, f)
                }
            }

            impl ::std::str::FromStr for $name {
                type Err = ::std::num::ParseIntError;

                fn from_str(text: &str) -> ::std::result::Result<Self, Self::Err> {
                    text.parse().map(Self)
                }
            }

            impl ::std::ops::Add for $name {
                type Output = Self;

                fn add(self, other: Self) -> Self {
                    Self(self.0.saturating_add(other.0))
                }
            }

            impl ::std::ops::AddAssign for $name {
                fn add_assign(&mut self, other: Self) {
                    *self = *self + other;
                }
            }

            impl ::std::ops::Sub for $name {
                type Output = Self;

                fn sub(self, other: Self) -> Self {
                    Self(self.0.saturating_sub(other.0))
                }
            }
        )*
    };
}
