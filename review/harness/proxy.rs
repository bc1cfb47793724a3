//! Proxies between gateways, so that each path between two of them can be cut in one direction.
//!
//! Gateway `a` reaches gateway `b` at the address `face(a, b)` only, and sees that address as the
//! sender of what `b` sends.

use std::io;
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::sync::Arc;
use std::sync::atomic::{AtomicU8, Ordering};
use std::thread;

use crate::gateway::{Gateway, Network};
use crate::site::Site;

/// Largest datagram.
const DATAGRAM_BYTES: usize = 64 * 1024;

/// Host of a gateway.
fn host(gateway: u8) -> u8 {
    90 + 10 * gateway
}

/// Host at which gateway `from` reaches gateway `to`. The order of addresses is that of the
/// gateways.
fn face(from: u8, to: u8) -> u8 {
    let base = if to < from { 0 } else { 200 };
    base + 10 * from + to
}

/// Proxies between all gateways of a case.
pub struct Proxies {
    network: Network,
    count: u8,
    /// Bit `g` is set while nothing that the others send reaches gateway `g`.
    cut: Arc<AtomicU8>,
}

impl Proxies {
    /// Starts the proxies between `count` gateways.
    pub fn start(network: Network, count: u8) -> io::Result<Self> {
        let proxies = Self {
            network,
            count,
            cut: Arc::new(AtomicU8::new(0)),
        };
        for from in 1..=count {
            for to in (1..=count).filter(|to| *to != from) {
                proxies.relay_tcp(from, to)?;
            }
        }
        for from in 1..=count {
            for to in from + 1..=count {
                proxies.relay_udp(from, to)?;
            }
        }
        Ok(proxies)
    }

    /// Starts the gateways, each with the others as seeds.
    pub fn start_gateways(&self, site: &Site) -> io::Result<Vec<Gateway>> {
        let mut gateways = Vec::new();
        for gateway in 1..=self.count {
            let others = (1..=self.count).filter(|other| *other != gateway);
            let seeds: Vec<u8> = others.map(|other| face(gateway, other)).collect();
            gateways.push(Gateway::start(site.gateway_plan(host(gateway), &seeds))?);
        }
        for gateway in &gateways {
            gateway.wait_ready()?;
        }
        site.record.line("all gateways are ready");
        Ok(gateways)
    }

    /// Cuts what the others send to a gateway, or ends that.
    pub fn cut_to(&self, gateway: u8, cut: bool) {
        self.cut
            .store(if cut { 1 << gateway } else { 0 }, Ordering::Relaxed);
    }

    fn relay_udp(&self, first: u8, second: u8) -> io::Result<()> {
        let port = self.network.peer_port;
        let address = |host: u8| SocketAddr::from((self.network.ip(host), port));
        // What the first gateway sends to the second arrives here, and the reverse.
        let to_second = UdpSocket::bind(address(face(first, second)))?;
        let to_first = UdpSocket::bind(address(face(second, first)))?;
        let (first_address, second_address) = (address(host(first)), address(host(second)));
        let relays = [
            (
                to_second.try_clone()?,
                to_first.try_clone()?,
                second,
                first_address,
                second_address,
            ),
            (to_first, to_second, first, second_address, first_address),
        ];
        for (inbound, outbound, receiver, from, to) in relays {
            let cut = Arc::clone(&self.cut);
            thread::spawn(move || {
                let mut buffer = vec![0; DATAGRAM_BYTES];
                while let Ok((length, source)) = inbound.recv_from(&mut buffer) {
                    let is_cut = cut.load(Ordering::Relaxed) & (1 << receiver) != 0;
                    if source == from && !is_cut {
                        drop(outbound.send_to(&buffer[..length], to));
                    }
                }
            });
        }
        Ok(())
    }

    fn relay_tcp(&self, from: u8, to: u8) -> io::Result<()> {
        let port = self.network.control_port;
        let listener = TcpListener::bind((self.network.ip(face(from, to)), port))?;
        let target = SocketAddr::from((self.network.ip(host(to)), port));
        let cut = Arc::clone(&self.cut);
        thread::spawn(move || {
            for client in listener.incoming().flatten() {
                let Ok(server) = TcpStream::connect(target) else {
                    continue;
                };
                let (Ok(client_copy), Ok(server_copy)) = (client.try_clone(), server.try_clone())
                else {
                    continue;
                };
                let requests = (Arc::clone(&cut), 1 << to);
                let responses = (Arc::clone(&cut), 1 << from);
                thread::spawn(move || copy(client, server, &requests));
                thread::spawn(move || copy(server_copy, client_copy, &responses));
            }
        });
        Ok(())
    }
}

/// Copies bytes; those that arrive during a cut are lost.
fn copy(mut from: TcpStream, mut to: TcpStream, (cut, receiver): &(Arc<AtomicU8>, u8)) {
    let mut buffer = vec![0; DATAGRAM_BYTES];
    while let Ok(length) = from.read(&mut buffer) {
        if cut.load(Ordering::Relaxed) & receiver != 0 {
            if length == 0 {
                return;
            }
            continue;
        }
        if length == 0 || to.write_all(&buffer[..length]).is_err() {
            break;
        }
    }
    drop(to.shutdown(Shutdown::Write));
}
