//! Simulated clients. Each client has one operation at a time and repeats it under the same request
//! id until it is answered or times out.

use violetgate_linearizability::{Operation as ClientOperation, OperationKind};
use violetgate_raft::NodeId;
use violetgate_replica::{CallId, Response};
use violetgate_replicated_state::{Condition, Micros, Mutation, Operation, Outcome, Txn};

use crate::cluster::{AcknowledgedRevision, Event, SimulatedCluster, MS, SECOND, SERVERS};

pub const CLIENTS: usize = 4;
pub const KEYS: u64 = 3;
/// The values that clients write, and those that a compare-and-swap expects, are below this number.
const VALUE_COUNT: u64 = 4;
const OPERATION_TIMEOUT: Micros = 3 * SECOND;

#[derive(Default)]
pub struct Client {
    pub current: Option<CurrentOperation>,
    /// The number of the client's latest operation, counted from 1.
    pub last_operation: u64,
}

#[derive(Clone)]
pub struct CurrentOperation {
    operation: ClientOperation,
    number: u64,
    /// The server that the next attempt calls.
    server: NodeId,
}

/// Returns the id of a call: the client in the upper 32 bits, the operation's number in the lower.
fn call_id(client: usize, number: u64) -> CallId {
    (client as u64) << 32 | number
}

fn key_name(key: u64) -> String {
    format!("k{key}")
}

/// Returns the transaction of a write or compare-and-swap, or `None` for a read.
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
    /// Starts an operation of a client, or repeats the one that was not answered yet.
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
            self.run_effects(current.server);
        } else {
            let other = self.draw_server();
            self.set_next_server(client, other);
        }
    }

    fn begin_operation(&mut self, client: usize) {
        let key = self.draw(KEYS);
        let (expected, new) = (self.draw(VALUE_COUNT), self.draw(VALUE_COUNT));
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

    fn set_next_server(&mut self, client: usize, server: NodeId) {
        if let Some(current) = &mut self.clients[client].current {
            current.server = server;
        }
    }

    /// Ends a client's operation and adds it to the history. `result` is `None` if the client gave
    /// the operation up.
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
            // A read without an answer has no effect and no result to check, so it is left out of
            // the history.
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
            (Response::NotLeader(Some(leader)), _) => self.set_next_server(client, leader),
            _ => self.set_next_server(client, current.server % SERVERS + 1),
        }
    }
}

/// Returns an operation with the result that its response carries.
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
