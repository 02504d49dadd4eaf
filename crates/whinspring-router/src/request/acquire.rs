//! Assignment of a server to a request: the owner of its key, or one that a gate chooses.

use {
    super::{MAX_PLACEMENTS, RETRY_DELAY, RoutedRequest, refusal_code},
    crate::{
        admission::{self, AdmissionRequest, Permit},
        evacuations, limits, notices,
        platform::{Platform, Position},
        relay::client,
        response::Rejection,
    },
    log::{debug, info},
    std::time::Duration,
    tokio::time::{sleep, timeout},
    whinspring::{
        code::Code,
        name::Name,
        notices::{Purpose, Refusal},
        ranges::vacancy::{self, Verdict},
        time::Tick,
    },
};

/// `Retry-After` while this node reaches no server: another node may, and the paths are probed often.
const PATH_RETRY_DELAY: Duration = Duration::from_millis(500);

impl<P: Platform> RoutedRequest<P> {
    /// Waits until a server is assigned to the request.
    pub(super) async fn acquire(
        &self,
        avoid: Option<Name>,
    ) -> Result<(Name, Permit<P>), Rejection> {
        let node = &self.node;
        if node.is_cut_off() && !client::is_available(node) {
            node.metrics.count("no_path");
            info!(event = "no_path", id = self.id(), routes = self.table.version; "rejected: this node reaches no server, and no other node can relay requests");
            return Err(Rejection::with_retry(Code::NoPath, PATH_RETRY_DELAY));
        }
        let until = node.now() + vacancy::WORTH_WAITING;
        let mut shunned = Vec::new();
        loop {
            let pool = match self.key {
                None => self.service.clone(),
                Some(key) => self.wait_for_owner(key, until).await?,
            };
            if self.key.is_some() && !self.wait_for_server(&pool, until).await? {
                continue;
            }
            let exclude = self.excluded(&shunned)?;
            let request = AdmissionRequest {
                pool: pool.clone(),
                priority: self.route.priority,
                target: self.start + self.route.latency_target,
                deadline: self.deadline,
                avoid: avoid.clone(),
                exclude,
            };
            let start = node.now();
            let left = self.deadline.since(start);
            let result = tokio::select! {
                biased;
                result = timeout(left, admission::admit(node, &request)) => result,
                refusal = notices::until_paused(node, &pool), if self.key.is_some() => {
                    return Err(self.refuse(&pool, refusal));
                }
                () = node.until_queue_closed() => {
                    info!(event = "refused_stopping", id = self.id(), pool = pool.as_str(); "rejected: the node is stopping and no server was free");
                    return Err(Rejection::with_retry(Code::ShuttingDown, RETRY_DELAY));
                }
            };
            let Ok((permit, decision)) = result else {
                info!(event = "expired", id = self.id(), routes = self.table.version, pool = pool.as_str(); "deadline passed before a server was free");
                return Err(Rejection::with_retry(Code::Expired, RETRY_DELAY));
            };
            node.metrics.record_wait(node.now().since(start));
            let server = decision.map_err(|retry| {
                node.metrics.count("refused_by_gate");
                info!(event = "refused", id = self.id(), pool = pool.as_str(), retry_ms = retry.as_millis() as u64, routes = self.table.version, priority = self.route.priority, limit = limits::rate(node, &pool); "rejected: the expected wait exceeds the limit");
                Rejection::with_retry(Code::Overloaded, retry)
            })?;
            if !self.key.is_none_or(|key| self.owns(key, &server)) {
                debug!("the owner of the key changed while the request was queued; queueing again");
                continue;
            }
            let Err(refusal) = notices::start(node, &server) else { return Ok((server, permit)) };
            if refusal == Refusal::Left {
                notices::correct_gate(node, permit.gate_node(), &server);
            }
            let is_ramping = matches!(refusal, Refusal::Ramping(_)) && node.now() < until;
            let may_place = match self.key {
                Some(_) => is_ramping,
                None => shunned.len() + 1 < MAX_PLACEMENTS,
            };
            if !may_place {
                return Err(self.refuse(&server, refusal));
            }
            shunned.push(server);
        }
    }

