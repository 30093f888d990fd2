//! A subscriber for tests that sends arbitrary bytes and messages.
#![allow(dead_code, reason = "each test file uses a part of it")]

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};

use async_io::{Async, Timer};
use futures_lite::FutureExt;
use serde::de::DeserializeOwned;
use serde::Serialize;
use violetgate_state_distribution::{
    ObserverMessage, ObserverWelcome, Rejection, SubscriberHello, PROTOCOL_MAGIC, PROTOCOL_VERSION,
};

use crate::fleet::WAIT;

pub struct RawSubscriber {
    stream: Async<TcpStream>,
    input: Vec<u8>,
}

impl RawSubscriber {
    /// Returns a valid hello.
    pub fn hello(observer: u64, name: &str) -> SubscriberHello {
        SubscriberHello {
            magic: PROTOCOL_MAGIC,
            version: PROTOCOL_VERSION,
            cluster: "test".to_owned(),
            observer,
            name: name.to_owned(),
            revision: 0,
        }
    }

    pub async fn connect(at: SocketAddr) -> Self {
        RawSubscriber {
            stream: Async::<TcpStream>::connect(at).await.unwrap(),
            input: Vec::new(),
        }
    }

    /// Connects, and returns once the observer has accepted the hello. While the observer is full,
    /// it tries again.
    pub async fn connect_accepted(at: SocketAddr, hello: &SubscriberHello) -> Self {
        loop {
            let mut raw = RawSubscriber::connect(at).await;
            raw.send(hello).await;
            // A subscriber that was just rejected may still count towards the capacity.
            match raw.read_welcome().await.rejected {
                None => return raw,
                Some(Rejection::Full { .. }) => {}
                Some(other) => panic!("{other}"),
            }
        }
    }

    /// Writes bytes. Errors are ignored: if the other side has closed the connection, reading
    /// shows it.
    pub async fn write(&mut self, mut bytes: &[u8]) {
        while !bytes.is_empty() {
            match self.stream.write_with(|mut s| s.write(bytes)).await {
                Ok(n) => bytes = &bytes[n..],
                Err(_) => return,
            }
        }
    }

    pub async fn send(&mut self, message: &impl Serialize) {
        let body = postcard::to_stdvec(message).unwrap();
        let mut frame = u32::try_from(body.len()).unwrap().to_le_bytes().to_vec();
        frame.extend(body);
        self.write(&frame).await;
    }

    /// Reads the next message; `None` at the end of the connection.
    async fn next<T: DeserializeOwned>(&mut self) -> Option<T> {
        let mut chunk = [0; 4096];
        loop {
            if let Some((length, rest)) = self.input.split_first_chunk::<4>() {
                let length = u32::from_le_bytes(*length) as usize;
                if rest.len() >= length {
                    let value = postcard::from_bytes(&rest[..length]).unwrap();
                    self.input.drain(..4 + length);
                    return Some(value);
                }
            }
            let read = async {
                self.stream
                    .read_with(|mut s| s.read(&mut chunk))
                    .await
                    .unwrap_or(0)
            };
            let late = async {
                Timer::after(WAIT).await;
                panic!("nothing received in {WAIT:?}")
            };
            match read.or(late).await {
                0 => return None,
                n => self.input.extend_from_slice(&chunk[..n]),
            }
        }
    }

    pub async fn read_welcome(&mut self) -> ObserverWelcome {
        self.next().await.expect("no answer to the hello")
    }

    pub async fn read_message(&mut self) -> ObserverMessage {
        self.next()
            .await
            .expect("connection closed before a message")
    }

    /// Skips messages until a rejection arrives, and returns it.
    pub async fn read_rejection(&mut self) -> Rejection {
        loop {
            if let ObserverMessage::Rejected(rejection) = self.read_message().await {
                return rejection;
            }
        }
    }

    /// Skips messages until the other side closes the connection.
    pub async fn wait_closed(&mut self) {
        while self.next::<ObserverMessage>().await.is_some() {}
    }
}
