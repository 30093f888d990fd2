//! Clients: each has one operation at a time, and repeats it under its request id until it is
//! answered or given up.

use violetgate_linearizability::{Operation as ClientOperation, OperationKind};
use violetgate_raft::NodeId;
use violetgate_replica::{CallId, Response};
use violetgate_replicated_state::{Condition, Micros, Mutation, Operation, Outcome, Txn};

use crate::cluster::{AcknowledgedRevision, Event, SimulatedCluster, MS, SECOND, SERVERS};

pub const CLIENTS: usize = 4;
pub const KEYS: u64 = 3;
/// Clients write numbers below this.
const VALUES: u64 = 4;
const OPERATION_TIMEOUT: Micros = 3 * SECOND;

#[derive(Default)]
pub struct Client {
    pub current: Option<CurrentOperation>,
    /// The number of its latest operation.
    pub last_operation: u64,
}

#[derive(Clone)]
pub struct CurrentOperation {
    operation: ClientOperation,
    number: u64,
    /// The server that is asked next.
    server: NodeId,
}

/// A call's id holds the client and the number of its operation.
fn call_id(client: usize, number: u64) -> CallId {
    (client as u64) << 32 | number
}

fn key_name(key: u64) -> String {
    format!("k{key}")
}

/// The transaction of an operation that changes something.
fn transaction(operation: &ClientOperation) -> Option<Txn> {
    let key = key_name(operation.key);
    let put = |value: u64| Mutation::Put {
        key: key.clone(),
        value: vec![value as u8],
        lease: None,
    };
    match operation.kind {
        OperationKind::Write(value) => Some(Txn {
            then: vec![put(value)],
            ..Txn::default()
        }),
        OperationKind::CompareAndSwap { expected, new, .. } => Some(Txn {
            conditions: vec![Condition::ValueIs(key.clone(), vec![expected as u8])],
            then: vec![put(new)],
            otherwise: vec![],
        }),
        OperationKind::Read(_) => None,
    }
}

impl SimulatedCluster {
    /// A client begins an operation, or repeats one that was not answered yet.
    pub fn client_call(&mut self, client: usize) {
        if self.clients[client].current.is_none() {
            self.begin_operation(client);
        }
        let Some(current) = self.clients[client].current.clone() else {
            return;
        };
        let repeat_after = 150 * MS + self.draw(200 * MS);
        self.schedule(repeat_after, Event::ClientCall(client));
        let call = call_id(client, current.number);
        if let Ok(replica) = self.running(current.server) {
            match transaction(&current.operation) {
                Some(txn) => replica.propose(
                    call,
                    Some(format!("{client}-{}", current.number)),
                    format!("client {client}"),
                    Operation::Txn(txn),
                ),
                None => replica.read(call),
            }
            self.carry_out_all(current.server);
        } else {
            let other = self.draw_server();
            self.ask_next(client, other);
        }
    }

    fn begin_operation(&mut self, client: usize) {
        let key = self.draw(KEYS);
        let (expected, new) = (self.draw(VALUES), self.draw(VALUES));
        let kind = match self.draw(3) {
            0 => OperationKind::Write(new),
            1 => OperationKind::CompareAndSwap {
                expected,
                new,
                swapped: None,
            },
            _ => OperationKind::Read(None),
        };
        let operation = ClientOperation {
            key,
            kind,
            started_at: self.now,
            finished_at: None,
        };
        let server = self.draw_server();
        self.clients[client].last_operation += 1;
        let number = self.clients[client].last_operation;
        self.clients[client].current = Some(CurrentOperation {
            operation,
            number,
            server,
        });
        let timeout = Event::ClientTimeout {
            client,
            operation: number,
        };
        self.schedule(OPERATION_TIMEOUT, timeout);
    }

    fn ask_next(&mut self, client: usize, server: NodeId) {
        if let Some(current) = &mut self.clients[client].current {
            current.server = server;
        }
    }

    /// A client's operation is over: answered with this result, or given up.
    pub fn end_operation(&mut self, client: usize, result: Option<OperationKind>) {
        let Some(current) = self.clients[client].current.take() else {
            return;
        };
        let mut operation = current.operation;
        match result {
            Some(kind) => {
                operation.kind = kind;
                operation.finished_at = Some(self.now);
            }
            // A read that nobody answered says nothing.
            None if matches!(operation.kind, OperationKind::Read(_)) => return,
            None => {}
        }
        self.history.push(operation);
    }

    pub fn on_response(&mut self, server: NodeId, call: CallId, response: Response) {
        let (client, number) = ((call >> 32) as usize, call & 0xffff_ffff);
        let Some(current) = self.clients[client].current.clone() else {
            return;
        };
        if current.number != number {
            return;
        }
        let operation = current.operation;
        match (response, operation.kind) {
            (
                Response::Applied(Outcome::Applied {
                    revision,
                    conditions_held,
                }),
                kind,
            ) => {
                let at = self.now;
                self.acknowledged
                    .push(AcknowledgedRevision { at, revision });
                self.end_operation(client, Some(with_result(kind, conditions_held)));
            }
            (Response::ReadReady, OperationKind::Read(_)) => {
                let store = self.server(server).replica().store();
                let value = store.get(&key_name(operation.key));
                let seen = value.map(|current| u64::from(current.value[0]));
                self.end_operation(client, Some(OperationKind::Read(seen)));
            }
            (Response::NotLeader(Some(leader)), _) => self.ask_next(client, leader),
            _ => self.ask_next(client, current.server % SERVERS + 1),
        }
    }
}

/// An operation with what its response says.
fn with_result(kind: OperationKind, conditions_held: bool) -> OperationKind {
    match kind {
        OperationKind::CompareAndSwap { expected, new, .. } => OperationKind::CompareAndSwap {
            expected,
            new,
            swapped: Some(conditions_held),
        },
        kind => kind,
    }
}