    /// Checks whether this node may start a request on a server. It may know earlier than the node
    /// of the gate that the server leaves, and it alone knows that the server has turned it away.
    pub(super) fn check(&self, server: &Name) -> Result<(), Refusal> {
        notices::check(&self.node, server, Purpose::Start, self.node.now())
    }

    /// Waits for the owner of the key while it returns from a pause, at most until `until`. Returns
    /// whether the request may go on; otherwise the owner is to be looked up again.
    async fn wait_for_server(&self, server: &Name, until: Tick) -> Result<bool, Rejection> {
        match self.check(server) {
            Ok(()) => Ok(true),
            Err(Refusal::Ramping(wait)) if self.node.now() + wait < until.min(self.deadline) => {
                sleep(wait).await;
                Ok(false)
            }
            Err(refusal) => Err(self.refuse(server, refusal)),
        }
    }

    /// Returns the servers that no request without a key may go to: those that want nothing from
    /// this node, and `shunned`. Rejects the request if there is no other one. Evacuated servers are
    /// named only if the gate has assigned one that this node refuses.
    fn excluded(&self, shunned: &[Name]) -> Result<Vec<Name>, Rejection> {
        if self.key.is_some() {
            return Ok(Vec::new());
        }
        let mut exclude = notices::paused(&self.node);
        exclude.extend_from_slice(shunned);
        if !shunned.is_empty() {
            exclude.extend(evacuations::servers_of(&self.node, &self.service));
        }
        let is_evacuating = !self.node.view.borrow().evacuations.is_empty();
        if (is_evacuating || !exclude.is_empty())
            && let Err(refusal) = notices::check_service(&self.node, &self.service, &exclude)
        {
            return Err(self.refuse(&self.service, refusal));
        }
        Ok(exclude)
    }

    /// Returns the rejection of a request because a server, or all of a service, want none.
    fn refuse(&self, server: &Name, refusal: Refusal) -> Rejection {
        self.node.metrics.count("held_back");
        let retry = refusal.wait().unwrap_or(RETRY_DELAY);
        let event = if refusal == Refusal::Left { "left" } else { "held_back" };
        info!(event, id = self.id(), server = server.as_str(), routes = self.table.version, retry_ms = retry.as_millis() as u64; "rejected: the server wants no requests now");
        Rejection::with_retry(refusal_code(refusal), retry)
    }

    fn owns(&self, key: u16, server: &Name) -> bool {
        let view = self.node.view.borrow();
        let owned = view.owners.get(&self.service);
        owned.and_then(|(_, owned)| owned.find(key)).is_some_and(|s| s.owner.server == *server)
    }

    /// Returns the owner of a key; waits while the key is handed over.
    async fn wait_for_owner(&self, key: u16, until: Tick) -> Result<Name, Rejection> {
        let node = &self.node;
        loop {
            let mut known = None;
            let (mut fence, mut position) = (0, Position::default());
            {
                let view = node.view.borrow();
                let owned = view.owners.get(&self.service);
                position = owned.map_or(position, |(position, _)| *position);
                fence = owned.and_then(|(_, owned)| owned.find(key)).map_or(fence, |s| s.fence);
                if let Some(span) = view.granted_span(&self.service, key) {
                    let server = view.servers.get(&span.owner.server);
                    let alive =
                        server.is_some_and(|server| server.entry.start_ms == span.owner.start_ms);
                    known = alive.then(|| span.owner.server.clone());
                }
            }
            if let Some(server) = known {
                return Ok(server);
            }
            let now = node.now();
            let since = node.view.borrow().vacant_since(&self.service, key).unwrap_or(now);
            let (wait_end, retry) = match vacancy::judge(since, now) {
                Verdict::Wait(end) => (end.min(until).min(self.deadline), RETRY_DELAY),
                Verdict::Reject(retry) => (now, retry),
            };
            if now >= wait_end {
                let vacant_ms = now.since(since).as_millis() as u64;
                let retry_ms = retry.as_millis() as u64;
                info!(event = "no_owner", id = self.id(), service = self.service.as_str(), key, fence, revision:% = position, vacant_ms, retry_ms; "rejected: the key has no owner, and gets none in time");
                return Err(Rejection::with_retry(Code::NoOwner, retry));
            }
            admission::wait_for_change(node, wait_end).await;
        }
    }
}
