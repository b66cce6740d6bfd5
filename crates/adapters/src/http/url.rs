//! Addresses of outside systems.

use std::fmt;
use std::net::SocketAddr;
use std::str::FromStr;

use ::http::Uri;
use ::http::uri::{Authority, InvalidUri, Scheme};
use snafu::{OptionExt, ResultExt, Snafu, ensure};

/// Hexadecimal digits of percent encoding.
const HEX: &[u8; 16] = b"0123456789ABCDEF";

/// A text is not the address of an outside system.
#[derive(Debug, Snafu)]
pub enum BaseUrlError {
    /// The text is no URL.
    #[snafu(display("`{text}` is no URL ({source}): write it as http://10.0.0.1:9001"))]
    Invalid {
        /// The text.
        text: String,
        /// What is wrong with it.
        source: InvalidUri,
    },
    /// The URL has another scheme than `http`.
    #[snafu(display("`{text}` doesn't start with http://: write it as http://10.0.0.1:9001"))]
    NotHttp {
        /// The text.
        text: String,
    },
    /// The URL names no address.
    #[snafu(display("`{text}` names no address: write it as http://10.0.0.1:9001"))]
    NoAuthority {
        /// The text.
        text: String,
    },
    /// The URL has a path or a query.
    #[snafu(display("`{text}` has a path or query: write only http://10.0.0.1:9001"))]
    HasPath {
        /// The text.
        text: String,
    },
}

/// Address of an outside system: `http://` with an address and a port, without a path.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BaseUrl {
    authority: Authority,
}

impl BaseUrl {
    /// Reads an address such as `http://10.0.0.1:9001`.
    ///
    /// # Errors
    ///
    /// Returns a [`BaseUrlError`] that says what to write.
    pub fn new(text: &str) -> Result<Self, BaseUrlError> {
        let uri: Uri = text.parse().context(InvalidSnafu { text })?;
        ensure!(uri.scheme() == Some(&Scheme::HTTP), NotHttpSnafu { text });
        ensure!(
            uri.path() == "/" && uri.query().is_none(),
            HasPathSnafu { text }
        );
        let authority = uri.authority().context(NoAuthoritySnafu { text })?;
        Ok(Self {
            authority: authority.clone(),
        })
    }

    /// Returns the address and port, for messages.
    pub fn peer(&self) -> &str {
        self.authority.as_str()
    }

    /// Returns the URL of a path with query; both are encoded already.
    pub(super) fn join(&self, path: &str) -> Result<Uri, ::http::Error> {
        Uri::builder()
            .scheme(Scheme::HTTP)
            .authority(self.authority.clone())
            .path_and_query(path)
            .build()
    }
}

impl FromStr for BaseUrl {
    type Err = BaseUrlError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        Self::new(text)
    }
}

impl From<SocketAddr> for BaseUrl {
    fn from(addr: SocketAddr) -> Self {
        let authority = Authority::try_from(addr.to_string());
        // The text of an IP number with a port always is an authority.
        let authority = authority.unwrap_or_else(|_| Authority::from_static("0.0.0.0:0"));
        Self { authority }
    }
}

impl fmt::Display for BaseUrl {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "http://{}", self.authority)
    }
}

/// Writes `text` as one segment of a path: everything but unreserved characters is encoded.
pub fn encode_segment(text: &str) -> String {
    let mut segment = String::with_capacity(text.len());
    for byte in text.bytes() {
        if byte.is_ascii_alphanumeric() || matches!(byte, b'-' | b'_' | b'~') {
            segment.push(char::from(byte));
        } else if byte == b'.' && !matches!(text, "." | "..") {
            segment.push('.');
        } else {
            segment.push('%');
            segment.push(char::from(HEX[usize::from(byte >> 4)]));
            segment.push(char::from(HEX[usize::from(byte & 0xF)]));
        }
    }
    segment
}
