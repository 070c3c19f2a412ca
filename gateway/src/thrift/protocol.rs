//! Numbers and names of the Thrift binary protocol and of the platform's service.

/// The upper 16 bits of the first four bytes of a message in the strict binary protocol.
pub(super) const VERSION: u32 = 0x8001;

/// Message types.
pub(super) mod message_type {
    pub(in crate::thrift) const CALL: u8 = 1;
    pub(in crate::thrift) const REPLY: u8 = 2;
    pub(in crate::thrift) const EXCEPTION: u8 = 3;
    pub(in crate::thrift) const ONEWAY: u8 = 4;
}

/// Value types.
pub(super) mod value_type {
    /// Marks the end of a struct.
    pub(in crate::thrift) const STOP: u8 = 0;
    pub(in crate::thrift) const BOOL: u8 = 2;
    pub(in crate::thrift) const BYTE: u8 = 3;
    pub(in crate::thrift) const DOUBLE: u8 = 4;
    pub(in crate::thrift) const I16: u8 = 6;
    pub(in crate::thrift) const I32: u8 = 8;
    pub(in crate::thrift) const I64: u8 = 10;
    pub(in crate::thrift) const STRING: u8 = 11;
    pub(in crate::thrift) const STRUCT: u8 = 12;
    pub(in crate::thrift) const MAP: u8 = 13;
    pub(in crate::thrift) const SET: u8 = 14;
    pub(in crate::thrift) const LIST: u8 = 15;
}

/// Names of the service's methods.
pub(super) mod method {
    pub(in crate::thrift) const SERVE: &str = "serve";
    pub(in crate::thrift) const CANCEL: &str = "forget";
    pub(in crate::thrift) const HEALTH_CHECK: &str = "isWell";
}

/// Kind of the application exception for an unknown method.
pub(super) const UNKNOWN_METHOD: i32 = 1;
/// Kind of the application exception for an invalid message.
pub(super) const PROTOCOL_ERROR: i32 = 7;
