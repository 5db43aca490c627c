//! QUIC with mutual TLS between the processes of one fleet.
