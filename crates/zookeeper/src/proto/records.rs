//! Records that requests and responses share, and the two of the handshake.
use crate::error::ProtocolError;
use crate::jute::{Reader, Writer};

/// Metadata of a node.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Stat {
    /// zxid of the creation of the node.
    pub czxid: i64,
    /// zxid of the last change of the data.
    pub mzxid: i64,
    /// Time of the creation, in ms since the Unix epoch.
    pub ctime: i64,
    /// Time of the last change of the data, in ms since the Unix epoch.
    pub mtime: i64,
    /// Number of changes of the data.
    pub version: i32,
    /// Number of changes of the list of children.
    pub cversion: i32,
    /// Number of changes of the ACL.
    pub aversion: i32,
    /// Id of the session that owns the ephemeral node; 0 if the node is not ephemeral.
    pub owner: i64,
    /// Length of the data in bytes.
    pub length: i32,
    /// Number of children.
    pub children: i32,
    /// zxid of the last change of the list of children.
    pub pzxid: i64,
}

impl Stat {
    pub(super) fn read(reader: &mut Reader<'_>) -> Result<Self, ProtocolError> {
        Ok(Stat {
            czxid: reader.long("czxid")?,
            mzxid: reader.long("mzxid")?,
            ctime: reader.long("ctime")?,
            mtime: reader.long("mtime")?,
            version: reader.int("version")?,
            cversion: reader.int("cversion")?,
            aversion: reader.int("aversion")?,
            owner: reader.long("ephemeralOwner")?,
            length: reader.int("dataLength")?,
            children: reader.int("numChildren")?,
            pzxid: reader.long("pzxid")?,
        })
    }
    pub(super) fn write(&self, writer: &mut Writer) {
        writer.long(self.czxid).long(self.mzxid).long(self.ctime).long(self.mtime);
        writer.int(self.version).int(self.cversion).int(self.aversion).long(self.owner);
        writer.int(self.length).int(self.children).long(self.pzxid);
    }
}

/// One entry of a node's ACL.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Acl {
    /// Bits: 1 read, 2 write, 4 create, 8 delete, 16 admin.
    pub perms: i32,
    /// Authentication scheme that defines the id: `world`, `auth`, `digest`.
    pub scheme: String,
    /// Identity within the scheme to which the permissions are granted.
    pub id: String,
}

impl Acl {
    /// Returns an ACL that grants all permissions to anyone.
    pub fn open() -> Vec<Acl> {
        vec![Acl { perms: 31, scheme: "world".into(), id: "anyone".into() }]
    }
    /// Returns an ACL that grants all permissions to the credentials of this session only.
    pub fn own() -> Vec<Acl> {
        vec![Acl { perms: 31, scheme: "auth".into(), id: String::new() }]
    }
    pub(super) fn read(reader: &mut Reader<'_>) -> Result<Self, ProtocolError> {
        let perms = reader.int("perms")?;
        Ok(Acl { perms, scheme: reader.text("scheme")?.into(), id: reader.text("id")?.into() })
    }
    pub(super) fn write(writer: &mut Writer, acl: &Acl) {
        writer.int(acl.perms).text(&acl.scheme).text(&acl.id);
    }
}

/// The handshake request, the first record of a connection.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Connect {
    /// The last zxid that the client has seen; a server that lags behind it rejects the session.
    pub last_zxid_seen: i64,
    /// Requested session time-out in ms.
    pub timeout: i32,
    /// Id of the session to resume; 0 requests a new one.
    pub session: i64,
    /// Password of the session.
    pub password: Vec<u8>,
}

impl Connect {
    /// Decodes the record from the content of a frame.
    pub fn read(frame: &[u8]) -> Result<Self, ProtocolError> {
        let mut reader = Reader::new(frame);
        let _version = reader.int("protocolVersion")?;
        let (last_zxid_seen, timeout) = (reader.long("lastZxidSeen")?, reader.int("timeOut")?);
        let (session, password) = (reader.long("sessionId")?, reader.buffer("passwd")?);
        let password = password.unwrap_or_default().to_vec();
        read_optional_read_only(&mut reader)?;
        Ok(Connect { last_zxid_seen, timeout, session, password })
    }
    /// Encodes the record as a frame with its length prefix.
    pub fn framed(&self) -> Vec<u8> {
        let mut writer = Writer::default();
        writer
            .int(0)
            .long(self.last_zxid_seen)
            .int(self.timeout)
            .long(self.session)
            .buffer(&self.password)
            .flag(false);
        writer.framed()
    }
}

/// Reads the last field, `readOnly`, which releases before 3.4 omit.
fn read_optional_read_only(reader: &mut Reader<'_>) -> Result<(), ProtocolError> {
    if reader.remaining() > 0 {
        reader.flag("readOnly")?;
    }
    reader.expect_end()
}

/// The handshake response to [`Connect`].
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Connected {
    /// Granted session time-out in ms; 0 or less if the session has expired.
    pub timeout: i32,
    /// Id of the session.
    pub session: i64,
    /// Password of the session.
    pub password: Vec<u8>,
}

impl Connected {
    /// Decodes the record from the content of a frame.
    pub fn read(frame: &[u8]) -> Result<Self, ProtocolError> {
        let mut reader = Reader::new(frame);
        let _version = reader.int("protocolVersion")?;
        let (timeout, session) = (reader.int("timeOut")?, reader.long("sessionId")?);
        let password = reader.buffer("passwd")?.unwrap_or_default().to_vec();
        read_optional_read_only(&mut reader)?;
        Ok(Connected { timeout, session, password })
    }
    /// Encodes the record as a frame with its length prefix.
    pub fn framed(&self) -> Vec<u8> {
        let mut writer = Writer::default();
        writer.int(0).int(self.timeout).long(self.session).buffer(&self.password).flag(false);
        writer.framed()
    }
}
