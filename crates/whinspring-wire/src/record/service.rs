//! Conversions of services and their servers.

use {
    super::parse_addr,
    crate::{
        error::{Error, UnknownTypeSnafu},
        generated::record as wire,
    },
    whinspring::{
        model::{KeyPlace, Server, ServerState, Service},
        name::{Name, ServerId},
    },
};

impl From<&Service> for wire::Service {
    fn from(service: &Service) -> Self {
        let shares = service.shares.iter().map(|(name, share)| (name.to_string(), *share));
        let servers = service.servers.iter().map(|(id, server)| (id.0, server.into()));
        Self {
            name: service.name.to_string(),
            prefix: service.prefix.to_string(),
            key: service.key.as_ref().map(wire::service::Key::from),
            slices: service.slices,
            deadline_ms: service.deadline_ms,
            cap_ms: service.cap_ms,
            customer: service.customer.to_string(),
            shares: shares.collect(),
            servers: servers.collect(),
        }
    }
}

impl TryFrom<wire::Service> for Service {
    type Error = Error;

    fn try_from(service: wire::Service) -> Result<Self, Error> {
        let shares = service.shares.into_iter().map(|(name, share)| (Name::from(name), share));
        let servers = service
            .servers
            .into_iter()
            .map(|(id, server)| Ok((ServerId(id), Server::try_from(server)?)));
        Ok(Self {
            name: service.name.into(),
            prefix: service.prefix.into(),
            key: service.key.map(KeyPlace::from),
            slices: service.slices,
            deadline_ms: service.deadline_ms,
            cap_ms: service.cap_ms,
            customer: service.customer.into(),
            shares: shares.collect(),
            servers: servers.collect::<Result<_, Error>>()?,
        })
    }
}

impl From<&KeyPlace> for wire::service::Key {
    fn from(place: &KeyPlace) -> Self {
        match place {
            KeyPlace::Header(name) => Self::Header(name.to_string()),
            KeyPlace::PathPart(index) => Self::Part(*index),
        }
    }
}

impl From<wire::service::Key> for KeyPlace {
    fn from(key: wire::service::Key) -> Self {
        match key {
            wire::service::Key::Header(name) => Self::Header(name.into()),
            wire::service::Key::Part(index) => Self::PathPart(index),
        }
    }
}

impl From<&Server> for wire::Server {
    fn from(server: &Server) -> Self {
        Self {
            name: server.name.to_string(),
            addr: server.addr.to_string(),
            domain: server.domain.to_string(),
            fenced: server.fenced,
            slots: server.slots,
            conns: server.conns,
            state: wire::ServerState::from(server.state).into(),
        }
    }
}

impl TryFrom<wire::Server> for Server {
    type Error = Error;

    fn try_from(server: wire::Server) -> Result<Self, Error> {
        Ok(Self {
            state: server.state().try_into()?,
            addr: parse_addr(&server.addr)?,
            name: server.name.into(),
            domain: server.domain.into(),
            fenced: server.fenced,
            slots: server.slots,
            conns: server.conns,
        })
    }
}

impl From<ServerState> for wire::ServerState {
    fn from(state: ServerState) -> Self {
        match state {
            ServerState::Active => Self::Active,
            ServerState::Draining => Self::Draining,
            ServerState::Lost => Self::Lost,
        }
    }
}

impl TryFrom<wire::ServerState> for ServerState {
    type Error = Error;

    fn try_from(state: wire::ServerState) -> Result<Self, Error> {
        match state {
            wire::ServerState::Unspecified => UnknownTypeSnafu { what: "state of a server" }.fail(),
            wire::ServerState::Active => Ok(Self::Active),
            wire::ServerState::Draining => Ok(Self::Draining),
            wire::ServerState::Lost => Ok(Self::Lost),
        }
    }
}
