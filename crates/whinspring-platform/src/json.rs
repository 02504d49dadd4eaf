//! JSON bodies of the object API.
//!
//! Objects of other kinds than whinspring's are skipped, as other programs use the same store.

use {
    crate::{
        error::{BadValueSnafu, Error},
        object::{Listing, Object},
    },
    base64::{Engine, engine::general_purpose::STANDARD},
    bytes::Bytes,
    serde::Deserialize,
    snafu::ResultExt,
    whinspring::{
        name::Name,
        record::{Key, Kind},
    },
};

/// Response body of a list or a watch.
#[derive(Debug, Deserialize)]
pub(crate) struct ListingBody {
    revision: u64,
    objects: Vec<ObjectBody>,
}

/// One object of a list or a watch.
#[derive(Debug, Deserialize)]
struct ObjectBody {
    kind: String,
    name: String,
    version: u64,
    mark: u64,
    value: Option<String>,
}

/// One VM in the response body of the list of VMs.
#[derive(Debug, Deserialize)]
pub(crate) struct VmBody {
    name: String,
    state: VmState,
}

/// A VM as the platform lists it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Vm {
    pub name: Name,
    /// State according to the platform, which may be out of date.
    pub state: VmState,
}

/// State of a VM according to the platform.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum VmState {
    Live,
    /// The VM is about to be stopped.
    Leaving,
    /// The VM no longer exists.
    Gone,
}

impl TryFrom<ListingBody> for Listing {
    type Error = Error;

    fn try_from(body: ListingBody) -> Result<Self, Error> {
        let mut objects = Vec::with_capacity(body.objects.len());
        for object in body.objects {
            let Some(kind) = Kind::parse(&object.kind) else {
                continue;
            };
            objects.push(to_object(kind, object)?);
        }
        Ok(Self { revision: body.revision, objects })
    }
}

impl From<VmBody> for Vm {
    fn from(body: VmBody) -> Self {
        Self { name: body.name.into(), state: body.state }
    }
}

fn to_object(kind: Kind, body: ObjectBody) -> Result<Object, Error> {
    let key = Key::new(kind, body.name);
    let value = match body.value {
        Some(text) => Some(decode(&key, &text)?),
        None => None,
    };
    Ok(Object { key, version: body.version, mark: body.mark, value })
}

fn decode(key: &Key, text: &str) -> Result<Bytes, Error> {
    let bytes =
        STANDARD.decode(text).context(BadValueSnafu { kind: key.kind, name: key.name.clone() })?;
    Ok(bytes.into())
}
